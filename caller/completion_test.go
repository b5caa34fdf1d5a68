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

// once brings a fault about at one token of the first run only.
func once(at int, fault func(id string, index int) string) func(*fakeEngine, string, int) string {
	var fired atomic.Bool
	return func(_ *fakeEngine, id string, index int) string {
		if index != at || !fired.CompareAndSwap(false, true) {
			return ""
		}
		return fault(id, index)
	}
}

func fixed(fault string) func(string, int) string {
	return func(string, int) string { return fault }
}

func answerFaults() map[string]func(string, int) string {
	return map[string]func(string, int) string{
		"none":      fixed(""),
		"cut":       fixed(faultCut),
		"truncated": fixed(faultEnd),
		"stalled":   fixed(faultHang),
		"crossed":   func(_ string, index int) string { return chunkText("cmpl-other", index) },
		"doubled":   func(id string, index int) string { return chunkText(id, index-1) },
		"gap":       func(id string, index int) string { return chunkText(id, index+1) },
		"changed": func(id string, index int) string {
			return strings.Replace(chunkText(id, index-1), `"t`, `"x`, 1)
		},
	}
}

func TestAnswers(t *testing.T) {
	for name, fault := range answerFaults() {
		for _, options := range []string{"", `,"stream":true`, `,"seed":1`, `,"stream":true,"temperature":0`} {
			t.Run(name+options, func(t *testing.T) {
				t.Parallel()
				shared := once(7, fault)
				b := newBench(t, &fakeEngine{fault: shared}, &fakeEngine{fault: shared})
				got := b.post(t, pathChat, fmt.Sprintf(chatBody, options))
				checkWhole(t, got, name, options)
			})
		}
	}
}

// TestNaiveAnswers passes chunks on unchecked, which takes wrong answers for whole ones.
func TestNaiveAnswers(t *testing.T) {
	for name, fault := range answerFaults() {
		f := &fakeEngine{fault: once(7, fault)}
		request := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(fmt.Sprintf(chatBody, `,"stream":true`)))
		request.Header.Set("X-Request-Id", "own")
		recorder := httptest.NewRecorder()
		if name == "cut" || name == "stalled" || name == "truncated" {
			continue // seen without checks, by the missing [DONE]
		}
		f.ServeHTTP(recorder, request)
		text, whole := reply{status: recorder.Code, header: recorder.Header(), body: recorder.Body.String()}.text()
		if got, want := whole && text != wholeText(20), name != "none"; got != want {
			t.Errorf("%s: got wrong answer %v, want %v", name, got, want)
		}
	}
}

// TestMoves lets one of two engines hang in the middle of an answer.
func TestMoves(t *testing.T) {
	tests := []struct {
		name    string
		options string
		at      int
		moved   int64
		whole   bool
	}{
		{name: "exact stream", options: `,"stream":true,"seed":1`, at: 7, moved: 1, whole: true},
		{name: "inexact answer", at: 7, moved: 1, whole: true},
		{name: "inexact stream before the first token", options: `,"stream":true`, at: 0, moved: 1, whole: true},
		{name: "inexact stream", options: `,"stream":true`, at: 7},
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
			b := newBench(t, &fakeEngine{fault: hang, interval: time.Millisecond}, &fakeEngine{fault: hang, interval: time.Millisecond})
			b.server.Router.Picker = routing.LeastPicker{}
			b.server.Streamer.StallTimeout = time.Second
			for i := range 8 {
				b.post(t, pathChat, strings.Replace(fmt.Sprintf(chatBody, ""), "stuck", fmt.Sprint(i), 1))
			}
			armed.Store(true)
			got := b.post(t, pathChat, fmt.Sprintf(chatBody, tt.options))
			text, whole := got.text()
			if moved := b.server.Totals.Moved.Load(); whole != tt.whole || moved != tt.moved {
				t.Errorf("got whole %v, %d moves, want %v, %d", whole, moved, tt.whole, tt.moved)
			}
			if want := wholeText(20); !strings.HasPrefix(want, text) || whole && text != want {
				t.Errorf("got %q, want %q", text, want)
			}
		})
	}
}

// checkWhole wants the whole answer, or for a stream that can't be continued an error event without [DONE].
func checkWhole(t *testing.T, got reply, fault, options string) {
	t.Helper()
	text, whole := got.text()
	inexactStream := options == `,"stream":true`
	if inexactStream && fault != "none" && fault != "doubled" {
		if whole || !strings.Contains(got.body, "event: error") || !strings.HasPrefix(wholeText(20), text) {
			t.Errorf("got whole %v, body %s, want a prefix and an error event", whole, got.body)
		}
		return
	}
	if want := wholeText(20); !whole || text != want {
		t.Errorf("got whole %v, status %d, text %q, want %q", whole, got.status, text, want)
	}
}

