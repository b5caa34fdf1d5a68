// Package standin imitates the platform's store and host list, the model engines and the plain services, for demo and tests.
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

// serve listens on address and serves handler until ctx ends.
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
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
		defer cancel()
		if server.Shutdown(grace) != nil {
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

// cutConnection ends a handler and closes its connection without an answer.
func cutConnection() { panic(http.ErrAbortHandler) }

// failure is the body of an answer that is not a success.
type failure struct {
	Error string
}

func writeFailure(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, failure{Error: text})
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

// readJSON reads a request's body. It answers 400 and returns false when the body is not valid.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// queryInt returns a whole number from the query, 0 when it is missing.
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

// sleep waits for a duration and reports whether ctx lasted that long.
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
