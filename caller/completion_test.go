package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/routing"
)

const chatBody = `{"model":"faults","messages":[{"role":"user","content":"stuck gate"}],"max_tokens":20%s}`

// faultOnce injects a fault at one token, but only in the first run that reaches it.
func faultOnce(at int, fault func(id string, index int) string) func(*fakeEngine, string, int) string {
	var fired atomic.Bool
	return func(_ *fakeEngine, id string, index int) string {
		if index != at || !fired.CompareAndSwap(false, true) {
			return ""
		}
		return fault(id, index)
	}
}

func constantFault(fault string) func(string, int) string {
	return func(string, int) string { return fault }
}

func responseFaults() map[string]func(string, int) string {
	return map[string]func(string, int) string{
		"none":          constantFault(""),
		"aborted":       constantFault(faultAbort),
		"truncated":     constantFault(faultEnd),
		"stalled":       constantFault(faultHang),
		"other request": func(_ string, index int) string { return chunkText("cmpl-other", index) },
		"duplicate":     func(id string, index int) string { return chunkText(id, index-1) },
		"gap":           func(id string, index int) string { return chunkText(id, index+1) },
		"changed": func(id string, index int) string {
			return strings.Replace(chunkText(id, index-1), `"t`, `"x`, 1)
		},
	}
}

// TestAnswers verifies that a faulty stream of one backend server never leads to a wrong response.
func TestAnswers(t *testing.T) {
	for name, fault := range responseFaults() {
		for _, options := range []string{"", `,"stream":true`, `,"seed":1`, `,"stream":true,"temperature":0`} {
			t.Run(name+options, func(t *testing.T) {
				t.Parallel()
				sharedFault := faultOnce(7, fault)
				env := newTestEnv(t, &fakeEngine{fault: sharedFault}, &fakeEngine{fault: sharedFault})
				got := env.post(t, pathChat, fmt.Sprintf(chatBody, options))
				checkResponse(t, got, name, options)
			})
		}
	}
}

// TestUncheckedAnswers verifies that the faults of TestAnswers have an effect: without the checks of chunks,
// wrong responses pass for complete ones.
func TestUncheckedAnswers(t *testing.T) {
	for name, fault := range responseFaults() {
		f := &fakeEngine{fault: faultOnce(7, fault)}
		request := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(fmt.Sprintf(chatBody, `,"stream":true`)))
		request.Header.Set("X-Request-Id", "own")
		recorder := httptest.NewRecorder()
		if name == "aborted" || name == "stalled" || name == "truncated" {
			continue // detected without checks, because [DONE] is missing
		}
		f.ServeHTTP(recorder, request)
		text, complete := reply{status: recorder.Code, header: recorder.Header(), body: recorder.Body.String()}.text()
		if got, want := complete && text != fullText(20), name != "none"; got != want {
			t.Errorf("%s: got wrong response %v, want %v", name, got, want)
		}
	}
}

// TestMoves lets one of two engines stall. The response must continue on the other replica,
// unless the caller has already received a part of a response that is not deterministic.
func TestMoves(t *testing.T) {
	tests := []struct {
		name     string
		options  string
		at       int
		moved    int64
		complete bool
	}{
		{name: "deterministic stream", options: `,"stream":true,"seed":1`, at: 7, moved: 1, complete: true},
		{name: "nondeterministic answer", at: 7, moved: 1, complete: true},
		{name: "nondeterministic stream before the first token", options: `,"stream":true`, at: 0, moved: 1, complete: true},
		{name: "nondeterministic stream", options: `,"stream":true`, at: 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var armed atomic.Bool
			hang := func(_ *fakeEngine, _ string, index int) string {
				if index == tt.at && armed.CompareAndSwap(true, false) {
					return faultHang
				}
				return ""
			}
			env := newTestEnv(t, &fakeEngine{fault: hang, interval: time.Millisecond}, &fakeEngine{fault: hang, interval: time.Millisecond})
			env.server.Router.Picker = routing.LeastPicker{}
			env.server.Streamer.StallTimeout = time.Second
			for i := range 8 {
				env.post(t, pathChat, strings.Replace(fmt.Sprintf(chatBody, ""), "stuck", fmt.Sprint(i), 1))
			}
			armed.Store(true)
			got := env.post(t, pathChat, fmt.Sprintf(chatBody, tt.options))
			text, complete := got.text()
			if moved := env.server.Totals.Moved.Load(); complete != tt.complete || moved != tt.moved {
				t.Errorf("got complete %v, %d moves, want %v, %d", complete, moved, tt.complete, tt.moved)
			}
			if want := fullText(20); !strings.HasPrefix(want, text) || complete && text != want {
				t.Errorf("got %q, want %q", text, want)
			}
		})
	}
}

