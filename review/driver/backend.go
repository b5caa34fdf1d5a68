package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// entryExpiry is how long the entry of a silent backend server stays in the store: three status report intervals.
	entryExpiry = 3600 * time.Millisecond
	// reportInterval is the time between two entries that a backend server writes about itself.
	reportInterval = 1200 * time.Millisecond
	// diskLoadTime is the duration of a load from the backend server's own disk.
	diskLoadTime = 840 * time.Millisecond
	// maxRecordedBody limits the bodies that are recorded.
	maxRecordedBody = 1024
)

// arrival is a request that reached a backend server.
type arrival struct {
	at      time.Time
	id      string
	uri     string
	body    string
	backend string
	service string
	header  http.Header
	ran     bool
}

// backendServer is a stand-in for a backend server of the platform. Its fields up to mu are set before start.
type backendServer struct {
	service  string
	zone     string
	software string
	slots    int
	models   []string      // loaded at the start; none for a plain service
	loadTime time.Duration // of a model that the disk does not hold
	events   int           // of each stream
	pause    time.Duration // before each event of a stream
	work     time.Duration // of a request to a plain service
	store    *metadataStore
	log      *record
	// fault may take over a request before it runs. It reports whether it did.
	fault func(b *backendServer, w http.ResponseWriter, r *http.Request) bool
	// head may add headers to an answer.
	head func(b *backendServer, header http.Header)

	mu        sync.Mutex
	id        string
	address   string
	born      int64
	state     string
	loaded    map[string]bool
	onDisk    map[string]bool // models whose weights the disk holds, also after a restart
	loading   string
	sequence  int64
	listener  net.Listener
	server    *http.Server
	stop      chan struct{} // ends the reports to the store
	generator func() string // of the next ID
}

// start begins a new incarnation with a new ID and a new address.
func (b *backendServer) start() error {
	listener, err := listenFree("127.0.0.1")
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.id, b.address, b.born, b.state = b.generator(), listener.Addr().String(), time.Now().UnixMilli(), "ready"
	b.loaded, b.loading, b.sequence = make(map[string]bool), "", 0
	if b.onDisk == nil {
		b.onDisk = make(map[string]bool)
	}
	for _, m := range b.models {
		b.loaded[m], b.onDisk[m] = true, true
	}
	b.listener, b.stop = listener, make(chan struct{})
	b.server = &http.Server{Handler: b}
	server, stop := b.server, b.stop
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the incarnation
	b.writeEntry()
	go b.report(stop)
	return nil
}

// report writes the entry regularly until the incarnation ends.
func (b *backendServer) report(stop chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.writeEntry()
		case <-stop:
			return
		}
	}
}

// writeEntry writes what the backend server says of itself into the store.
func (b *backendServer) writeEntry() {
	b.mu.Lock()
	id := b.id
	models := []map[string]any{}
	for m := range b.loaded {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	entry := map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": b.software, "slots": b.slots, "state": b.state,
		"coldLeftMs": 0, "stage": "both", "models": models, "sequence": b.sequence, "born": b.born,
	}
	entry["available"] = b.available()
	b.mu.Unlock()
	b.store.put("servers/"+id, entry)
}

// crash ends the incarnation as a process that dies does: its connections are reset, and its entry expires.
func (b *backendServer) crash() {
	b.mu.Lock()
	id, server := b.id, b.server
	if server == nil {
		b.mu.Unlock()
		return
	}
	b.server = nil
	close(b.stop)
	b.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(entryExpiry, func() { b.store.remove("servers/" + id) })
}

// leave ends the incarnation of a backend server that has drained: its entry is removed.
func (b *backendServer) leave() {
	b.mu.Lock()
	id := b.id
	b.mu.Unlock()
	b.crash()
	b.store.remove("servers/" + id)
}

// drain makes the backend server report that it is leaving.
func (b *backendServer) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.writeEntry()
}

func (b *backendServer) currentID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id
}

func (b *backendServer) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state == "draining"
}

func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := b.currentID()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/order":
		b.order(w, r)
	case "/-/report":
		b.serveReport(w)
	default:
		b.serve(w, r)
	}
}

// order carries out an order to load or unload a model.
func (b *backendServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		OpType   string `json:"opType"`
		Model    string `json:"model"`
		Adapter  string `json:"adapter"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Adapter != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case o.OpType == "load" && b.loaded[o.Model]:
		w.WriteHeader(http.StatusOK)
		return
	case b.loading != "" || o.Expected != nil && *o.Expected != b.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	b.sequence++
	if o.OpType == "load" {
		b.loading = o.Model
		stop, duration := b.stop, b.loadTime
		if b.onDisk[o.Model] {
			duration = diskLoadTime
		}
		time.AfterFunc(duration, func() { b.finishLoad(stop) })
	} else {
		delete(b.loaded, o.Model)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (b *backendServer) finishLoad(incarnation chan struct{}) {
	b.mu.Lock()
	isSame := b.stop == incarnation
	if isSame {
		b.loaded[b.loading], b.onDisk[b.loading], b.loading = true, true, ""
	}
	b.mu.Unlock()
	if isSame {
		b.writeEntry()
	}
}

func (b *backendServer) serveReport(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	models := []map[string]any{}
	for m := range b.loaded {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": models, "busy": b.loading != "", "sequence": b.sequence, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 100000,
		"handles": 0, "born": b.born, "available": b.available(),
	})
}

// available returns where weights are kept besides the loaded ones. b.mu must be held.
func (b *backendServer) available() map[string]any {
	return map[string]any{"inMemory": []string{}, "onDisk": slices.Sorted(maps.Keys(b.onDisk))}
}

// serve runs a request of a caller.
func (b *backendServer) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	name, _, _ := strings.Cut(r.Header.Get("Model"), "/")
	b.mu.Lock()
	isLoaded := name == "" || b.loaded[name]
	b.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	b.log.arrived(arrival{
		at: time.Now(), id: r.Header.Get("Request-Id"), uri: r.RequestURI, body: string(body[:min(len(body), maxRecordedBody)]), backend: b.currentID(), service: b.service,
		header: r.Header.Clone(), ran: isLoaded,
	})
	if !isLoaded {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.fault != nil && b.fault(b, w, r) {
		return
	}
	w.Header().Set("Server-Seal", "seal."+b.currentID())
	if b.head != nil {
		b.head(b, w.Header())
	}
	if name == "" {
		time.Sleep(b.work)
		fmt.Fprintf(w, "service=%s backend=%s uri=%s", b.service, b.currentID(), r.RequestURI)
		return
	}
	b.stream(w, r)
}

// stream writes the events of a stream. The data of each event names the software version.
func (b *backendServer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first) // an ID of another form begins the stream anew
		first++
	}
	for i := first; i <= b.events; i++ {
		select {
		case <-time.After(b.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, b.software, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
