// Package memory keeps an account of the memory and descriptors that callers make a host hold: connections, heads and bodies
// of requests, and responses that are not yet read. Memory is reserved before it is taken. Once the account is used up, a
// new reservation is refused or holders that make no progress are dropped. The package has no sockets and no clocks.
package memory

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind is what memory is held for.
type Kind int

const (
	Connections Kind = iota // of callers
	Heads                   // of requests, received and parsed, with the work on the request
	Bodies                  // of requests
	Responses               // read from backend servers, to be sent to callers
	Unread                  // written to callers and not acknowledged by them
	kinds
)

// Kinds lists all kinds.
var Kinds = []Kind{Connections, Heads, Bodies, Responses, Unread}

var kindNames = [kinds]string{"Connections", "Heads", "Bodies", "Responses", "Unread"}

func (k Kind) String() string { return kindNames[k] }

// Rules of the account.
const (
	// smallBytes is the most that a holder may hold and still use the part of the account that is kept for small holders. An
	// ordinary request takes about 95 KB, most of it for its connections, goroutines and socket buffers, and up to 48 KB more
	// while its response is written.
	smallBytes = 144 << 10
	// largeShare is the part of the account that large holders may use together.
	largeShare = 0.75
	// rateHalfLife is the time in which the measured progress of a holder that makes none falls by half. A caller that sends
	// at half a megabyte a second in bursts of a second is not stalled with it.
	rateHalfLife = 500 * time.Millisecond
	// stalledAfter is the time in which a holder has to make as much progress as it holds memory. One that is slower is
	// stalled: a body of 4 MB would need over 30 s, three times the time that is allowed for it.
	stalledAfter = 32 * time.Second
	// graceTime is how long a holder is not dropped after it began to wait for its caller.
	graceTime = 250 * time.Millisecond
	// searchInterval is the least time between two searches of all holders for stalled ones.
	searchInterval = 50 * time.Millisecond
	// connectionShare is the part of the descriptors that connections of callers may use. The rest is left to those to
	// backend servers.
	connectionShare = 0.75
)

// RefusedError reports a reservation that does not fit into the account.
type RefusedError struct {
	Kind  Kind
	Bytes int64 // that were requested
	Held  int64 // by all holders together
	Limit int64 // of the account
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("memory: %d bytes for %v refused, %d of %d held", e.Bytes, e.Kind, e.Held, e.Limit)
}

// DescriptorsError reports a connection for which no descriptor is left.
type DescriptorsError struct {
	Open  int
	Limit int
}

func (e *DescriptorsError) Error() string {
	return fmt.Sprintf("memory: %d of %d descriptors in use", e.Open, e.Limit)
}

// Account is the account of one process. The exported fields must be set before use.
type Account struct {
	MaxBytes       int64 // for all holders together, 0 for no limit
	MaxDescriptors int   // for connections of callers and to backend servers, 0 for no limit

	mu        sync.Mutex
	held      [kinds]int64
	total     int64
	large     int64 // of the total, held by large holders
	holders   map[*Holder]bool
	outgoing  int       // connections to backend servers
	stalled   []*Holder // found by the latest search, the next one to drop last
	searchAt  time.Time // earliest time of the next search
	refusals  int64
	drops     int64
	unopened  int64 // connections refused
	undialled int64 // connections to backend servers refused
}

// Usage is the state of an account.
type Usage struct {
	Held        [kinds]int64 // bytes, by kind
	Total       int64        // bytes
	Connections int          // of callers
	Outgoing    int          // connections to backend servers
	Refused     int64        // reservations and connections refused since the start
	Dropped     int64        // holders dropped since the start
}

// Usage returns what is held now.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{
		Held: a.held, Total: a.total, Connections: len(a.holders), Outgoing: a.outgoing,
		Refused: a.refusals + a.unopened + a.undialled, Dropped: a.drops,
	}
}

// Open adds a holder that holds bytes for its connection. drop is called at most once, without locks held, if the holder is
// dropped; it must end the connection and not wait. The error is a *RefusedError or a *DescriptorsError.
func (a *Account) Open(now time.Time, bytes int64, drop func(DropReason)) (*Holder, error) {
	a.mu.Lock()
	h := &Holder{account: a, drop: drop, waitsSince: now, isWaiting: true, rateAt: now}
	var dropped []*Holder
	var err error
	if limit := int(float64(a.MaxDescriptors) * connectionShare); a.MaxDescriptors > 0 && len(a.holders) >= limit || a.lacksDescriptor() {
		victim := a.nextStalled(now, nil, false)
		if victim == nil {
			err = &DescriptorsError{Open: len(a.holders) + a.outgoing, Limit: a.MaxDescriptors}
		} else {
			dropped = append(dropped, victim)
		}
	}
	if err == nil {
		var more []*Holder
		more, err = a.reserve(now, h, Connections, bytes)
		dropped = append(dropped, more...)
	}
	if err == nil {
		if a.holders == nil {
			a.holders = make(map[*Holder]bool)
		}
		a.holders[h] = true
	} else {
		a.unopened++
	}
	a.mu.Unlock()
	notify(dropped)
	if err != nil {
		return nil, err
	}
	return h, nil
}

