package standin

import "net/http"

// callAction is how the service handles a call.
type callAction int

const (
	actionRun callAction = iota
	actionRefuse
	actionClose
)

// SetFault replaces the current fault.
func (s *Service) SetFault(fault ServiceFault) {
	s.EditFault(func(current *ServiceFault) { *current = fault })
}

// EditFault modifies the current fault.
func (s *Service) EditFault(edit func(current *ServiceFault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.fault)
}

// nextAction returns how to handle the next call and consumes the fault that it applies.
func (s *Service) nextAction() callAction {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.CloseBefore > 0 {
		s.fault.CloseBefore--
		return actionClose
	}
	if s.fault.Refuse > 0 {
		s.fault.Refuse--
		return actionRefuse
	}
	return actionRun
}

func (s *Service) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault ServiceFault
	if !readJSON(w, r, &fault) {
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}
