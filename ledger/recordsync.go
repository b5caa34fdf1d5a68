package ledger

import (
	"time"
)

const (
	storeTimeout  = 2 * time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	noRevision    = int64(-1)
)

// recordSync tracks one record of the store: its latest known revision, and the read or write of it that is in progress.
// At most one call is in progress at a time.
type recordSync struct {
	key      string
	known    bool  // the record has been read or written at revision
	revision int64 // 0 if the record does not exist
	readAt   time.Time

	token             int64 // of the call in progress, 0 for none
	writing           bool
	proposal          []byte
	requestedAt       time.Time
	ambiguousRevision int64 // revision that the latest write of unknown outcome expected; noRevision for none
	readDue           bool  // read the record as soon as possible
	retryAt           time.Time
	failures          int
	rewriteDue        bool // write the record even if unchanged, so that an earlier write of unknown outcome can no longer apply
}

func newRecordSync(key string) recordSync {
	return recordSync{key: key, ambiguousRevision: noRevision}
}

// writesResolved reports whether no earlier write of this host can still take effect.
func (s *recordSync) writesResolved() bool {
	return !s.writing && s.ambiguousRevision < s.revision
}

// idle reports whether a write may start now.
func (s *recordSync) idle(now time.Time) bool {
	return s.known && s.token == 0 && !s.readDue && !now.Before(s.retryAt)
}

// expire ends a call that has had no response within storeTimeout.
func (s *recordSync) expire(now time.Time) {
	if s.token != 0 && now.Sub(s.requestedAt) >= storeTimeout {
		s.fail(now, true)
	}
}

// fail ends the call in progress and schedules a retry. After a write of unknown outcome the record is read again.
func (s *recordSync) fail(now time.Time, ambiguous bool) {
	if s.writing && ambiguous {
		s.ambiguousRevision = s.revision
		s.readDue = true
	}
	if !s.writing {
		s.readDue = true
	}
	s.clearCall()
	s.backOff(now)
}

func (s *recordSync) backOff(now time.Time) {
	delay := min(minRetryDelay<<min(s.failures, 10), maxRetryDelay)
	s.failures++
	s.retryAt = now.Add(delay)
}

func (s *recordSync) clearCall() {
	s.token, s.writing, s.proposal = 0, false, nil
}

// read starts a read if one is due and no other call is in progress.
func (s *recordSync) read(now time.Time, token func() int64) []Action {
	if !s.readDue || s.token != 0 || now.Before(s.retryAt) {
		return nil
	}
	s.token, s.requestedAt = token(), now
	return []Action{ReadRecord{Token: s.token, Key: s.key}}
}

// write starts a write of a new value that expects the known revision.
func (s *recordSync) write(now time.Time, token int64, value []byte) Action {
	s.token, s.requestedAt = token, now
	s.writing, s.proposal = true, value
	return WriteRecord{Token: token, Key: s.key, Value: value, Revision: s.revision}
}

// complete ends a call with its result. It returns the record's content and whether it has changed;
// nil content means that the record does not exist.
func (s *recordSync) complete(now time.Time, a StoreAnswered) (content []byte, changed bool) {
	if a.Token != s.token || s.token == 0 {
		return nil, false
	}
	proposal := s.proposal
	switch a.Outcome {
	case StoreApplied:
		s.clearCall()
		s.failures = 0
		return proposal, s.advance(now, a.Revision, proposal)
	case StoreConflict:
		s.clearCall()
		if a.Value == nil || a.Revision <= s.revision {
			s.readDue = true
			s.backOff(now)
			return nil, false
		}
		return a.Value, s.advance(now, a.Revision, a.Value)
	case StoreRead, StoreNotFound:
		s.clearCall()
		return s.completeRead(now, a)
	case StoreAmbiguous:
		s.fail(now, true)
	default:
		s.fail(now, false)
	}
	return nil, false
}

// completeRead applies the result of a read, which may be older than the known revision.
func (s *recordSync) completeRead(now time.Time, a StoreAnswered) (content []byte, changed bool) {
	revision := a.Revision
	if a.Outcome == StoreNotFound {
		revision = 0
	}
	if revision < s.revision {
		s.backOff(now)
		return nil, false
	}
	changed = !s.known || revision != s.revision
	s.advance(now, revision, a.Value)
	s.rewriteDue = s.ambiguousRevision >= revision
	return a.Value, changed
}

// advance moves to a revision that is the same or newer. It returns true, the changed result of its callers.
func (s *recordSync) advance(now time.Time, revision int64, content []byte) bool {
	s.known, s.revision, s.readAt = true, revision, now
	s.readDue, s.rewriteDue = false, false
	s.failures = 0
	return true
}

// applyWatch applies a record received from a watch and reports whether it is newer than the known revision.
func (s *recordSync) applyWatch(now time.Time, revision int64, content []byte) bool {
	if s.known && revision <= s.revision {
		return false
	}
	if s.writing {
		return false // the result of the write will show the newer revision
	}
	return s.advance(now, revision, content)
}
