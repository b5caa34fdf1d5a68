// Package load sums up and merges what entry hosts know of the load of backend servers. It is a decision core without
// sockets and clocks.
package load

import (
	"time"

	"citronspread/model"
)

// MaxAge is the age from which information about a load is dropped. The requests that it counted have mostly ended by then.
const MaxAge = 10 * time.Second

// Bounds of the values in messages and statements. A value beyond them is not the load of any server.
const (
	MaxRequests = 1 << 20
	MaxTokens   = 1 << 40
	MinSlowness = 50
	MaxSlowness = 3200
	maxRate     = 1e6
)

// minNewer is by how much a part must be newer to replace another one. The time that a message takes is not known and makes
// its content look newer by that time; without a margin, hosts would send each other the same part until it is too old.
const minNewer = 100 * time.Millisecond

// Merge adds the newer parts of another view of the same backend server and reports whether there are any.
func Merge(known *model.BackendLoad, other model.BackendLoad) (changed bool) {
	if isNewer(other.Stated.At, known.Stated.At) {
		known.Stated, changed = other.Stated, true
	}
	if isNewer(other.Held.At, known.Held.At) {
		known.Held, changed = other.Held, true
	}
	if isNewer(other.FullAt, known.FullAt) {
		known.FullAt, changed = other.FullAt, true
	}
	return changed
}

func isNewer(at, known time.Time) bool {
	return !at.IsZero() && (known.IsZero() || at.Sub(known) > minNewer)
}

// Receive returns the loads of a message of another host, with values within their bounds and without parts that are too old.
func Receive(now time.Time, loads []model.BackendLoad) []model.BackendLoad {
	received := make([]model.BackendLoad, 0, len(loads))
	for _, l := range loads {
		l.Stated.At = receivedAt(now, l.Stated.At)
		l.Held.At = receivedAt(now, l.Held.At)
		l.FullAt = receivedAt(now, l.FullAt)
		l.Stated = Bounded(l.Stated)
		l.Held.Requests = min(max(0, l.Held.Requests), MaxRequests)
		l.Held.Tokens = min(max(0, l.Held.Tokens), MaxTokens)
		if !(l.Held.Rate >= 0) { // also not a number
			l.Held.Rate = 0
		}
		l.Held.Rate = min(l.Held.Rate, maxRate)
		if l.Backend != "" && !IsEmpty(l) {
			received = append(received, l)
		}
	}
	return received
}

// IsEmpty reports whether nothing is known.
func IsEmpty(l model.BackendLoad) bool {
	return l.Stated.At.IsZero() && l.Held.At.IsZero() && l.FullAt.IsZero()
}

// Bounded returns the statement with its values within their bounds.
func Bounded(s model.StatedLoad) model.StatedLoad {
	s.Running = min(max(0, s.Running), MaxRequests)
	s.Waiting = min(max(0, s.Waiting), MaxRequests)
	s.Slots = min(max(0, s.Slots), MaxRequests)
	if s.Slowness <= 0 {
		s.Slowness = 100
	}
	s.Slowness = min(max(MinSlowness, s.Slowness), MaxSlowness)
	return s
}

// receivedAt returns the time of a part, zero if it is too old. A part from the future counts as new, so that it does not
// last longer than others.
func receivedAt(now, at time.Time) time.Time {
	switch {
	case now.Sub(at) > MaxAge:
		return time.Time{}
	case at.After(now):
		return now
	}
	return at
}
