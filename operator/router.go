// Package operator serves the HTTP endpoints of an entry host for operators and the load balancer: health, readiness,
// expvar variables and a dump of the process's state.
package operator

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// stateTimeout is how long a dump waits for the state of the control thread.
const stateTimeout = time.Second

// StateSource returns the state of the control thread, the goroutine that owns the entry host's control state. State
// may block while that goroutine is stuck.
type StateSource interface {
	State(ctx context.Context) (any, error)
}

// SnapshotSource returns the state of request handling, including the last snapshot that the control thread published.
// It does not wait for the control thread.
type SnapshotSource interface {
	Snapshot() any
}

// ReadinessSource reports whether the entry host accepts new requests, and the reason if it does not.
type ReadinessSource interface {
	Ready() (bool, string)
}

// Handler holds what the endpoints report.
type Handler struct {
	Name      string // of the entry host
	Version   string
	State     StateSource
	Snapshot  SnapshotSource
	Readiness ReadinessSource
}

// Router returns a handler for all endpoints.
func (h *Handler) Router() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", h.health)
	r.Get("/readyz", h.ready)
	r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	r.Get("/debug/state", h.dump)
	return r
}
