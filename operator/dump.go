package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Values of dumpResponse.ControlThread.
const (
	controlResponded = "answered"
	controlStuck     = "stuck" // no response within stateTimeout
	controlFailed    = "failed"
)

// dumpResponse is the response body of /debug/state.
type dumpResponse struct {
	Name          string
	Version       string
	TakenAt       time.Time
	ControlThread string
	ControlError  string `json:",omitempty"`
	Control       any
	Snapshot      any
}

// stateResult is the state of the control thread as JSON, or the error that it returned.
type stateResult struct {
	state json.RawMessage
	err   error
}

// dump responds with the state of the process. If the control thread is stuck, it responds after stateTimeout with the
// snapshot alone.
func (h *Handler) dump(w http.ResponseWriter, r *http.Request) {
	response := dumpResponse{
		Name:     h.Name,
		Version:  h.Version,
		TakenAt:  time.Now(),
		Snapshot: h.Snapshot.Snapshot(),
	}
	result, responded := h.controlState(r.Context())
	switch {
	case !responded:
		response.ControlThread = controlStuck
	case result.err != nil:
		response.ControlThread = controlFailed
		response.ControlError = result.err.Error()
	default:
		response.ControlThread = controlResponded
		response.Control = result.state
	}
	writeDump(w, response)
}

// controlState requests the state of the control thread and reports whether it was returned within stateTimeout. The
// request runs in its own goroutine, because a source may ignore its context.
func (h *Handler) controlState(ctx context.Context) (stateResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	results := make(chan stateResult, 1)
	go func() { results <- encodeState(ctx, h.State) }()
	select {
	case result := <-results:
		return result, ctx.Err() == nil || result.err == nil
	case <-ctx.Done():
		return stateResult{}, false
	}
}

// encodeState encodes the state of source as JSON. It runs under the timeout, since encoding may also take long.
func encodeState(ctx context.Context, source StateSource) stateResult {
	state, err := source.State(ctx)
	if err != nil {
		return stateResult{err: err}
	}
	encoded, err := json.Marshal(state)
	return stateResult{state: encoded, err: err}
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
