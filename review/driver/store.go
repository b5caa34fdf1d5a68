package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's responses.
const (
	maxRangeItems = 500
	maxWatchWait  = 30 * time.Second
)

// storeItem is an item of the store as its responses show it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeLease is a lease with the timer that ends it.
type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// metadataStore is a stand-in for the platform's metadata store. It loses nothing, and its responses are linearizable.
type metadataStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	lastID   int64
	changed  chan struct{} // closed and replaced at each change
}

func newMetadataStore() *metadataStore {
	return &metadataStore{revision: 1, items: make(map[string]storeItem), leases: make(map[int64]*storeLease), changed: make(chan struct{})}
}

// ServeHTTP serves the calls of the entry hosts.
func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	lease, isRenewal := strings.CutPrefix(r.URL.Path, "/-/kv-keep/")
	ended, isEnd := strings.CutPrefix(r.URL.Path, "/-/kv-lease-end/")
	switch {
	case r.URL.Path == "/-/kv-key":
		s.get(w, r)
	case r.URL.Path == "/-/kv-range":
		s.list(w, r)
	case r.URL.Path == "/-/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/-/kv-txn":
		s.commit(w, r)
	case r.URL.Path == "/-/kv-lease":
		s.grant(w, r)
	case isRenewal:
		s.renew(w, lease)
	case isEnd:
		id, _ := strconv.ParseInt(ended, 10, 64)
		s.endLease(id)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// put writes a key as the operator or a backend server does, and returns the revision of the write.
func (s *metadataStore) put(key string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storeItem{Key: key, Value: encoded})
	return s.revision
}

// remove removes a key as its writer does.
func (s *metadataStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	s.write(storeItem{Key: key, Deleted: true})
}

// write applies one item at the current revision. s.mu must be held.
func (s *metadataStore) write(item storeItem) {
	item.Revision, item.Created = s.revision, s.revision
	if old, exists := s.items[item.Key]; exists {
		item.Created = old.Created
	}
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *metadataStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, exists := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *metadataStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > maxRangeItems
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxRangeItems)], "hasMore": hasMore, "asOf": revision})
}

func (s *metadataStore) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.NewTimer(min(maxWatchWait, time.Duration(wait)*time.Millisecond))
	defer deadline.Stop()
	for {
		events, revision, changed := s.eventsAfter(prefix, after)
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []storeItem{}, "asOf": revision})
			return
		}
	}
}

func (s *metadataStore) eventsAfter(prefix string, after int64) ([]storeItem, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []storeItem
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed
}

// transaction is the body of kv-txn.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *metadataStore) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	current := []storeItem{}
	for _, e := range t.Expected {
		item, exists := s.items[e.Key]
		if !exists {
			item = storeItem{Key: e.Key, Deleted: true}
		}
		met = met && item.Revision == e.Revision
		current = append(current, item)
	}
	if !met {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range t.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, write := range t.Writes {
		s.write(storeItem{Key: write.Key, Value: write.Value, Lease: write.Lease})
	}
	for _, key := range t.Remove {
		s.write(storeItem{Key: key, Deleted: true})
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *metadataStore) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id, ttl := s.lastID, time.Duration(request.TTLMs)*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": request.TTLMs})
}

func (s *metadataStore) renew(w http.ResponseWriter, lease string) {
	id, _ := strconv.ParseInt(lease, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Reset(l.ttl) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

// endLease ends a lease and removes its keys.
func (s *metadataStore) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.write(storeItem{Key: key, Deleted: true})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write means that the caller has disconnected
}
