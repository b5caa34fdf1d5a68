// Package operator serves the operators' side of an entry host over HTTP.
package operator

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// stateTimeout bounds how long a dump waits for the control thread.
const stateTimeout = time.Second

// StateSource gives the state of the control thread. It may not answer while that thread is stuck.
type StateSource interface {
	State(ctx context.Context) (any, error)
}

// SnapshotSource gives the traffic side's last snapshot, without waiting for the control thread.
type SnapshotSource interface {
	Snapshot() any
}

// ReadinessSource tells whether the entry host takes new requests, and the reason when it doesn't.
type ReadinessSource interface {
	Ready() (bool, string)
}

// Handler serves the operators' side.
type Handler struct {
	Name      string
	Version   string
	State     StateSource
	Snapshot  SnapshotSource
	Readiness ReadinessSource
}

// Router returns the routes of the operators' side.
func (h *Handler) Router() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", h.health)
	r.Get("/readyz", h.ready)
	r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	r.Get("/debug/state", h.dump)
	return r
}
