package entryhost

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"citronspread/caller"
	"citronspread/model"
	"citronspread/operator"
	"citronspread/routing"
)

const operatorHeaderTimeout = 5 * time.Second

// varsPrefix precedes the host's name in the name of its expvar map.
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
	reply := make(chan ControlState, 1)
	state, err := call(ctx, h.executor, stateRequested{reply: reply}, reply)
	if err != nil {
		return nil, err
	}
	return state, nil
}

// TrafficState is the dump of the router and of the server for callers. Taking it does not involve the control thread,
// so it is available when that is blocked.
type TrafficState struct {
	Snapshot *model.Snapshot
	Router   routing.State
	Callers  caller.State
}

// Snapshot returns the TrafficState of the host.
func (h *Host) Snapshot() any {
	return TrafficState{Snapshot: h.snapshot.Load(), Router: h.router.State(time.Now()), Callers: h.callers.State()}
}

// Ready reports whether the host accepts new requests, and if not, why.
func (h *Host) Ready() (bool, string) {
	switch {
	case h.isStopping.Load():
		return false, "stopping"
	case !h.isComplete.Load():
		return false, "no configuration or host list yet"
	default:
		return true, ""
	}
}