// checkResponse expects the complete response or, for a stream that can't be continued, an error event without [DONE].
func checkResponse(t *testing.T, got reply, fault, options string) {
	t.Helper()
	text, complete := got.text()
	nondeterministicStream := options == `,"stream":true`
	if nondeterministicStream && fault != "none" && fault != "duplicate" {
		if complete || !strings.Contains(got.body, "event: error") || !strings.HasPrefix(fullText(20), text) {
			t.Errorf("got complete %v, body %s, want a prefix and an error event", complete, got.body)
		}
		return
	}
	if want := fullText(20); !complete || text != want {
		t.Errorf("got complete %v, status %d, text %q, want %q", complete, got.status, text, want)
	}
}

// TestRunStatusOfFailures verifies that a failed request is reported as not run only if no engine ran it.
func TestRunStatusOfFailures(t *testing.T) {
	chat := fmt.Sprintf(chatBody, "")
	tests := []struct {
		name   string
		body   string
		header []string
		engine *fakeEngine
		status int
		run    string
	}{
		{name: "no JSON", body: "{", engine: &fakeEngine{}, status: http.StatusBadRequest, run: runStatusNotRun},
		{name: "no messages", body: `{"model":"faults"}`, engine: &fakeEngine{}, status: http.StatusBadRequest, run: runStatusNotRun},
		{name: "bad priority", body: chat, header: []string{headerPriority, "x"}, engine: &fakeEngine{}, status: http.StatusBadRequest, run: runStatusNotRun},
		{name: "bad timeout", body: chat, header: []string{headerTimeout, "5"}, engine: &fakeEngine{}, status: http.StatusBadRequest, run: runStatusNotRun},
		{name: "unknown model", body: strings.Replace(chat, "faults", "other", 1), engine: &fakeEngine{}, status: http.StatusNotFound, run: runStatusNotRun},
		{name: "unknown adapter", body: strings.Replace(chat, "faults", "faults:other", 1), engine: &fakeEngine{}, status: http.StatusNotFound, run: runStatusNotRun},
		{name: "too large", body: chat + strings.Repeat(" ", 1<<20), engine: &fakeEngine{}, status: http.StatusRequestEntityTooLarge, run: runStatusNotRun},
		{
			name: "overloaded", body: chat, header: []string{headerTimeout, "300ms"},
			engine: &fakeEngine{status: http.StatusTooManyRequests, code: "overloaded"}, status: http.StatusServiceUnavailable, run: runStatusNotRun,
		},
		{
			name: "not loaded", body: chat, header: []string{headerTimeout, "300ms"},
			engine: &fakeEngine{status: http.StatusNotFound, code: "model_not_loaded"}, status: http.StatusServiceUnavailable, run: runStatusNotRun,
		},
		{
			name: "engine fails", body: chat,
			engine: &fakeEngine{status: http.StatusInternalServerError, code: "broken"}, status: http.StatusBadGateway, run: runStatusMaybeRun,
		},
		{
			name: "always aborted", body: chat, header: []string{headerTimeout, "2s"},
			engine: &fakeEngine{fault: func(*fakeEngine, string, int) string { return faultAbort }}, status: http.StatusUnprocessableEntity, run: runStatusMaybeRun,
		},
		{
			name: "deadline while running", body: chat, header: []string{headerTimeout, "200ms"},
			engine: &fakeEngine{interval: 50 * time.Millisecond}, status: http.StatusGatewayTimeout, run: runStatusMaybeRun,
		},
	}
	t.Cleanup(func() {
		wrongNotRun := 0 // failures that would be wrong if every failure were reported as not run
		for _, tt := range tests {
			if tt.engine.totalRuns() > 0 {
				wrongNotRun++
			}
		}
		if wrongNotRun == 0 {
			t.Error("got no failure of a request that ran, want at least one; otherwise the check for not-run has nothing to detect")
		}
	})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, tt.engine)
			got := env.post(t, pathChat, tt.body, tt.header...)
			if got.status != tt.status || got.header.Get(headerRun) != tt.run {
				t.Errorf("got %d %s %s, want %d %s", got.status, got.header.Get(headerRun), got.body, tt.status, tt.run)
			}
			if runs := tt.engine.totalRuns(); tt.run == runStatusNotRun && runs != 0 {
				t.Errorf("got %d runs of a request reported as not run, want 0", runs)
			}
		})
	}
}

