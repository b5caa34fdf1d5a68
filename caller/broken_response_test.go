package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/rawserver"
)

// breakingHandler answers the first request with a broken response. Handlers of one test count their requests together.
type breakingHandler struct {
	http.Handler
	broken   func(id string) rawserver.Broken
	received *atomic.Int64
}

func (h breakingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.received.Add(1) > 1 {
		h.Handler.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // bytes that are not read turn the end of the connection into a reset
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	h.broken(r.Header.Get("X-Request-Id")).Write(conn.(*net.TCPConn))
}

// newBreakingEnv returns a server with two engines and two hosts of the plain service desk, of which the one that gets the
// first request answers it with a broken response.
func newBreakingEnv(t *testing.T, broken func(id string) rawserver.Broken) (env *testEnv, received *atomic.Int64) {
	received = &atomic.Int64{}
	newHandler := func(h http.Handler) http.Handler { return breakingHandler{h, broken, received} }
	plain := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
	env = newTestEnv(t, newHandler(&fakeEngine{}), newHandler(&fakeEngine{}))
	var desks []model.ServiceEndpoint
	for range 2 {
		desks = append(desks, model.ServiceEndpoint{Service: "desk", Zone: "muenchen", Address: listen(t, newHandler(plain))})
	}
	env.publish(env.snapshot.Load().Models[0].Replicas, desks)
	env.server.Router.Changed()
	env.server.Claims = &Claims{Store: newFakeStore(1), MaxWait: time.Second, StoreTimeout: time.Second}
	return env, received
}

// TestBrokenServiceResponses guards against a broken response of a plain service that a caller gets as a response, and
// against a call that may have run and is sent again because of it.
func TestBrokenServiceResponses(t *testing.T) {
	forms := rawserver.BrokenResponses("200 OK", "Content-Type: text/plain\r\n", "booked")
	forms = append(forms, rawserver.BrokenResponses("404 Not Found", "", "nothing booked")...)
	for i, form := range append(forms, rawserver.SilentResponses("200 OK", "", "booked")...) {
		t.Run(fmt.Sprintf("%d %s", i, form.Name), func(t *testing.T) {
			t.Parallel()
			tests := []struct {
				method string
				fields []string
				status int
				sends  int64
			}{
				{method: http.MethodGet, status: http.StatusOK, sends: 2},
				{method: http.MethodPost, status: http.StatusBadGateway, sends: 1},
				{method: http.MethodPost, fields: []string{headerIdempotencyKey, "k"}, status: http.StatusBadGateway, sends: 1},
			}
			for _, tt := range tests {
				if form.IsSilent { // the deadline ends a silence
					tt.fields, tt.status, tt.sends = append(tt.fields, "X-Timeout", "300ms"), http.StatusGatewayTimeout, 1
				}
				env, received := newBreakingEnv(t, func(string) rawserver.Broken { return form })
				got := env.send(t, tt.method, "/services/desk/x", "body", tt.fields...)
				if got.status != tt.status || got.status == http.StatusOK && got.body != "done" {
					t.Errorf("%s %v: got status %d, %q, want %d", tt.method, tt.fields, got.status, got.body, tt.status)
				}
				if want := runStatusMaybeRun; tt.status != http.StatusOK && got.header.Get(headerRun) != want {
					t.Errorf("%s %v: got %s %q, want %q", tt.method, tt.fields, headerRun, got.header.Get(headerRun), want)
				}
				if len(tt.fields) > 0 && tt.fields[0] == headerIdempotencyKey {
					if again := env.send(t, tt.method, "/services/desk/x", "body", headerIdempotencyKey, "k"); again.status != http.StatusConflict {
						t.Errorf("got status %d, %q for the same call again, want 409", again.status, again.body)
					}
				}
				if got := received.Load(); got != tt.sends {
					t.Errorf("%s %v: got %d sends, want %d", tt.method, tt.fields, got, tt.sends)
				}
			}
		})
	}
}

// TestResetDuringUpload guards against a part of a plain service's response that looks complete because the connection was
// reset while the call was still being written.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 30
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // until the host has read it
		rawserver.Reset(conn)
		return false
	})
	env := newTestEnv(t)
	env.server.Limits.MaxBodyBytes = 64 << 20
	env.publish(nil, []model.ServiceEndpoint{{Service: "desk", Zone: "muenchen", Address: address}})
	env.server.Router.Changed()
	complete := 0
	for i := range rounds {
		got := env.send(t, http.MethodPost, fmt.Sprintf("/services/desk/%d", i), strings.Repeat("upload ", 2<<20))
		if got.status == http.StatusOK {
			complete++
		}
	}
	if complete != 0 {
		t.Errorf("got %d of %d truncated responses as complete, want 0", complete, rounds)
	}
}
