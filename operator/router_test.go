package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

type fakeHost struct {
	state  func(ctx context.Context) (any, error)
	reason string
}

func (f *fakeHost) State(ctx context.Context) (any, error) { return f.state(ctx) }
func (f *fakeHost) Snapshot() any                          { return "last snapshot" }
func (f *fakeHost) Ready() (bool, string)                  { return f.reason == "", f.reason }

func get(f *fakeHost, path string) *httptest.ResponseRecorder {
	h := &Handler{Name: "a", State: f, Snapshot: f, Readiness: f}
	w := httptest.NewRecorder()
	h.Router().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// TestDump guards against a dump that fails or blocks when the control thread returns an error or is stuck.
func TestDump(t *testing.T) {
	tests := []struct {
		name  string
		state func(ctx context.Context) (any, error)
		want  string
	}{
		{"returns", func(context.Context) (any, error) { return "control", nil }, "answered"},
		{"fails", func(context.Context) (any, error) { return nil, errors.New("broken") }, "failed"},
		{"waits for its context", func(ctx context.Context) (any, error) { <-ctx.Done(); return nil, ctx.Err() }, "stuck"},
		{"ignores its context", func(context.Context) (any, error) { select {} }, "stuck"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			w := get(&fakeHost{state: tt.state}, "/debug/state")
			var got dumpResponse
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if got.ControlThread != tt.want || got.Snapshot != "last snapshot" {
				t.Errorf("got %+v, want ControlThread %s and the snapshot", got, tt.want)
			}
			if took := time.Since(start); took > 2*stateTimeout {
				t.Errorf("got a response after %s, want at most twice stateTimeout", took)
			}
		})
	}
}

func TestReady(t *testing.T) {
	tests := []struct {
		path, reason string
		want         int
	}{
		{"/healthz", "stopping", http.StatusOK},
		{"/readyz", "", http.StatusOK},
		{"/readyz", "stopping", http.StatusServiceUnavailable},
		{"/debug/vars", "", http.StatusOK},
		{"/nothing", "", http.StatusNotFound},
	}
	for _, tt := range tests {
		if got := get(&fakeHost{reason: tt.reason}, tt.path).Code; got != tt.want {
			t.Errorf("%s: got status %d, want %d", tt.path, got, tt.want)
		}
	}
}
