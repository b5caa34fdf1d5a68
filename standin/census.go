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

// censusTimeout limits one call to a census in another process.
const censusTimeout = time.Second

// CensusEvent reports that an engine allocated memory for a replica (Loaded) or freed it.
type CensusEvent struct {
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

// CensusSink receives the replica events of engines.
type CensusSink interface {
	Record(event CensusEvent)
}

// Census counts the concurrent replicas of each model version across all engines, so that tests can check that no more
// replicas are loaded than requested.
type Census struct {
	Address string

	mu      sync.Mutex
	holders map[model.ModelKey]map[string]bool // by backend server
	peaks   map[model.ModelKey]ReplicaCount
	events  []CensusEvent
}

// Run serves the census until ctx is done.
func (c *Census) Run(ctx context.Context) error { return serve(ctx, c.Address, c.Handler()) }

// Handler returns the census's HTTP interface.
func (c *Census) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/census", c.handleRecord)
	r.Get("/census", c.handleCounts)
	return r
}

// Record adds an event to the counts.
func (c *Census) Record(event CensusEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders == nil {
		c.holders = map[model.ModelKey]map[string]bool{}
		c.peaks = map[model.ModelKey]ReplicaCount{}
	}
	if c.holders[event.Key] == nil {
		c.holders[event.Key] = map[string]bool{}
	}
	c.events = append(c.events, event)
	if !event.Loaded {
		delete(c.holders[event.Key], event.Backend)
		return
	}
	c.holders[event.Key][event.Backend] = true
	peak := c.peaks[event.Key]
	if n := len(c.holders[event.Key]); n > peak.Peak {
		c.peaks[event.Key] = ReplicaCount{Key: event.Key, Peak: n, PeakAt: event.At}
	}
}

// Counts returns the replica counts of all model versions, sorted by key.
func (c *Census) Counts() []ReplicaCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]ReplicaCount, 0, len(c.peaks))
	for key, count := range c.peaks {
		count.Loaded = len(c.holders[key])
		counts = append(counts, count)
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Key.String() < counts[j].Key.String() })
	return counts
}

// Events returns all events in the order of their arrival.
func (c *Census) Events() []CensusEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CensusEvent(nil), c.events...)
}

func (c *Census) handleRecord(w http.ResponseWriter, r *http.Request) {
	var event CensusEvent
	if !readJSON(w, r, &event) {
		return
	}
	c.Record(event)
	writeJSON(w, http.StatusOK, event)
}

func (c *Census) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.Counts())
}

// CensusClient sends events to a census in another process.
type CensusClient struct {
	Address string
}

// Record sends an event. It ignores errors.
func (c *CensusClient) Record(event CensusEvent) {
	ctx, cancel := context.WithTimeout(context.Background(), censusTimeout)
	defer cancel()
	_ = post(ctx, c.Address, "/census", nil, event, nil)
}
