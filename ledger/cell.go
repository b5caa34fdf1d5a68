package ledger

import (
	"time"
)

// Limits of calls to the store.
const (
	storeTimeout = 2 * time.Second
	firstRetry   = 100 * time.Millisecond
	longestRetry = 3 * time.Second
	noRevision   = int64(-1)
)

// cell is what a Host knows of one record of the store. It has at most one call under way.
type cell struct {
	key      string
	known    bool  // the content is known, at revision
	revision int64 // 0 when the record is absent
	readAt   time.Time

	token       int64 // the call under way, 0 for none
	writing     bool
	proposal    []byte
	askedAt     time.Time
	wroteAt     int64 // revision that the latest write of unknown outcome was made at
	readWanted  bool
	retryAt     time.Time
	failures    int
	touchWanted bool
}

func newCell(key string) cell {
	return cell{key: key, wroteAt: noRevision}
}

// settled reports whether no earlier write of this host can still take effect.
func (c *cell) settled() bool {
	return !c.writing && c.wroteAt < c.revision
}

// idle reports whether a write may be proposed.
func (c *cell) idle(now time.Time) bool {
	return c.known && c.token == 0 && !c.readWanted && !now.Before(c.retryAt)
}

// expire gives up a call that has had no answer for too long.
func (c *cell) expire(now time.Time) {
	if c.token != 0 && now.Sub(c.askedAt) >= storeTimeout {
		c.fail(now, true)
	}
}

// fail ends the call under way. After a write of unknown outcome the record is read back.
func (c *cell) fail(now time.Time, ambiguous bool) {
	if c.writing && ambiguous {
		c.wroteAt = c.revision
		c.readWanted = true
	}
	if !c.writing {
		c.readWanted = true
	}
	c.end()
	c.backOff(now)
}

func (c *cell) backOff(now time.Time) {
	delay := min(firstRetry<<min(c.failures, 10), longestRetry)
	c.failures++
	c.retryAt = now.Add(delay)
}

func (c *cell) end() {
	c.token, c.writing, c.proposal = 0, false, nil
}

// read asks for the record if that is wanted and possible.
func (c *cell) read(now time.Time, token func() int64) []Action {
	if !c.readWanted || c.token != 0 || now.Before(c.retryAt) {
		return nil
	}
	c.token, c.askedAt = token(), now
	return []Action{ReadRecord{Token: c.token, Key: c.key}}
}

// write proposes a new value at the known revision.
func (c *cell) write(now time.Time, token int64, value []byte) Action {
	c.token, c.askedAt = token, now
	c.writing, c.proposal = true, value
	return WriteRecord{Token: token, Key: c.key, Value: value, Revision: c.revision}
}

// answer takes in the end of a call. It returns the record's content when that is news,
// nil content standing for an absent record.
func (c *cell) answer(now time.Time, a StoreAnswered) (content []byte, news bool) {
	if a.Token != c.token || c.token == 0 {
		return nil, false
	}
	proposal := c.proposal
	switch a.Outcome {
	case StoreApplied:
		c.end()
		c.failures = 0
		return proposal, c.advance(now, a.Revision, proposal)
	case StoreConflict:
		c.end()
		if a.Value == nil || a.Revision <= c.revision {
			c.readWanted = true
			c.backOff(now)
			return nil, false
		}
		return a.Value, c.advance(now, a.Revision, a.Value)
	case StoreRead, StoreNotFound:
		c.end()
		return c.readBack(now, a)
	case StoreAmbiguous:
		c.fail(now, true)
	default:
		c.fail(now, false)
	}
	return nil, false
}

// readBack takes in the answer to a read, which may be older than what is known.
func (c *cell) readBack(now time.Time, a StoreAnswered) (content []byte, news bool) {
	revision := a.Revision
	if a.Outcome == StoreNotFound {
		revision = 0
	}
	if revision < c.revision {
		c.backOff(now)
		return nil, false
	}
	news = !c.known || revision != c.revision
	c.advance(now, revision, a.Value)
	c.touchWanted = c.wroteAt >= revision
	return a.Value, news
}

// advance moves to a newer revision.
func (c *cell) advance(now time.Time, revision int64, content []byte) bool {
	c.known, c.revision, c.readAt = true, revision, now
	c.readWanted, c.touchWanted = false, false
	c.failures = 0
	return true
}

// seen takes in a record that a watch has shown.
func (c *cell) seen(now time.Time, revision int64, content []byte) bool {
	if c.known && revision <= c.revision {
		return false
	}
	if c.writing {
		return false // the write's own answer tells more
	}
	return c.advance(now, revision, content)
}
