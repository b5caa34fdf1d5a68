package standin

import (
	"net/http"
)

// StoreFault configures the faults that the store injects until the next POST /fault.
type StoreFault struct {
	Down             bool     // respond to every call with status 503
	DelayMS          int64    // delay before each call takes effect
	LoseAnswers      int      // the next N writes take effect without a response
	UnreachableZones []string // connections from these zones are closed
}

// SetFault replaces the current fault.
func (s *Store) SetFault(fault StoreFault) {
	s.EditFault(func(current *StoreFault) { *current = fault })
}

// EditFault modifies the current fault.
func (s *Store) EditFault(edit func(current *StoreFault)) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.fault)
	s.notifyWatchers()
}

func (s *Store) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault StoreFault
	if !readJSON(w, r, &fault) {
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}