func TestUnreachableBackend(t *testing.T) {
	env := newTestEnv(t, &fakeEngine{})
	unreachable := model.Replica{Key: testKey, Backend: "unreachable", Zone: "muenchen", Address: "127.0.0.1:1", Capacity: 8, UpdatedAt: time.Now()}
	env.publish([]model.Replica{unreachable}, nil)
	got := env.post(t, pathChat, fmt.Sprintf(chatBody, ""), headerTimeout, "300ms")
	if got.status != http.StatusServiceUnavailable || got.header.Get(headerRun) != runStatusNotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s, want 503 %s with Retry-After", got.status, got.header.Get(headerRun), runStatusNotRun)
	}
}

// TestColdStart verifies that requests for a model that is not loaded raise load demands and are served after the load.
func TestColdStart(t *testing.T) {
	const requests = 20
	f := &fakeEngine{}
	env := newTestEnv(t)
	replica := model.Replica{Key: testKey, Backend: "late", Zone: "muenchen", Address: listen(t, f), Capacity: 8}
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			body := strings.Replace(fmt.Sprintf(chatBody, ""), "stuck", fmt.Sprint("stuck", i), 1)
			got := env.post(t, pathChat, body, headerTimeout, "20s")
			if text, complete := got.text(); !complete || text != fullText(20) {
				t.Errorf("got %d %s, want the complete response", got.status, got.body)
			}
		})
	}
	demand := <-env.demands
	if demand.Key != testKey || demand.Waiting < 1 {
		t.Errorf("got load demand %+v, want one for %s", demand, testKey)
	}
	repeated := <-env.demands
	if repeated.Waiting != requests {
		t.Errorf("got repeated load demand %+v, want %d waiting", repeated, requests)
	}
	replica.UpdatedAt = time.Now()
	env.publish([]model.Replica{replica}, nil)
	env.server.Router.Changed()
	group.Wait()
}

// TestCrashingRequest repeats a request that crashes each engine: suspect handling must stop it after two.
func TestCrashingRequest(t *testing.T) {
	crash := func(*fakeEngine, string, int) string { return faultAbort }
	engines := make([]*fakeEngine, 5)
	handlers := make([]http.Handler, 5)
	for i := range engines {
		engines[i] = &fakeEngine{fault: crash}
		handlers[i] = engines[i]
	}
	env := newTestEnv(t, handlers...)
	for range 4 {
		env.post(t, pathChat, fmt.Sprintf(chatBody, `,"seed":1`), headerTimeout, "2s")
	}
	crashed := 0
	for _, e := range engines {
		crashed += e.totalRuns()
	}
	if crashed > 2 {
		t.Errorf("got %d backend servers crashed, want at most 2", crashed)
	}
}

// TestDrainCompletesRequests verifies that a drain waits for streams in progress
// and serves requests that arrive before the load balancer has stopped sending them.
func TestDrainCompletesRequests(t *testing.T) {
	env := newTestEnv(t, &fakeEngine{interval: 10 * time.Millisecond})
	done := make(chan reply, 1)
	go func() { done <- env.post(t, pathChat, fmt.Sprintf(chatBody, `,"stream":true`)) }()
	for env.server.OpenRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- env.server.Drain(t.Context(), 50*time.Millisecond) }()
	for env.server.Ready() {
		time.Sleep(time.Millisecond)
	}
	late := env.post(t, pathChat, strings.Replace(fmt.Sprintf(chatBody, ""), "gate", "door", 1))
	if _, complete := late.text(); !complete {
		t.Errorf("got %d for a request within the lag of the load balancer, want a complete response", late.status)
	}
	if err := <-drained; err != nil {
		t.Errorf("got %v, want a clean drain", err)
	}
	select {
	case got := <-done:
		if _, complete := got.text(); !complete {
			t.Errorf("got %s, want a complete stream", got.body)
		}
	default:
		t.Error("drain ended before the stream")
	}
}

