package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write to the store.
const heartbeat = 1200 * time.Millisecond

// run is one run of a request at a server.
type run struct {
	Request string
	Server  string
	Version string
	From    string // Last-Event-Id of the request
	At      time.Time
}

// modelServer is a stand-in for a replica of a service of language models, which it holds from its start on, or of a service that
// has no models.
type modelServer struct {
	ID      string
	Service string
	Address string
	Zone    string
	Version string // of its software
	Slots   int
	Models  []string
	Store   *metadataStore
	Log     *record

	born     int64
	server   *http.Server
	mu       sync.Mutex
	running  int
	sequence int64
	runs     []run
}

// Start listens and registers the server in the store.
func (m *modelServer) Start() error {
	m.born = time.Now().UnixMilli()
	listener, err := net.Listen("tcp", m.Address)
	if err != nil {
		return err
	}
	m.Address = listener.Addr().String()
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }() // ends with Stop
	m.register("ready")
	m.Log.Printf("server %s (software %s) started at %s", m.ID, m.Version, m.Address)
	return nil
}

// register writes the server's entry.
func (m *modelServer) register(state string) {
	m.Store.Put("servers/"+m.ID, map[string]any{
		"service": m.Service, "address": m.Address, "zone": m.Zone, "version": m.Version, "slots": m.Slots, "state": state,
		"coldLeftMs": 0, "stage": "both", "models": m.models(), "sequence": 0, "born": m.born,
	})
}

func (m *modelServer) models() []map[string]any {
	var models []map[string]any
	for _, name := range m.Models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return models
}

// Crash ends the server at once. Its entry is removed after three intervals of silence.
func (m *modelServer) Crash() {
	m.Log.Printf("server %s (software %s) crashes", m.ID, m.Version)
	m.server.Close()
	time.AfterFunc(3*heartbeat, func() { m.Store.Remove("servers/" + m.ID) })
}

// Runs returns the runs so far.
func (m *modelServer) Runs() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]run(nil), m.runs...)
}

// ServeHTTP serves requests, reports and orders.
func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", m.ID)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Server-Load", m.load())
	case "/-/report":
		m.report(w)
	case "/-/order":
		m.order(w, r)
	default:
		m.stream(w, r)
	}
}

func (m *modelServer) load() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", m.running, m.Slots)
}

func (m *modelServer) report(w http.ResponseWriter) {
	m.mu.Lock()
	body := map[string]any{
		"stage": "both", "models": m.models(), "busy": false, "sequence": m.sequence, "queued": 0, "active": m.running, "kvUsed": 0, "kvTotal": 129023, "handles": 0, "born": m.born,
	}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a failed write means that the caller has disconnected
}

// order accepts no order: all models are loaded, and none has adapters.
func (m *modelServer) order(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // only logged
	m.Log.Printf("server %s gets order %s", m.ID, body)
	w.WriteHeader(http.StatusOK)
}

// stream runs a request. Its body states the number of events and the milliseconds between them.
func (m *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var events, gap int
	if _, err := fmt.Sscanf(string(body), "events=%d gap=%d", &events, &gap); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if name, _, _ := strings.Cut(r.Header.Get("Model"), "/"); len(m.Models) > 0 && !contains(m.Models, name) {
		w.Header().Set("Server-Load", m.load())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := r.Header.Get("Last-Event-Id")
	m.mu.Lock()
	if m.running >= m.Slots {
		m.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Server-Load", m.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.running++
	m.runs = append(m.runs, run{Request: id, Server: m.ID, Version: m.Version, From: from, At: time.Now()})
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()
	w.Header().Set("Server-Seal", "seal."+m.ID+"."+id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Server-Load", m.load())
	w.Header().Set("Content-Type", "text/event-stream")
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Request-Deadline")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	over := time.After(deadline)
	first, _ := strconv.Atoi(from)
	flush := http.NewResponseController(w)
	for i := first + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-over:
			panic(http.ErrAbortHandler)
		case <-time.After(time.Duration(gap) * time.Millisecond):
		}
		// The data names the run, so that the client can tell which server brought each event.
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, m.Version, m.ID); err != nil || flush.Flush() != nil {
			return
		}
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
