package caller

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/platform"
)

// statingHandler adds headers to the responses of a backend server and counts its requests. With a status it answers them itself.
type statingHandler struct {
	http.Handler
	name, value string
	status      atomic.Int64
	isStating   atomic.Bool
	received    atomic.Int64
}

func (h *statingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.received.Add(1)
	if h.isStating.Load() {
		w.Header().Set(h.name, h.value)
		if status := h.status.Load(); status != 0 {
			w.WriteHeader(int(status))
			return
		}
	}
	h.Handler.ServeHTTP(w, r)
}

// newStatingEnv returns a server with two backend servers of a model and two of a plain service. The first of each states what
// the header says once isStating is set.
func newStatingEnv(t *testing.T, name, value string, status int64) (env *testEnv, engines, desks [2]*statingHandler) {
	plain := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
	var endpoints []model.ServiceEndpoint
	for i := range engines {
		engines[i] = &statingHandler{Handler: &fakeEngine{}, name: name, value: value}
		desks[i] = &statingHandler{Handler: plain, name: name, value: value}
		endpoints = append(endpoints, model.ServiceEndpoint{Service: "desk", Zone: "muenchen", Address: listen(t, desks[i])})
	}
	engines[0].status.Store(status)
	desks[0].status.Store(status)
	env = newTestEnv(t, engines[0], engines[1])
	env.server.ReadStatements = platform.ReadStatements
	env.publish(env.snapshot.Load().Models[0].Replicas, endpoints)
	env.server.Router.Changed()
	return env, engines, desks
}

// TestStatementsOfBackends guards against requests to a backend server that has stated that it is leaving, or that it wants no
// requests for some time, and against callers that get its refusal although another backend server could serve them.
func TestStatementsOfBackends(t *testing.T) {
	tests := []struct {
		name, header, value string
		status              int64
	}{
		{name: "leaving", header: "Server-Leaving", value: "1"},
		{name: "back-off", header: "Retry-After", value: "30", status: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env, engines, desks := newStatingEnv(t, tt.header, tt.value, tt.status)
			send := map[string]func(i int) reply{
				"model": func(i int) reply {
					return env.post(t, "/v1/chat/completions", fmt.Sprintf(`{"model":"faults","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"%d"}]}`, i))
				},
				"plain service": func(i int) reply { return env.get(t, fmt.Sprintf("/services/desk/%d", i)) },
			}
			for kind, handlers := range map[string][2]*statingHandler{"model": engines, "plain service": desks} {
				handlers[0].isStating.Store(true)
				for i := 0; handlers[0].received.Load() == 0 && i < 200; i++ {
					if got := send[kind](i); got.status != http.StatusOK {
						t.Errorf("%s: got status %d, want 200", kind, got.status)
					}
				}
				before := handlers[0].received.Load()
				if before == 0 {
					t.Fatalf("%s: got no request at the backend server that states something", kind)
				}
				for i := range 20 {
					if got := send[kind](1000 + i); got.status != http.StatusOK {
						t.Errorf("%s: got status %d, want 200 of the other backend server", kind, got.status)
					}
				}
				if got := handlers[0].received.Load() - before; got > 0 {
					t.Errorf("%s: got %d requests after the statement, want 0", kind, got)
				}
			}
		})
	}
}

// TestServiceInBackOff guards against a caller that does not get the answer of a service whose other hosts can't be
// asked, and against calls that reach a service in back-off.
func TestServiceInBackOff(t *testing.T) {
	env, _, desks := newStatingEnv(t, "Retry-After", "30", http.StatusServiceUnavailable)
	for _, d := range desks {
		d.isStating.Store(true)
		d.status.Store(http.StatusServiceUnavailable)
	}
	first := env.get(t, "/services/desk/1")
	if first.status != http.StatusServiceUnavailable || first.header.Get("Retry-After") != "30" {
		t.Errorf("got status %d with Retry-After %q, want the 503 of the service", first.status, first.header.Get("Retry-After"))
	}
	startedAt := time.Now()
	second := env.get(t, "/services/desk/2")
	if second.status != http.StatusServiceUnavailable || second.header.Get(headerRun) != runStatusNotRun {
		t.Errorf("got status %d and %q, want 503 for a call that was not run", second.status, second.header.Get(headerRun))
	}
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("got the refusal after %v, want it at once", took)
	}
	for i, d := range desks {
		if got := d.received.Load(); got != 1 {
			t.Errorf("got %d calls at host %d, want 1", got, i)
		}
	}
}

func (e *testEnv) get(t *testing.T, path string) reply {
	t.Helper()
	response, err := http.Get(e.url + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return reply{status: response.StatusCode, header: response.Header}
}
