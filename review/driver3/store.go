package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gate is how the store treats the calls of one host.
type gate int

const (
	gateOpen   gate = iota
	gateBusy        // 503, nothing is done
	gateReset       // the connection is reset
	gateSilent      // no answer
)

const (
	historyTime   = 20 * time.Second
	leaseInterval = 20 * time.Millisecond
	pageItems     = 500
	maxTxnEntries = 32
)

// item is an item of the store, and an event of a watch.
type item struct {
	Key      string  `json:"key"`
	Value    *[]byte `json:"value,omitempty"`
	Revision int64   `json:"revision"`
	Created  int64   `json:"created,omitempty"`
	Lease    int64   `json:"lease,omitempty"`
	Deleted  bool    `json:"deleted,omitempty"`

	at time.Time
}

// lease removes its keys when it ends.
type lease struct {
	ttl   time.Duration
	endAt time.Time
}

// store is a stand-in for the platform's store. Each host reaches it at an address of its own, so that it can turn away some.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	events    []item
	dropped   int64 // revision up to which events are gone
	revision  int64
	leases    map[int64]*lease
	nextLease int64
	era       int64
	gates     map[string]gate
	pausedAt  time.Time // when the leases were paused, zero if they run
	changed   chan struct{}
	servers   []*http.Server
	done      chan struct{}
	closeOnce sync.Once
}

func newStore() *store {
	s := &store{
		items: make(map[string]item), leases: make(map[int64]*lease), gates: make(map[string]gate), revision: 1, nextLease: 100, era: 1,
		changed: make(chan struct{}), done: make(chan struct{}),
	}
	go s.expireLeases()
	return s
}

func (s *store) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		for _, server := range s.servers {
			_ = server.Close()
		}
	})
}

// listen serves one host and returns the address.
func (s *store) listen(host string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	handle := func(pattern string, serve func(w http.ResponseWriter, r *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if !s.pass(host, w, r) {
				return
			}
			serve(w, r)
		})
	}
	handle("GET /-/kv-key", s.serveKey)
	handle("GET /-/kv-range", s.serveRange)
	handle("GET /-/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.serveWatch(host, w, r) })
	handle("POST /-/kv-txn", s.serveTransaction)
	handle("POST /-/kv-lease", s.serveGrant)
	handle("POST /-/kv-keep/{id}", s.serveKeep)
	handle("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	return l.Addr().String(), nil
}

// setGate sets how the calls of hosts are treated.
func (s *store) setGate(g gate, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		s.gates[host] = g
	}
	s.notify()
}

func (s *store) gateOf(host string) gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gates[host]
}

// pass reports whether a call is served. If not, it is answered as the gate says.
func (s *store) pass(host string, w http.ResponseWriter, r *http.Request) bool {
	switch s.gateOf(host) {
	case gateOpen:
		return true
	case gateBusy:
		s.reply(w, http.StatusServiceUnavailable, struct{}{})
	case gateReset:
		resetConnection(w)
	case gateSilent:
		<-r.Context().Done()
		resetConnection(w)
	}
	return false
}

func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the host has disconnected
}

// notify wakes the watches. The caller holds the mutex.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a value at the current revision. The caller holds the mutex and has raised the revision.
func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: &value, Revision: s.revision, Created: created, Lease: lease, at: time.Now()}
	s.items[key] = i
	s.events = append(s.events, i)
}

// remove removes a key at the current revision. The caller holds the mutex and has raised the revision.
func (s *store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

// put writes a value for the operator or a backend server.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are plain maps
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
	s.notify()
}

// expireLeases ends leases and forgets old events.
func (s *store) expireLeases() {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(leaseInterval):
		}
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if s.pausedAt.IsZero() && now.After(l.endAt) {
				s.endLease(id)
			}
		}
		for len(s.events) > 0 && now.Sub(s.events[0].at) > historyTime {
			s.dropped = s.events[0].Revision
			s.events = s.events[1:]
		}
		s.mu.Unlock()
	}
}

// pauseLeases keeps leases from ending until resumeLeases.
func (s *store) pauseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedAt = time.Now()
}

func (s *store) resumeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.endAt = l.endAt.Add(time.Since(s.pausedAt))
	}
	s.pausedAt = time.Time{}
}

// unlist removes the entry of a backend server.
func (s *store) unlist(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove("servers/" + id)
	s.notify()
}

// endLease removes a lease with its keys. The caller holds the mutex.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		s.revision++
		s.remove(key)
	}
	s.notify()
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		s.reply(w, http.StatusNotFound, map[string]any{"asOf": asOf})
		return
	}
	s.reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > pageItems
	s.reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": hasMore, "asOf": asOf})
}

// serveWatch waits for events. It ends like any other call if the store begins to turn the host away meanwhile.
func (s *store) serveWatch(host string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		if s.gateOf(host) != gateOpen {
			s.pass(host, w, r)
			return
		}
		s.mu.Lock()
		isLost := after < s.dropped
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case isLost:
			s.reply(w, http.StatusGone, struct{}{})
			return
		case len(events) > 0 || isOver:
			s.reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a conditional write.
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

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > maxTxnEntries {
		s.reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	status, body := s.commit(t)
	s.reply(w, status, body)
}

// commit executes a transaction, all or nothing.
func (s *store) commit(t transaction) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, isMet := []item{}, true
	for _, e := range t.Expected {
		i, found := s.items[e.Key]
		if found {
			current = append(current, i)
		}
		isMet = isMet && i.Revision == e.Revision
	}
	if !isMet {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range t.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, write := range t.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		s.reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	s.nextLease++
	id, ttl := s.nextLease, time.Duration(body.TTLMs)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, endAt: time.Now().Add(ttl)}
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": body.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.endAt = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		s.reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	s.reply(w, http.StatusOK, struct{}{})
}
