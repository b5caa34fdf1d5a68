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

// censusTimeout bounds one report to a census of another process.
const censusTimeout = time.Second

// CensusEvent tells that an engine began to hold a replica, or freed its memory.
type CensusEvent struct {
	Backend string
	Key     model.ModelKey
	Loaded  bool
	At      time.Time
}

// ReplicaCount is the number of replicas of a model version, now and at its peak.
type ReplicaCount struct {
	Key    model.ModelKey
	Loaded int
	Peak   int
	PeakAt time.Time
}

// CensusSink takes the events of engines.
type CensusSink interface {
	Record(event CensusEvent)
}

// Census counts the replicas that are loaded at once across engines.
type Census struct {
	Address string

	mu      sync.Mutex
	holders map[model.ModelKey]map[string]bool // by backend server
	peaks   map[model.ModelKey]ReplicaCount
	events  []CensusEvent
}

// Run serves the census until ctx ends.
func (c *Census) Run(ctx context.Context) error { return serve(ctx, c.Address, c.Handler()) }

// Handler returns the census's HTTP interface.
func (c *Census) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/census", c.handleRecord)
	r.Get("/census", c.handleCounts)
	return r
}

// Record takes one event.
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

// Counts returns the replicas of each model version.
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

// Events returns the events in their order of arrival.
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

// CensusClient reports to a census of another process.
type CensusClient struct {
	Address string
}

// Record reports one event.
func (c *CensusClient) Record(event CensusEvent) {
	ctx, cancel := context.WithTimeout(context.Background(), censusTimeout)
	defer cancel()
	_ = post(ctx, c.Address, "/census", nil, event, nil)
}
