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
	s.announce()
}

func (s *Store) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault StoreFault
	if !readJSON(w, r, &fault) {
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}
