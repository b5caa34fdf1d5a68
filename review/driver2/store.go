package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay    = 4 * time.Millisecond // time of an answer
	historyTime   = 20 * time.Second
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	maxTxnEntries = 32
	maxWatchWait  = 30 * time.Second
	minLeaseTTL   = time.Second
	maxLeaseTTL   = 10 * time.Minute
	leaseInterval = 20 * time.Millisecond
)

// item is an item of the store as it is sent. Value is base64 text in JSON.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// event is a change of an item, or its deletion.
type event struct {
	at   time.Time
	item item
	gone bool
}

// encode returns the event as a watch reports it.
func (e event) encode() any {
	if e.gone {
		return map[string]any{"key": e.item.Key, "revision": e.item.Revision, "deleted": true}
	}
	return e.item
}

type lease struct {
	ttl, left time.Duration
	renewedAt time.Time
}

// content is what the store holds, without its history.
type content struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
}

func (c content) clone() content {
	return content{revision: c.revision, items: maps.Clone(c.items), leases: maps.Clone(c.leases)}
}

// metadataStore is a stand-in for the platform's metadata store.
type metadataStore struct {
	WritesPerSecond, ReadsPerSecond float64

	mu        sync.Mutex
	content   content
	keys      []string // of the items, sorted
	history   []event
	lostUpTo  int64 // events up to this revision are no longer in the history
	changed   chan struct{}
	era       int
	away      bool
	nextLease int64
	own       map[string][]byte // what the operator and the servers wrote last, nil if they removed it
	writes    budget
	reads     budget
	calls     map[string]int
}

// budget counts calls in the current second.
type budget struct {
	second int64
	used   float64
}

// allow counts a call and reports whether it is within the limit.
func (b *budget) allow(now time.Time, price, limit float64) bool {
	if s := now.Unix(); s != b.second {
		b.second, b.used = s, 0
	}
	b.used += price
	return limit <= 0 || b.used <= limit
}

func newMetadataStore(writes, reads float64) *metadataStore {
	return &metadataStore{
		WritesPerSecond: writes, ReadsPerSecond: reads, era: 1, nextLease: 1000, changed: make(chan struct{}),
		content: content{revision: 1, items: make(map[string]item), leases: make(map[int64]lease)},
		own:     make(map[string][]byte), calls: make(map[string]int),
	}
}

// Put writes an item of the operator or of a server.
func (s *metadataStore) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are plain structs and maps
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own[key] = encoded
	if !s.away {
		s.content.revision++
		s.write(time.Now(), key, encoded, 0)
		s.notify()
	}
}

// Remove removes an item of a server.
func (s *metadataStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own[key] = nil
	if _, found := s.content.items[key]; found && !s.away {
		s.content.revision++
		s.remove(time.Now(), key)
		s.notify()
	}
}

// Copy returns a copy of the content, from which the store may be restored.
func (s *metadataStore) Copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content.clone()
	now := time.Now()
	for id, l := range c.leases {
		l.left = l.ttl - now.Sub(l.renewedAt)
		c.leases[id] = l
	}
	return c
}

// Leave makes the store unreachable: its connections are reset.
func (s *metadataStore) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// Restore brings the store back with an older content in the next era. What the operator and the servers wrote is written again.
func (s *metadataStore) Restore(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.content, s.history, s.lostUpTo = c.clone(), nil, c.revision
	for id, l := range s.content.leases {
		l.renewedAt = now.Add(l.left - l.ttl)
		s.content.leases[id] = l
	}
	s.keys = slices.Sorted(maps.Keys(s.content.items))
	s.era++
	s.away = false
	for key, value := range s.own {
		current, found := s.content.items[key]
		switch {
		case value == nil && found:
			s.content.revision++
			s.remove(now, key)
		case value != nil && string(current.Value) != string(value):
			s.content.revision++
			s.write(now, key, value, 0)
		}
	}
	s.notify()
}

// Count returns the number of items with a prefix.
func (s *metadataStore) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// write sets an item at the current revision. s.mu must be held.
func (s *metadataStore) write(now time.Time, key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.content.revision, Created: s.content.revision, Lease: leaseID}
	if old, found := s.content.items[key]; found {
		i.Created = old.Created
	} else if position, present := slices.BinarySearch(s.keys, key); !present {
		s.keys = slices.Insert(s.keys, position, key)
	}
	s.content.items[key] = i
	s.record(event{at: now, item: i})
}

// remove deletes an item at the current revision. s.mu must be held.
func (s *metadataStore) remove(now time.Time, key string) {
	delete(s.content.items, key)
	if position, present := slices.BinarySearch(s.keys, key); present {
		s.keys = slices.Delete(s.keys, position, position+1)
	}
	s.record(event{at: now, item: item{Key: key, Revision: s.content.revision}, gone: true})
}

