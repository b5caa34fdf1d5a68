package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronspread/engine"
	"citronspread/httponce"
	"citronspread/model"
	"citronspread/routing"
	"citronspread/service"
)

var testKey = model.ModelKey{Model: "faults", Version: "v1"}

// fakeEngine responds with the tokens t0, t1, … and injects faults.
type fakeEngine struct {
	fault    func(f *fakeEngine, id string, index int) string // a fault constant or a text to write before the chunk, empty for none
	status   int
	code     string
	interval time.Duration

	mu       sync.Mutex
	runs     map[string]int
	received atomic.Int64
}

// Faults that end the response early.
const (
	faultAbort = "abort" // abort the connection
	faultEnd   = "end"   // end the response without [DONE]
	faultHang  = "hang"  // send nothing until the client gives up
)

type requestBody struct {
	MaxTokens  int  `json:"max_tokens"`
	ResumeFrom int  `json:"resume_from"`
	Stream     bool `json:"stream"`
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.received.Add(1)
	id := r.Header.Get("X-Request-Id")
	raw, _ := io.ReadAll(r.Body)
	if f.status != 0 {
		w.WriteHeader(f.status)
		fmt.Fprintf(w, `{"error":{"code":%q,"message":"no"}}`, f.code)
		return
	}
	f.mu.Lock()
	if f.runs == nil {
		f.runs = make(map[string]int)
	}
	f.runs[id]++
	f.mu.Unlock()
	var body requestBody
	_ = json.Unmarshal(raw, &body)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := body.ResumeFrom; i < body.MaxTokens; i++ {
		time.Sleep(f.interval)
		if f.fault != nil {
			done := f.write(w, r, f.fault(f, id, i))
			if done {
				return
			}
		}
		fmt.Fprint(w, chunkText(id, i))
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id, body.MaxTokens)
}

func (f *fakeEngine) write(w http.ResponseWriter, r *http.Request, fault string) bool {
	switch fault {
	case "":
		return false
	case faultAbort:
		panic(http.ErrAbortHandler)
	case faultEnd:
		return true
	case faultHang:
		<-r.Context().Done()
		return true
	}
	fmt.Fprint(w, fault)
	return false
}

func (f *fakeEngine) totalRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.runs {
		total += n
	}
	return total
}

func chunkText(id string, index int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", id, index, index)
}

func fullText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// testEnv is a server with fake backend servers.
type testEnv struct {
	server   *Server
	snapshot atomic.Pointer[model.Snapshot]
	url      string
	demands  chan model.LoadDemand
}

func (e *testEnv) ReportDemand(demand model.LoadDemand) {
	select {
	case e.demands <- demand:
	default:
	}
}

func newTestEnv(t testing.TB, backends ...http.Handler) *testEnv {
	t.Helper()
	e := &testEnv{demands: make(chan model.LoadDemand, 64)}
	var replicas []model.Replica
	for i, backend := range backends {
		replicas = append(replicas, model.Replica{
			Key: testKey, Backend: fmt.Sprintf("backend-%d", i), Zone: "muenchen",
			Address: listen(t, backend), Capacity: 8, UpdatedAt: time.Now(),
		})
	}
	e.publish(replicas, nil)
	e.server = &Server{
		Router: &routing.Router{
			Name: "entry-1", Zone: "muenchen", Policy: routing.DefaultPolicy(), Picker: routing.LatencyPicker{}, DemandReporter: e,
			Budget: &routing.Budget{Share: 0.2, Floor: 10}, Snapshot: &e.snapshot,
			Suspects: &routing.Suspects{
				Name: "entry-1", RefuseFor: time.Minute, ClaimPropagationDelay: 10 * time.Millisecond,
				TrialClaimTTL: time.Second, Retention: time.Hour, Limit: 100,
			},
		},
		Streamer: &engine.Streamer{Client: &httponce.Client{IdlePerHost: 16}, StallTimeout: 300 * time.Millisecond},
		Services: service.NewClient(16, 1<<20),
		Limits:   DefaultLimits(),
	}
	e.url = "http://" + listen(t, e.server.Handler())
	go e.server.Router.Run(t.Context())
	return e
}

func (e *testEnv) publish(replicas []model.Replica, services []model.ServiceEndpoint) {
	e.snapshot.Store(&model.Snapshot{
		Zone: "muenchen", Services: services,
		Models: []*model.RoutedModel{{
			Declaration: model.ModelDeclaration{Key: testKey, Adapters: []string{"gate"}},
			Service:     "assist-llm", Replicas: replicas,
		}},
	})
}

func listen(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
}

func (e *testEnv) post(t testing.TB, path, body string, header ...string) reply {
	t.Helper()
	return e.send(t, http.MethodPost, path, body, header...)
}

func (e *testEnv) send(t testing.TB, method, path, body string, header ...string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, e.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(raw)}
}

// text returns the response's text and whether it is complete.
func (r reply) text() (string, bool) {
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		var wire completionWire
		if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &wire) != nil {
			return "", false
		}
		return wire.Choices[0].Message.Content, true
	}
	var b strings.Builder
	complete := false
	for line := range strings.SplitSeq(r.body, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var wire struct {
			Choices []struct {
				Delta contentWire `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &wire) == nil && len(wire.Choices) > 0 {
			b.WriteString(wire.Choices[0].Delta.Content)
		}
	}
	return b.String(), complete
}
