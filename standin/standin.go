// Package standin simulates the services that entry hosts depend on, for the demo, tests and measurements: the
// platform's key-value store and host list, the weight store, model engines and plain services. Each stand-in can
// inject faults and counts what it does, so that tests can check the behavior of entry hosts.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	zoneHeader      = "X-Zone"
	requestIDHeader = "X-Request-Id"
	maxBodyBytes    = 8 << 20
	headerTimeout   = 10 * time.Second
	shutdownGrace   = 100 * time.Millisecond
)

// serve listens on address and serves handler until ctx is done.
func serve(ctx context.Context, address string, handler http.Handler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	return serveListener(ctx, listener, handler)
}

func serveListener(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "standin: serve")
}

// abortConnection aborts the handler of a request and closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

// errorResponse is the body of an error response, except in the OpenAI-compatible API.
type errorResponse struct {
	Error string
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorResponse{Error: text})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	payload, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(payload)))
	w.WriteHeader(status)
	_, _ = w.Write(payload)
}

// readJSON decodes the body of a request. If the body is invalid, it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// queryInt returns an integer from the query, or 0 if it is missing or invalid.
func queryInt(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func queryMillis(r *http.Request, name string) time.Duration {
	return time.Duration(queryInt(r, name)) * time.Millisecond
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
