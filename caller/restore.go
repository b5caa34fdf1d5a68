package caller

import (
	"errors"
	"time"
)

// Revisions knows how far the store has come, as far as the entry hosts have seen.
// A claim at a lower revision shows that the store came back with older data, and may have lost another's claim.
type Revisions interface {
	Floor() int64              // the highest revision seen since the last restore
	Saw(revision int64)        // notes the revision of a write
	Paused(now time.Time) bool // lost claims of a noticed restore are still being written again
	Restored()                 // tells all entry hosts of a restore
}

var errRestored = errors.New("caller: the store came back with older data")

// floor returns the revision that a new claim has to be above.
func (c *Claims) floor() int64 {
	if c.Revisions == nil {
		return 0
	}
	return c.Revisions.Floor()
}

// isPaused reports whether no new claim can be trusted.
func (c *Claims) isPaused(now time.Time) bool {
	return c.Revisions != nil && c.Revisions.Paused(now)
}

// confirm returns the new claim, or an error when it may stand in the place of a claim that the store lost.
func (c *Claims) confirm(held *claim, floor int64) (*claim, error) {
	if c.Revisions == nil {
		return held, nil
	}
	if held.revision >= floor {
		c.Revisions.Saw(held.revision)
		return held, nil
	}
	c.Revisions.Restored()
	c.releaseLater(held)
	return nil, &claimUnavailableError{Err: errRestored}
}
