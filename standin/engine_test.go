package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"citronspread/engine"
	"citronspread/model"
)

var testKey = model.ModelKey{Model: "gate-guide", Version: "1"}

// testStream is what a client received of a stream.
type testStream struct {
	status   int
	ids      []string
	indexes  []int
	text     string
	finished bool
	err      error
}

func newTestEngine(t *testing.T, e *Engine) string {
	t.Helper()
	e.Backend, e.TokensPerSecond, e.MemoryBytes = "backend-1", 1000, 1000
	setDefault(&e.RestartDelay, 10*time.Millisecond)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	loadTestModel(t, e, testKey)
	return server.URL
}

func loadTestModel(t *testing.T, e *Engine, key model.ModelKey) {
	t.Helper()
	got := e.execute(e.currentIncarnation(), model.Order{ID: key.String(), Kind: model.OrderLoad, Key: key, Bytes: 100})
	if want := engine.OutcomeDone; got.Outcome != want {
		t.Fatalf("got %+v, want %s", got, want)
	}
}

func complete(url, id string, body completionRequest) testStream {
	body.Stream = true
	payload, _ := json.Marshal(body)
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", bytes.NewReader(payload))
	req.Header.Set(requestIDHeader, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return testStream{err: err}
	}
	defer resp.Body.Close()
	got := testStream{status: resp.StatusCode}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		got.addEvent(strings.TrimPrefix(lines.Text(), "data: "))
	}
	got.err = lines.Err()
	return got
}

func (s *testStream) addEvent(data string) {
	var event streamChunk
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		return
	}
	s.finished = s.finished || event.Choices[0].FinishReason != nil
	s.text += event.Choices[0].Text
	if event.Choices[0].Text != "" {
		s.ids = append(s.ids, event.ID)
		s.indexes = append(s.indexes, event.TokenIndex)
	}
}

func TestCompletion(t *testing.T) {
	n := 10
	want := ExpectedText(testKey.String(), "p", n)
	wantIndexes := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	tests := []struct {
		name     string
		fault    EngineFault
		resume   int
		text     string
		indexes  []int
		finished bool
	}{
		{"complete", EngineFault{}, 0, want, wantIndexes, true},
		{"resumed", EngineFault{}, 4, strings.Join(ExpectedTokens(testKey.String(), "p", n)[4:], ""), wantIndexes[4:], true},
		{"delayed", EngineFault{LateMS: 20}, 0, want, wantIndexes, true},
		{"frozen", EngineFault{FreezeMS: 20}, 0, want, wantIndexes, true},
		{"truncated", EngineFault{Truncate: 1}, 0, strings.Join(ExpectedTokens(testKey.String(), "p", 5), ""), wantIndexes[:5], false},
		{"duplicate token", EngineFault{Duplicate: 1}, 0, ExpectedTokens(testKey.String(), "p", 1)[0] + want, append([]int{0}, wantIndexes...), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Engine{}
			url := newTestEngine(t, e)
			e.SetFault(tt.fault)
			got := complete(url, "r", completionRequest{Model: testKey.String(), Prompt: "p", MaxTokens: &n, ResumeFrom: tt.resume})
			if got.err != nil || got.text != tt.text || got.finished != tt.finished || !slices.Equal(got.indexes, tt.indexes) {
				t.Errorf("got %+v, want %q, %v, finished %v", got, tt.text, tt.indexes, tt.finished)
			}
			if runs := e.Counts().RunsByRequest; len(runs) != 1 || runs[0].Runs != 1 {
				t.Errorf("got %+v, want one run", runs)
			}
		})
	}
}

func TestCrossedAnswer(t *testing.T) {
	e := &Engine{}
	url := newTestEngine(t, e)
	e.SetFault(EngineFault{CrossAnswers: 1})
	got := complete(url, "r", completionRequest{Model: testKey.String(), Prompt: "p"})
	if len(got.ids) == 0 || got.ids[0] == "r" {
		t.Errorf("got IDs %v, want another request's ID first", got.ids)
	}
}

func TestRejectNotLoaded(t *testing.T) {
	e := &Engine{}
	url := newTestEngine(t, e)
	for _, body := range []completionRequest{{Model: "other"}, {Model: testKey.String(), Adapter: "other"}} {
		if got, want := complete(url, "r", body).status, http.StatusNotFound; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	}
	if got, want := len(e.Counts().RunsByRequest), 0; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

func TestCrash(t *testing.T) {
	counter := &ReplicaCounter{}
	e := &Engine{ReplicaSink: counter}
	url := newTestEngine(t, e)
	before := e.currentIncarnation().id
	e.SetFault(EngineFault{CrashText: "boom"})
	if got := complete(url, "r", completionRequest{Model: testKey.String(), Prompt: "a boom"}); got.err == nil {
		t.Errorf("got %+v, want an interrupted stream", got)
	}
	time.Sleep(20 * time.Millisecond)
	if got, want := complete(url, "r", completionRequest{Model: testKey.String()}).status, http.StatusNotFound; got != want {
		t.Errorf("got status %d after the restart, want %d", got, want)
	}
	if got := e.currentIncarnation().id; got == before {
		t.Errorf("got incarnation %s after the restart, want a new one", got)
	}
	if got := counter.Counts(); len(got) != 1 || got[0].Loaded != 0 || got[0].Peak != 1 {
		t.Errorf("got %+v, want a peak of 1 and none loaded", got)
	}
}

func TestUnloadCutsRequests(t *testing.T) {
	e := &Engine{}
	url := newTestEngine(t, e)
	n := 1000
	time.AfterFunc(100*time.Millisecond, func() {
		e.execute(e.currentIncarnation(), model.Order{ID: "u", Kind: model.OrderUnload, Key: testKey})
	})
	if got := complete(url, "r", completionRequest{Model: testKey.String(), MaxTokens: &n}); got.err == nil {
		t.Errorf("got %+v, want an interrupted stream", got)
	}
	if got, want := e.Counts().CutRequests, 1; got != want {
		t.Errorf("got %d interrupted requests, want %d", got, want)
	}
}

func TestMemoryOvercommit(t *testing.T) {
	e := &Engine{}
	newTestEngine(t, e)
	got := e.execute(e.currentIncarnation(), model.Order{ID: "2", Kind: model.OrderLoad, Key: model.ModelKey{Model: "b"}, Bytes: 901})
	if want := engine.OutcomeFailed; got.Outcome != want {
		t.Errorf("got %+v, want %s", got, want)
	}
	if got, want := e.Counts().MemoryOvercommitted, 1; got != want {
		t.Errorf("got %d memory overcommits, want %d", got, want)
	}
}

func TestAdmitByPriority(t *testing.T) {
	var b batch
	for i, priority := range []int{5, 1, 5, 0} {
		b.enqueue(&stream{id: string(rune('a' + i)), priority: priority})
	}
	got := ""
	for s := b.admit(9); s != nil; s = b.admit(9) {
		got += s.id
	}
	if want := "dbac"; got != want {
		t.Errorf("got order %q, want %q", got, want)
	}
}