func TestRefusalsAreTrue(t *testing.T) {
	chat := fmt.Sprintf(chatBody, "")
	tests := []struct {
		name   string
		body   string
		header []string
		engine *fakeEngine
		status int
		run    string
	}{
		{name: "no JSON", body: "{", engine: &fakeEngine{}, status: http.StatusBadRequest, run: runNot},
		{name: "no messages", body: `{"model":"faults"}`, engine: &fakeEngine{}, status: http.StatusBadRequest, run: runNot},
		{name: "bad priority", body: chat, header: []string{headerPriority, "x"}, engine: &fakeEngine{}, status: http.StatusBadRequest, run: runNot},
		{name: "bad timeout", body: chat, header: []string{headerTimeout, "5"}, engine: &fakeEngine{}, status: http.StatusBadRequest, run: runNot},
		{name: "unknown model", body: strings.Replace(chat, "faults", "other", 1), engine: &fakeEngine{}, status: http.StatusNotFound, run: runNot},
		{name: "unknown adapter", body: strings.Replace(chat, "faults", "faults:other", 1), engine: &fakeEngine{}, status: http.StatusNotFound, run: runNot},
		{name: "too large", body: chat + strings.Repeat(" ", 1<<20), engine: &fakeEngine{}, status: http.StatusRequestEntityTooLarge, run: runNot},
		{
			name: "overloaded", body: chat, header: []string{headerTimeout, "300ms"},
			engine: &fakeEngine{status: http.StatusTooManyRequests, code: "overloaded"}, status: http.StatusServiceUnavailable, run: runNot,
		},
		{
			name: "not loaded", body: chat, header: []string{headerTimeout, "300ms"},
			engine: &fakeEngine{status: http.StatusNotFound, code: "model_not_loaded"}, status: http.StatusServiceUnavailable, run: runNot,
		},
		{
			name: "engine fails", body: chat,
			engine: &fakeEngine{status: http.StatusInternalServerError, code: "broken"}, status: http.StatusBadGateway, run: runMaybe,
		},
		{
			name: "always cut", body: chat, header: []string{headerTimeout, "2s"},
			engine: &fakeEngine{fault: func(*fakeEngine, string, int) string { return faultCut }}, status: http.StatusUnprocessableEntity, run: runMaybe,
		},
		{
			name: "deadline while running", body: chat, header: []string{headerTimeout, "200ms"},
			engine: &fakeEngine{interval: 50 * time.Millisecond}, status: http.StatusGatewayTimeout, run: runMaybe,
		},
	}
	t.Cleanup(func() {
		naive := 0 // refusals that would be false if each failure were called not run
		for _, tt := range tests {
			if tt.engine.totalRuns() > 0 {
				naive++
			}
		}
		if naive == 0 {
			t.Error("got no failure of a request that ran, want the check to bite")
		}
	})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, tt.engine)
			got := b.post(t, pathChat, tt.body, tt.header...)
			if got.status != tt.status || got.header.Get(headerRun) != tt.run {
				t.Errorf("got %d %s %s, want %d %s", got.status, got.header.Get(headerRun), got.body, tt.status, tt.run)
			}
			if runs := tt.engine.totalRuns(); tt.run == runNot && runs != 0 {
				t.Errorf("got %d runs of a request that was refused as not run", runs)
			}
		})
	}
}

func TestUnreachableBackend(t *testing.T) {
	b := newBench(t, &fakeEngine{})
	dead := model.Replica{Key: testKey, Backend: "dead", Zone: "muenchen", Address: "127.0.0.1:1", Capacity: 8, UpdatedAt: time.Now()}
	b.publish([]model.Replica{dead}, nil)
	got := b.post(t, pathChat, fmt.Sprintf(chatBody, ""), headerTimeout, "300ms")
	if got.status != http.StatusServiceUnavailable || got.header.Get(headerRun) != runNot || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s, want 503 %s with Retry-After", got.status, got.header.Get(headerRun), runNot)
	}
}

