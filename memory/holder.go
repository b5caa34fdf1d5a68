package memory

import (
	"math"
	"time"
)

// Holder is one caller's connection with all that the host holds for it. Its methods may be called at the same time.
type Holder struct {
	account *Account
	drop    func(DropReason)

	// The following fields are protected by the mutex of the account.
	held       [kinds]int64
	total      int64
	isClosed   bool      // closed or dropped
	isWaiting  bool      // for bytes from its caller, or for its caller to read
	waitsSince time.Time // while isWaiting
	rate       float64   // bytes per second, decaying
	rateAt     time.Time // of rate
	reason     DropReason
}

// DropReason is the state for which a holder was dropped.
type DropReason struct {
	Held    [kinds]int64  // bytes, by kind
	Total   int64         // bytes
	Rate    float64       // bytes per second that came from its caller or were read by it lately
	Waited  time.Duration // for its caller
	AllHeld int64         // bytes of all holders
	Limit   int64         // of the account
}

// Reserve adds bytes that the holder is about to take. The error is a *RefusedError.
func (h *Holder) Reserve(now time.Time, kind Kind, bytes int64) error {
	a := h.account
	a.mu.Lock()
	if h.isClosed {
		defer a.mu.Unlock()
		return &RefusedError{Kind: kind, Bytes: bytes, Held: a.total, Limit: a.MaxBytes}
	}
	dropped, err := a.reserve(now, h, kind, bytes)
	a.mu.Unlock()
	notify(dropped)
	return err
}

// Set changes what the holder holds of a kind. The error is a *RefusedError, and then nothing has changed.
func (h *Holder) Set(now time.Time, kind Kind, bytes int64) error {
	a := h.account
	a.mu.Lock()
	if bytes <= h.held[kind] {
		defer a.mu.Unlock()
		a.add(h, kind, bytes-h.held[kind])
		return nil
	}
	if h.isClosed {
		defer a.mu.Unlock()
		return &RefusedError{Kind: kind, Bytes: bytes, Held: a.total, Limit: a.MaxBytes}
	}
	dropped, err := a.reserve(now, h, kind, bytes-h.held[kind])
	a.mu.Unlock()
	notify(dropped)
	return err
}

// Release removes bytes that the holder no longer holds, at most what it holds of the kind.
func (h *Holder) Release(kind Kind, bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.isClosed {
		a.add(h, kind, -min(bytes, h.held[kind]))
	}
}

// Close releases everything that the holder holds. It does not call drop.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.isClosed {
		a.remove(h)
	}
}

// Wait records that the holder waits for its caller from now on. It may be dropped while it waits.
func (h *Holder) Wait(now time.Time) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.isWaiting {
		h.isWaiting, h.waitsSince = true, now
	}
}

// Work records that the holder does not wait for its caller. It is not dropped meanwhile.
func (h *Holder) Work() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.isWaiting = false
}

// Progress records bytes that came from the caller or were read by it.
func (h *Holder) Progress(now time.Time, bytes int) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.rate = h.rateOf(now) + float64(bytes)*math.Ln2/rateHalfLife.Seconds()
	h.rateAt = now
}

// rateOf returns the decayed rate. A steady flow of n bytes per second has the rate n.
func (h *Holder) rateOf(now time.Time) float64 {
	return h.rate * math.Exp2(-now.Sub(h.rateAt).Seconds()/rateHalfLife.Seconds())
}

// isStalled reports whether the holder waits for a caller that makes too little progress for the memory that it makes the
// host hold.
func (h *Holder) isStalled(now time.Time) bool {
	waited := now.Sub(h.waitsSince)
	if !h.isWaiting || waited < graceTime {
		return false
	}
	// The rate of a flow that began a short time ago is still below what it will be.
	begun := 1 - math.Exp2(-waited.Seconds()/rateHalfLife.Seconds())
	return h.rateOf(now)/begun*stalledAfter.Seconds() < float64(h.total)
}
