package standin

import (
	"net/http"
)

// StoreFault is what the store does wrong until the next POST /fault.
type StoreFault struct {
	Down             bool     // 503 to every call
	DelayMS          int64    // before each answer
	LoseAnswers      int      // the next writes take effect without an answer
	UnreachableZones []string // connections from these zones are closed
	Restore          int64    // goes back once to the newest snapshot up to this revision
}

// SetFault replaces the present fault.
func (s *Store) SetFault(fault StoreFault) {
	s.EditFault(func(present *StoreFault) { *present = fault })
}

// EditFault changes the present fault.
func (s *Store) EditFault(edit func(present *StoreFault)) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.fault)
	if s.fault.Restore > 0 {
		s.restore(s.fault.Restore)
		s.fault.Restore = 0
	}
	s.announce()
}

// Snapshot keeps a copy of the data and returns its revision.
func (s *Store) Snapshot() int64 {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append(s.snapshots, s.data.clone())
	return s.data.revision
}

// restore goes back to the newest snapshot up to a revision. The caller holds the mutex.
func (s *Store) restore(revision int64) {
	for i := len(s.snapshots) - 1; i >= 0; i-- {
		if s.snapshots[i].revision <= revision {
			s.data = s.snapshots[i].clone()
			return
		}
	}
	s.data = newKeyspace()
}

func (s *Store) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault StoreFault
	if !readJSON(w, r, &fault) {
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}

func (s *Store) handleSnapshot(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, revisionAnswer{Revision: s.Snapshot()})
}
