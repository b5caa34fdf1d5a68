package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"citronspread/model"
	"citronspread/workspace"
)

// Keys of the tests. Both contain secretMark, so that a search for it finds either of them.
const (
	secretMark = "asnm-517823"
	keyFirst   = secretMark + "-first"
	keySecond  = secretMark + "-second"
)

// echoService is a plain service that responds with the number of its calls and keeps their headers.
type echoService struct {
	mu       sync.Mutex
	received []http.Header
}

func (s *echoService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, r.Header)
	fmt.Fprint(w, len(s.received))
}

func (s *echoService) last() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[len(s.received)-1]
}

// newKeysEnv returns a server with two workspaces, one engine and one plain service.
func newKeysEnv(t *testing.T) (env *testEnv, engine *fakeEngine, plain *echoService, log *bytes.Buffer) {
	engine, plain, log = &fakeEngine{}, &echoService{}, &bytes.Buffer{}
	env = newTestEnv(t, engine)
	three := 3
	env.server.Workspaces = workspace.NewDirectory([]model.Workspace{{Name: "hule930", Keys: []string{keyFirst}, Priority: &three}, {Name: "other", Keys: []string{keySecond}}})
	env.server.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(zapcore.AddSync(log)), zap.DebugLevel))
	env.publish(env.snapshot.Load().Models[0].Replicas, []model.ServiceEndpoint{{Service: "desk", Backend: "desk-0", Zone: "muenchen", Address: listen(t, plain)}})
	eventually(t, func() bool { return env.server.Router.HasService("desk") })
	return env, engine, plain, log
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out")
}

// TestCallersNeedKeys guards against requests that reach an engine or a plain service without the key of a workspace, and
// against a key that is passed on, logged or dumped.
func TestCallersNeedKeys(t *testing.T) {
	env, engine, plain, log := newKeysEnv(t)
	chat := fmt.Sprintf(chatBody, "")
	for _, authorization := range []string{"", "Bearer", "Bearer " + secretMark, "Basic " + keyFirst, keyFirst} {
		for _, path := range []string{pathChat, pathText, "/services/desk", "/services/desk/x"} {
			fields := []string{headerWorkspace, "hule930"}
			if authorization != "" {
				fields = append(fields, "Authorization", authorization)
			}
			got := env.post(t, path, chat, fields...)
			var body errorBody
			if err := json.Unmarshal([]byte(got.body), &body); err != nil {
				t.Fatal(err)
			}
			if got.status != http.StatusUnauthorized || got.header.Get("WWW-Authenticate") != "Bearer" || body.Error.Run != runStatusNotRun || body.Error.Code != codeUnauthorized {
				t.Errorf("%s with %q: got %+v, want 401 that says not run", path, authorization, got)
			}
			if id := got.header.Get(headerRequestID); id == "" || !strings.Contains(log.String(), id) {
				t.Errorf("%s with %q: got the request ID %q, want one that is logged", path, authorization, id)
			}
		}
	}
	if engine.received.Load() > 0 || len(plain.received) > 0 {
		t.Errorf("got %d requests at the engine and %d at the plain service, want none", engine.received.Load(), len(plain.received))
	}
	if got := env.server.State(); got.Unauthorized != 20 || got.Workspaces != 2 || got.WorkspaceKeys != 2 {
		t.Errorf("got %+v, want 20 refusals, 2 workspaces and 2 keys", got)
	}
	if got := env.post(t, pathChat, chat, "Authorization", "Bearer "+keyFirst); got.status != http.StatusOK {
		t.Errorf("got %+v with a key, want 200", got)
	}
	if got := env.post(t, "/services/desk/x", "x", "Authorization", "bearer "+keySecond, headerWorkspace, "hule930"); got.status != http.StatusOK {
		t.Errorf("got %+v with a key, want 200", got)
	}
	if got := plain.last(); got.Get("Authorization") != "" || got.Get(headerWorkspace) != "other" || len(got.Values(headerWorkspace)) != 1 {
		t.Errorf("got the workspaces %q at the plain service, want other and no credentials", got.Values(headerWorkspace))
	}
	if got := env.post(t, "/none", "x"); got.status != http.StatusNotFound {
		t.Errorf("got %d for an unknown path, want 404", got.status)
	}
	dump, err := json.Marshal(map[string]any{"state": env.server.State(), "router": env.server.Router.State(time.Now())})
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(log.String()+string(dump), secretMark) {
		t.Error("got a key in the log or the dump, want none")
	}
}

// TestModelListNeedsKey guards against a list of models that anybody can read.
func TestModelListNeedsKey(t *testing.T) {
	env, _, _, _ := newKeysEnv(t)
	for authorization, want := range map[string]int{"": http.StatusUnauthorized, "Bearer " + keyFirst: http.StatusOK} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, env.url+"/v1/models", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", authorization)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%q: got %d, want %d", authorization, response.StatusCode, want)
		}
	}
}

// TestWorkspacesShareNoIdempotencyKeys guards against a workspace that gets the stored response to a call of another one.
func TestWorkspacesShareNoIdempotencyKeys(t *testing.T) {
	env, _, plain, _ := newKeysEnv(t)
	env.server.Claims = &Claims{Store: newFakeStore(1), MaxWait: time.Second, StoreTimeout: time.Second}
	call := func(key string) string {
		got := env.post(t, "/services/desk/x", "x", "Authorization", "Bearer "+key, headerIdempotencyKey, "booking-1")
		if got.status != http.StatusOK {
			t.Fatalf("got %+v, want 200", got)
		}
		return got.body
	}
	first, again, other := call(keyFirst), call(keyFirst), call(keySecond)
	if first != "1" || again != "1" || other != "2" || len(plain.received) != 2 {
		t.Errorf("got the responses %s, %s and %s of calls 1, 1 and 2, and %d calls, want 2", first, again, other, len(plain.received))
	}
}

// TestPriorityOfWorkspace guards against callers that raise their priority above that of their workspace.
func TestPriorityOfWorkspace(t *testing.T) {
	s := &Server{Limits: DefaultLimits(), Log: zap.NewNop()}
	three, last := 3, workspace.MaxPriority
	s.Workspaces = workspace.NewDirectory([]model.Workspace{
		{Name: "hule930", Keys: []string{keyFirst}, Priority: &three}, {Name: "other", Keys: []string{keySecond}}, {Name: "last", Keys: []string{"l"}, Priority: &last},
	})
	tests := []struct {
		key, header string
		want        int
	}{
		{keyFirst, "", 70},
		{keyFirst, "100", 70},
		{keyFirst, "10", 10},
		{keySecond, "", 50},
		{keySecond, "100", 100},
		{"l", "", 0},
	}
	for _, tt := range tests {
		r, err := http.NewRequest(http.MethodGet, "/", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+tt.key)
		if tt.header != "" {
			r.Header.Set(headerPriority, tt.header)
		}
		got := -1
		s.authenticate(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if options, ok := s.readOptions(w, r, time.Now()); ok {
				got = options.priority
			}
		})).ServeHTTP(nil, r)
		if got != tt.want {
			t.Errorf("%s with %s %q: got priority %d, want %d", tt.key, headerPriority, tt.header, got, tt.want)
		}
	}
}
