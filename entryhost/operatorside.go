package entryhost

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"citronspread/operator"
)

const operatorHeaderTimeout = 5 * time.Second

// varsPrefix names the host's variables in expvar.
const varsPrefix = "citronspread."

func (h *Host) operatorHandler() http.Handler {
	if expvar.Get(varsPrefix+h.Name) == nil {
		expvar.Publish(varsPrefix+h.Name, h.vars())
	}
	handler := &operator.Handler{Name: h.Name, Version: h.Version, State: h, Snapshot: h, Readiness: h}
	return handler.Router()
}

// State returns the dump of the control state.
func (h *Host) State(ctx context.Context) (any, error) {
	reply := make(chan State, 1)
	state, err := ask(ctx, h.edge, stateAsked{reply: reply}, reply)
	if err != nil {
		return nil, err
	}
	return state, nil
}

// Snapshot returns the traffic side's last snapshot.
func (h *Host) Snapshot() any { return h.snapshot.Load() }

// Ready reports whether the host takes new requests.
func (h *Host) Ready() (bool, string) {
	switch {
	case h.isUnready.Load():
		return false, "stopping"
	case !h.isSnapshotIn.Load():
		return false, "no configuration or host list yet"
	default:
		return true, ""
	}
}
