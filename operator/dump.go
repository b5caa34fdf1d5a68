package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Answers of the control thread in a dump.
const (
	controlAnswered = "answered"
	controlStuck    = "stuck"
	controlFailed   = "failed"
)

// dumpResponse is the answer of /debug/state.
type dumpResponse struct {
	Name          string
	Version       string
	TakenAt       time.Time
	ControlThread string
	ControlError  string `json:",omitempty"`
	Control       any
	Snapshot      any
}

// stateAnswer is what the control thread said. It is encoded before the time is up.
type stateAnswer struct {
	state json.RawMessage
	err   error
}

// dump writes the state of the process. It returns in time also when the control thread is stuck.
func (h *Handler) dump(w http.ResponseWriter, r *http.Request) {
	response := dumpResponse{
		Name:     h.Name,
		Version:  h.Version,
		TakenAt:  time.Now(),
		Snapshot: h.Snapshot.Snapshot(),
	}
	answer, answered := h.askControl(r.Context())
	switch {
	case !answered:
		response.ControlThread = controlStuck
	case answer.err != nil:
		response.ControlThread = controlFailed
		response.ControlError = answer.err.Error()
	default:
		response.ControlThread = controlAnswered
		response.Control = answer.state
	}
	writeDump(w, response)
}

// askControl asks in a goroutine of its own, because a source may ignore its context.
func (h *Handler) askControl(ctx context.Context) (stateAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	answers := make(chan stateAnswer, 1)
	go func() { answers <- encodeState(ctx, h.State) }()
	select {
	case answer := <-answers:
		return answer, ctx.Err() == nil || answer.err == nil
	case <-ctx.Done():
		return stateAnswer{}, false
	}
}

func encodeState(ctx context.Context, source StateSource) stateAnswer {
	state, err := source.State(ctx)
	if err != nil {
		return stateAnswer{err: err}
	}
	encoded, err := json.Marshal(state)
	return stateAnswer{state: encoded, err: err}
}

func writeDump(w http.ResponseWriter, response dumpResponse) {
	body, err := json.MarshalIndent(response, "", "  ")
	if err != nil {
		http.Error(w, "operator: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(body, '\n'))
}
