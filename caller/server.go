// Package caller is the HTTP server for callers: the OpenAI-compatible API and calls to plain services.
package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"citronspread/engine"
	"citronspread/routing"
	"citronspread/service"
	"citronspread/workspace"
)

const drainPollInterval = 10 * time.Millisecond

// Limits bounds callers' requests.
type Limits struct {
	MaxBodyBytes      int64
	BodyTimeout       time.Duration // for reading a request body
	WriteTimeout      time.Duration // for a caller that reads nothing of its response
	DefaultTimeout    time.Duration
	MaxTimeout        time.Duration
	DefaultPriority   int
	MaxPriority       int
	MaxTokens         int
	MaxRuns           int           // runs of one request, including resumed ones
	KeepAliveInterval time.Duration // silence after which a stream sends a comment
}

// DefaultLimits returns the limits that apply unless the settings change them.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:      1 << 20,
		BodyTimeout:       10 * time.Second,
		WriteTimeout:      30 * time.Second,
		DefaultTimeout:    2 * time.Minute,
		MaxTimeout:        time.Hour,
		DefaultPriority:   50,
		MaxPriority:       100,
		MaxTokens:         32768,
		MaxRuns:           5,
		KeepAliveInterval: 10 * time.Second,
	}
}

// Server serves callers. The exported fields must be set before use.
type Server struct {
	Router            *routing.Router
	Streamer          *engine.Streamer
	Services          *service.Client
	Claims            *Claims // nil when no store is configured
	Log               *zap.Logger
	Limits            Limits
	IdempotentMethods []string             // of plain services; GET, HEAD and OPTIONS when empty
	Workspaces        *workspace.Directory // nil or empty if callers need no keys
	Totals            Totals
	// ReadStatements reads what the head of a response states about its backend server: that it is leaving, and for how long it
	// wants no requests. Nil if backend servers state nothing.
	ReadStatements func(status int, header http.Header) (leaving bool, backOff time.Duration, err error)

	invalidStatements sync.Map // backend servers with a statement that could not be read, to log it once

	draining atomic.Bool
	open     atomic.Int64
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	r := chi.NewRouter()
	r.Use(s.track)
	keyed := r.With(s.authenticate)
	keyed.Get("/v1/models", s.listModels)
	keyed.Post("/v1/chat/completions", s.completeChat)
	keyed.Post("/v1/completions", s.completeText)
	keyed.HandleFunc("/services/{service}", s.callService)
	keyed.HandleFunc("/services/{service}/*", s.callService)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, failure{status: http.StatusNotFound, code: codeNoRoute, message: "no such path", run: runStatusNotRun})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, failure{status: http.StatusMethodNotAllowed, code: codeNoMethod, message: "method not allowed", run: runStatusNotRun})
	})
	return r
}

// Ready reports whether the load balancer should send callers to this server.
func (s *Server) Ready() bool { return !s.draining.Load() }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// Drain makes Ready return false, keeps accepting requests for the lag of the load balancer
// and then waits until no request is in progress.
func (s *Server) Drain(ctx context.Context, lag time.Duration) error {
	s.draining.Store(true)
	if err := sleep(ctx, lag); err != nil {
		return err
	}
	for s.open.Load() > 0 {
		if err := sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// track counts the requests in progress, and closes callers' connections during a drain.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		s.Totals.Requests.Add(1)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