// record appends to the history and drops what is older than historyTime. s.mu must be held.
func (s *metadataStore) record(e event) {
	s.history = append(s.history, e)
	old := 0
	for old < len(s.history) && e.at.Sub(s.history[old].at) > historyTime {
		s.lostUpTo = s.history[old].item.Revision
		old++
	}
	s.history = s.history[old:]
}

func (s *metadataStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// RunLeases ends leases until stop is closed.
func (s *metadataStore) RunLeases(stop <-chan struct{}) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.content.leases {
			if !s.away && now.Sub(l.renewedAt) > l.ttl {
				s.endLease(now, id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its items. s.mu must be held.
func (s *metadataStore) endLease(now time.Time, id int64) {
	delete(s.content.leases, id)
	isFirst := true
	for _, key := range slices.Clone(s.keys) {
		if s.content.items[key].Lease != id {
			continue
		}
		if isFirst {
			s.content.revision++
			isFirst = false
		}
		s.remove(now, key)
	}
	if !isFirst {
		s.notify()
	}
}

// ServeHTTP serves the calls of the store.
func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		reset(w)
		return
	}
	name := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/"), "/")[0]
	s.calls[name]++
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	now, isAllowed := time.Now(), true
	switch {
	case q.Get("serializable") == "1":
	case name == "kv-keep":
		isAllowed = s.reads.allow(now, 0.1, s.ReadsPerSecond)
	case r.Method == http.MethodGet:
		isAllowed = s.reads.allow(now, 1, s.ReadsPerSecond)
	default:
		isAllowed = s.writes.allow(now, 1, s.WritesPerSecond)
	}
	if !isAllowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.Method + " " + name {
	case "GET kv-key":
		s.serveKey(w, q.Get("key"))
	case "GET kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "GET kv-watch":
		s.serveWatch(w, r)
	case "POST kv-txn":
		s.serveTxn(w, r)
	case "POST kv-lease":
		s.serveLease(w, r)
	case "POST kv-keep":
		s.serveKeep(w, r)
	case "DELETE kv-lease-end":
		id, _ := strconv.ParseInt(lastPart(r.URL.Path), 10, 64)
		s.endLease(now, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func lastPart(path string) string { return path[strings.LastIndex(path, "/")+1:] }

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	conn.Close()
}

func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write means that the caller has disconnected
}

func (s *metadataStore) serveKey(w http.ResponseWriter, key string) {
	i, found := s.content.items[key]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, s.content.revision})
}

func (s *metadataStore) serveRange(w http.ResponseWriter, prefix, after string) {
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		AsOf    int64  `json:"asOf"`
	}{Items: []item{}, AsOf: s.content.revision}
	position, _ := slices.BinarySearch(s.keys, max(prefix, after))
	size := 0
	for ; position < len(s.keys); position++ {
		key := s.keys[position]
		if after != "" && key <= after {
			continue
		}
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(page.Items) == maxPageItems || size > maxPageBytes {
			page.HasMore = true
			break
		}
		i := s.content.items[key]
		size += len(i.Key) + len(i.Value)*4/3
		page.Items = append(page.Items, i)
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	respond(w, http.StatusOK, page)
}

func (s *metadataStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	era := s.era
	for isOver := false; ; {
		switch {
		case s.away || s.era != era:
			reset(w)
			return
		case after > s.content.revision || after < s.lostUpTo:
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(e event, revision int64) int { return int(e.item.Revision - revision) })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.item.Key, q.Get("prefix")) {
				events = append(events, e.encode())
			}
		}
		if len(events) > 0 || isOver {
			body := map[string]any{"events": events, "asOf": s.content.revision}
			s.mu.Unlock()
			respond(w, http.StatusOK, body)
			s.mu.Lock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		s.mu.Lock()
	}
}

func (s *metadataStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holds := true
	current := []any{}
	for _, e := range t.Expected {
		i, found := s.content.items[e.Key]
		if i.Revision != e.Revision {
			holds = false
		}
		if found {
			current = append(current, i)
		} else {
			current = append(current, map[string]any{"key": e.Key, "revision": 0})
		}
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range t.Writes {
		if _, found := s.content.leases[write.Lease]; write.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	now := time.Now()
	s.content.revision++
	for _, write := range t.Writes {
		s.write(now, write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Remove {
		if _, found := s.content.items[key]; found {
			s.remove(now, key)
		}
	}
	s.notify()
	respond(w, http.StatusOK, map[string]any{"revision": s.content.revision})
}

func (s *metadataStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(request.TTLMs)*time.Millisecond, minLeaseTTL), maxLeaseTTL)
	s.nextLease++
	s.content.leases[s.nextLease] = lease{ttl: ttl, renewedAt: time.Now()}
	respond(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttlMs": ttl.Milliseconds()})
}

func (s *metadataStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(lastPart(r.URL.Path), 10, 64)
	l, found := s.content.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.renewedAt = time.Now()
	s.content.leases[id] = l
	respond(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
