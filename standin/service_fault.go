package standin

import "net/http"

// serviceStep is what becomes of a call.
type serviceStep int

const (
	stepRun serviceStep = iota
	stepRefuse
	stepClose
)

// SetFault replaces the present fault.
func (s *Service) SetFault(fault ServiceFault) {
	s.EditFault(func(present *ServiceFault) { *present = fault })
}

// EditFault changes the present fault.
func (s *Service) EditFault(edit func(present *ServiceFault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.fault)
}

// nextStep decides what becomes of the next call.
func (s *Service) nextStep() serviceStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.CloseBefore > 0 {
		s.fault.CloseBefore--
		return stepClose
	}
	if s.fault.Refuse > 0 {
		s.fault.Refuse--
		return stepRefuse
	}
	return stepRun
}

func (s *Service) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault ServiceFault
	if !readJSON(w, r, &fault) {
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}