func TestColdStart(t *testing.T) {
	const requests = 20
	f := &fakeEngine{}
	b := newBench(t)
	replica := model.Replica{Key: testKey, Backend: "late", Zone: "muenchen", Address: listen(t, f), Capacity: 8}
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			body := strings.Replace(fmt.Sprintf(chatBody, ""), "stuck", fmt.Sprint("stuck", i), 1)
			got := b.post(t, pathChat, body, headerTimeout, "20s")
			if text, whole := got.text(); !whole || text != wholeText(20) {
				t.Errorf("got %d %s, want the whole answer", got.status, got.body)
			}
		})
	}
	wake := <-b.wakes
	if wake.Key != testKey || wake.Waiting < 1 {
		t.Errorf("got wake %+v, want one for %s", wake, testKey)
	}
	repeated := <-b.wakes
	if repeated.Waiting != requests {
		t.Errorf("got repeated wake %+v, want %d waiting", repeated, requests)
	}
	replica.UpdatedAt = time.Now()
	b.publish([]model.Replica{replica}, nil)
	b.server.Router.Changed()
	group.Wait()
}

func TestCrashingRequest(t *testing.T) {
	crash := func(*fakeEngine, string, int) string { return faultCut }
	engines := make([]*fakeEngine, 5)
	handlers := make([]http.Handler, 5)
	for i := range engines {
		engines[i] = &fakeEngine{fault: crash}
		handlers[i] = engines[i]
	}
	b := newBench(t, handlers...)
	for range 4 {
		b.post(t, pathChat, fmt.Sprintf(chatBody, `,"seed":1`), headerTimeout, "2s")
	}
	lost := 0
	for _, e := range engines {
		lost += e.totalRuns()
	}
	if lost > 2 {
		t.Errorf("got %d backend servers lost, want at most 2", lost)
	}
}

func TestDrainCutsNothing(t *testing.T) {
	b := newBench(t, &fakeEngine{interval: 10 * time.Millisecond})
	done := make(chan reply, 1)
	go func() { done <- b.post(t, pathChat, fmt.Sprintf(chatBody, `,"stream":true`)) }()
	for b.server.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- b.server.Drain(t.Context(), 50*time.Millisecond) }()
	for b.server.Ready() {
		time.Sleep(time.Millisecond)
	}
	late := b.post(t, pathChat, strings.Replace(fmt.Sprintf(chatBody, ""), "gate", "door", 1))
	if _, whole := late.text(); !whole {
		t.Errorf("got %d for a request in the balancer's lag, want a whole answer", late.status)
	}
	if err := <-drained; err != nil {
		t.Errorf("got %v, want a clean drain", err)
	}
	select {
	case got := <-done:
		if _, whole := got.text(); !whole {
			t.Errorf("got %s, want a whole stream", got.body)
		}
	default:
		t.Error("got a drain that ended before the stream")
	}
}

// TestFailingLoad lets a burst wait for a model whose load never ends.
func TestFailingLoad(t *testing.T) {
	b := newBench(t)
	b.server.Router.Policy.ColdStart = 0
	var group sync.WaitGroup
	begun := time.Now()
	for i := range 40 {
		group.Go(func() {
			body := strings.Replace(fmt.Sprintf(chatBody, ""), "stuck", fmt.Sprint(i), 1)
			got := b.post(t, pathChat, body, headerTimeout, "400ms")
			if got.status != http.StatusServiceUnavailable || got.header.Get(headerRun) != runNot {
				t.Errorf("got %d %s, want 503 %s", got.status, got.header.Get(headerRun), runNot)
			}
		})
	}
	group.Wait()
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("got the last refusal after %s, want it at the deadline", took)
	}
	counts := b.server.Router.State(time.Now()).Queue
	if settled := counts.Refused + counts.Withdrawn; settled != 40 || counts.Unbalance+counts.Unsettled > 0 {
		t.Errorf("got %+v, want 40 settled", counts)
	}
}

func TestSlowBody(t *testing.T) {
	f := &fakeEngine{}
	b := newBench(t, f)
	b.server.Limits.BodyTimeout = 50 * time.Millisecond
	connection, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
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
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get(headerRun) != runNot || f.seen.Load() != 0 {
		t.Errorf("got %d %s, %d seen by the engine, want 408 %s, 0", response.StatusCode, response.Header.Get(headerRun), f.seen.Load(), runNot)
	}
}

func TestKeepAliveComments(t *testing.T) {
	b := newBench(t, &fakeEngine{interval: 60 * time.Millisecond})
	b.server.Limits.KeepAlive = 20 * time.Millisecond
	got := b.post(t, pathChat, strings.Replace(fmt.Sprintf(chatBody, `,"stream":true`), "20", "3", 1))
	if text, whole := got.text(); !whole || text != wholeText(3) || !strings.Contains(got.body, waitingComment) {
		t.Errorf("got %q, want comments and a whole answer", got.body)
	}
}
