package standin

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"citronspread/model"

	"github.com/go-chi/chi/v5"
)

// counterTimeout limits one call to a replica counter in another process.
const counterTimeout = time.Second

// ReplicaEvent reports that an engine allocated memory for a replica (Loaded) or freed it.
type ReplicaEvent struct {
	Backend string
	Key     model.ModelKey
	Loaded  bool
	At      time.Time
}

// ReplicaCount is the current and the highest number of replicas of a model version.
type ReplicaCount struct {
	Key    model.ModelKey
	Loaded int
	Peak   int
	PeakAt time.Time
}

// ReplicaSink receives the replica events of engines.
type ReplicaSink interface {
	Record(event ReplicaEvent)
}

// ReplicaCounter counts the concurrent replicas of each model version across all engines, so that tests can check that
// no more replicas are loaded than requested.
type ReplicaCounter struct {
	Address string

	mu     sync.Mutex
	loaded map[model.ModelKey]map[string]bool // by backend server
	peaks  map[model.ModelKey]ReplicaCount
	events []ReplicaEvent
}

// Run serves the counter until ctx is done.
func (c *ReplicaCounter) Run(ctx context.Context) error { return serve(ctx, c.Address, c.Handler()) }

// Handler returns the counter's HTTP interface.
func (c *ReplicaCounter) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/census", c.handleRecord)
	r.Get("/census", c.handleCounts)
	return r
}

// Record adds an event to the counts.
func (c *ReplicaCounter) Record(event ReplicaEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded == nil {
		c.loaded = map[model.ModelKey]map[string]bool{}
		c.peaks = map[model.ModelKey]ReplicaCount{}
	}
	if c.loaded[event.Key] == nil {
		c.loaded[event.Key] = map[string]bool{}
	}
	c.events = append(c.events, event)
	if !event.Loaded {
		delete(c.loaded[event.Key], event.Backend)
		return
	}
	c.loaded[event.Key][event.Backend] = true
	peak := c.peaks[event.Key]
	if n := len(c.loaded[event.Key]); n > peak.Peak {
		c.peaks[event.Key] = ReplicaCount{Key: event.Key, Peak: n, PeakAt: event.At}
	}
}

// Counts returns the replica counts of all model versions, sorted by key.
func (c *ReplicaCounter) Counts() []ReplicaCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]ReplicaCount, 0, len(c.peaks))
	for key, count := range c.peaks {
		count.Loaded = len(c.loaded[key])
		counts = append(counts, count)
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Key.String() < counts[j].Key.String() })
	return counts
}

// Events returns all events in the order of their arrival.
func (c *ReplicaCounter) Events() []ReplicaEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ReplicaEvent(nil), c.events...)
}

func (c *ReplicaCounter) handleRecord(w http.ResponseWriter, r *http.Request) {
	var event ReplicaEvent
	if !readJSON(w, r, &event) {
		return
	}
	c.Record(event)
	writeJSON(w, http.StatusOK, event)
}

func (c *ReplicaCounter) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.Counts())
}

// ReplicaCounterClient sends events to a ReplicaCounter in another process.
type ReplicaCounterClient struct {
	Address string
}

// Record sends an event. It ignores errors.
func (c *ReplicaCounterClient) Record(event ReplicaEvent) {
	ctx, cancel := context.WithTimeout(context.Background(), counterTimeout)
	defer cancel()
	_ = post(ctx, c.Address, "/census", nil, event, nil)
}