// TestFailingLoad lets a burst wait for a model whose load never completes.
// All requests must be refused as not run, at their deadline.
func TestFailingLoad(t *testing.T) {
	env := newTestEnv(t)
	env.server.Router.Policy.ColdStart = 0
	var group sync.WaitGroup
	begun := time.Now()
	for i := range 40 {
		group.Go(func() {
			body := strings.Replace(fmt.Sprintf(chatBody, ""), "stuck", fmt.Sprint(i), 1)
			got := env.post(t, pathChat, body, headerTimeout, "400ms")
			if got.status != http.StatusServiceUnavailable || got.header.Get(headerRun) != runStatusNotRun {
				t.Errorf("got %d %s, want 503 %s", got.status, got.header.Get(headerRun), runStatusNotRun)
			}
		})
	}
	group.Wait()
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("got the last refusal after %s, want at most 2s", took)
	}
	counts := env.server.Router.State(time.Now()).Queue
	if resolved := counts.Refused + counts.Withdrawn; resolved != 40 || counts.Unbalance+counts.Unsettled > 0 {
		t.Errorf("got %+v, want 40 refused or withdrawn", counts)
	}
}

func TestSlowBody(t *testing.T) {
	f := &fakeEngine{}
	env := newTestEnv(t, f)
	env.server.Limits.BodyTimeout = 50 * time.Millisecond
	connection, err := net.Dial("tcp", strings.TrimPrefix(env.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{", pathChat)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get(headerRun) != runStatusNotRun || f.received.Load() != 0 {
		t.Errorf("got %d %s, %d requests at the engine, want 408 %s, 0", response.StatusCode, response.Header.Get(headerRun), f.received.Load(), runStatusNotRun)
	}
}

func TestKeepAliveComments(t *testing.T) {
	env := newTestEnv(t, &fakeEngine{interval: 60 * time.Millisecond})
	env.server.Limits.KeepAliveInterval = 20 * time.Millisecond
	got := env.post(t, pathChat, strings.Replace(fmt.Sprintf(chatBody, `,"stream":true`), "20", "3", 1))
	if text, complete := got.text(); !complete || text != fullText(3) || !strings.Contains(got.body, waitingComment) {
		t.Errorf("got %q, want comments and a complete response", got.body)
	}
}

// TestCompletionGoesOnAtItsSoftwareVersion guards against a completion that is joined from engines of two software versions.
func TestCompletionGoesOnAtItsSoftwareVersion(t *testing.T) {
	const tokens = 6
	abort := func(f *fakeEngine, id string, index int) string {
		if index == 3 && f.totalRuns() == 1 {
			return faultAbort
		}
		return ""
	}
	for _, versions := range [][]string{{"v1", "v2", "v2", "v1"}, {"v1", "v1", "v2", "v2"}, {"v1", "v2", "v1", "v2"}} {
		engines := []*fakeEngine{{}, {}, {}, {}}
		e := newTestEnv(t, engines[0], engines[1], engines[2], engines[3])
		var replicas []model.Replica
		for i, software := range versions {
			r := e.snapshot.Load().Models[0].Replicas[i]
			r.Software, r.UpdatedAt = software, time.Now()
			replicas = append(replicas, r)
		}
		e.publish(replicas[:1], nil)
		body := fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":%d,"temperature":0,"stream":true}`, testKey.String(), tokens)
		engines[0].fault = func(f *fakeEngine, id string, index int) string {
			if index == 1 {
				e.publish(replicas, nil)
			}
			return abort(f, id, index)
		}
		if got := e.post(t, "/v1/completions", body); got.status != http.StatusOK || !strings.Contains(got.body, "[DONE]") {
			t.Fatalf("got %+v, want the complete stream", got)
		}
		for i, software := range versions {
			if got := engines[i].totalRuns(); software != "v1" && got != 0 {
				t.Errorf("got %d runs at engine %d of %v, want none at another version", got, i, versions)
			}
		}
	}
}