// OpenOutgoing counts a connection to a backend server. It must be called before the connection is opened, and
// CloseOutgoing after it is closed. The error is a *DescriptorsError.
func (a *Account) OpenOutgoing(now time.Time) error {
	a.mu.Lock()
	var dropped []*Holder
	if a.lacksDescriptor() {
		victim := a.nextStalled(now, nil, false)
		if victim == nil {
			a.undialled++
			err := &DescriptorsError{Open: len(a.holders) + a.outgoing, Limit: a.MaxDescriptors}
			a.mu.Unlock()
			return err
		}
		dropped = append(dropped, victim)
	}
	a.outgoing++
	a.mu.Unlock()
	notify(dropped)
	return nil
}

// CloseOutgoing counts a closed connection to a backend server.
func (a *Account) CloseOutgoing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outgoing--
}

// lacksDescriptor reports whether no further connection may be opened. a.mu must be held.
func (a *Account) lacksDescriptor() bool {
	return a.MaxDescriptors > 0 && len(a.holders)+a.outgoing >= a.MaxDescriptors
}

// reserve adds bytes to a holder, if needed after dropping others, which it returns. a.mu must be held.
func (a *Account) reserve(now time.Time, h *Holder, kind Kind, bytes int64) ([]*Holder, error) {
	var dropped []*Holder
	for !a.fits(h, bytes) {
		victim := a.nextStalled(now, h, h.total+bytes > smallBytes)
		if victim == nil {
			a.refusals++
			return dropped, &RefusedError{Kind: kind, Bytes: bytes, Held: a.total, Limit: a.MaxBytes}
		}
		dropped = append(dropped, victim)
	}
	a.add(h, kind, bytes)
	return dropped, nil
}

// fits reports whether a holder may hold more bytes. a.mu must be held.
func (a *Account) fits(h *Holder, bytes int64) bool {
	if a.MaxBytes <= 0 || bytes <= 0 {
		return true
	}
	if a.total+bytes > a.MaxBytes {
		return false
	}
	if h.total+bytes <= smallBytes {
		return true
	}
	large := a.large + bytes
	if h.total <= smallBytes {
		large += h.total // the holder becomes a large one
	}
	return large <= int64(float64(a.MaxBytes)*largeShare)
}

// add changes what a holder holds. a.mu must be held.
func (a *Account) add(h *Holder, kind Kind, bytes int64) {
	if h.total > smallBytes {
		a.large -= h.total
	}
	h.held[kind] += bytes
	h.total += bytes
	a.held[kind] += bytes
	a.total += bytes
	if h.total > smallBytes {
		a.large += h.total
	}
}

// remove ends a holder. a.mu must be held.
func (a *Account) remove(h *Holder) {
	for kind, bytes := range h.held {
		a.add(h, Kind(kind), -bytes)
	}
	h.isClosed = true
	delete(a.holders, h)
}

// nextStalled removes and returns the next stalled holder to drop, nil if there is none. Those that hold most go first, then
// those that wait longest. If the next one is h, which reserves, it returns nil: h is refused and remains in the account until
// its connection is closed. a.mu must be held.
func (a *Account) nextStalled(now time.Time, h *Holder, onlyLarge bool) *Holder {
	victim, isSelf := a.takeStalled(now, h, onlyLarge)
	if victim != nil || isSelf || now.Before(a.searchAt) {
		return victim
	}
	// What is left of the latest search does not help: it may be too small for this reservation, and others may have stalled.
	a.searchAt = now.Add(searchInterval)
	a.stalled = a.stalled[:0]
	for other := range a.holders {
		if other.isStalled(now) {
			a.stalled = append(a.stalled, other)
		}
	}
	slices.SortFunc(a.stalled, func(x, y *Holder) int {
		return cmp.Or(cmp.Compare(x.total, y.total), y.waitsSince.Compare(x.waitsSince))
	})
	victim, _ = a.takeStalled(now, h, onlyLarge)
	return victim
}

// takeStalled removes and returns the next holder that the latest search found and that is still stalled. isSelf reports that it
// is h, which is not removed. a.mu must be held.
func (a *Account) takeStalled(now time.Time, h *Holder, onlyLarge bool) (victim *Holder, isSelf bool) {
	for len(a.stalled) > 0 {
		last := a.stalled[len(a.stalled)-1]
		if !last.isClosed && onlyLarge && last.total <= smallBytes {
			return nil, false
		}
		a.stalled = a.stalled[:len(a.stalled)-1]
		if last.isClosed || !last.isStalled(now) {
			continue
		}
		if last == h {
			return nil, true
		}
		last.reason = DropReason{Held: last.held, Total: last.total, Rate: last.rateOf(now), Waited: now.Sub(last.waitsSince), AllHeld: a.total, Limit: a.MaxBytes}
		a.drops++
		a.remove(last)
		return last, false
	}
	return nil, false
}

// notify tells dropped holders. It is called without locks held.
func notify(dropped []*Holder) {
	for _, h := range dropped {
		h.drop(h.reason)
	}
}
