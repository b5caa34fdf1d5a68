package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"citronspread/load"
	"citronspread/model"
)

const (
	// maxLoads bounds the backend servers whose load is kept.
	maxLoads = 4096
	// Growth is measured between two sums that are neither so close that a single request decides it nor so far apart that it is
	// over.
	minGrowthSpan = 500 * time.Millisecond
	maxGrowthSpan = 4 * time.Second
)

// loads holds what this router knows of the load of the backend servers of models and of plain services.
type loads struct {
	entries   map[string]*knownLoad
	sequence  int64 // of the last change
	typical   float64
	typicalAt time.Time
}

// knownLoad is what is known of one backend server.
type knownLoad struct {
	model.BackendLoad
	ownAtStatement int     // requests of this router when the statement arrived
	growth         float64 // of Held.Requests, per second
	levels         levels  // since FullAt
	changed        int64
	learned        int64 // last change that did not come from a relay
}

func newLoads() loads { return loads{entries: make(map[string]*knownLoad)} }

// get returns the entry of a backend server and adds one if there is room.
func (l *loads) get(now time.Time, backend string) *knownLoad {
	k := l.entries[backend]
	if k == nil {
		if len(l.entries) >= maxLoads {
			l.expire(now)
		}
		if len(l.entries) >= maxLoads {
			return nil
		}
		k = &knownLoad{BackendLoad: model.BackendLoad{Backend: backend}}
		l.entries[backend] = k
	}
	return k
}

// expire removes the entries that are too old.
func (l *loads) expire(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ string, k *knownLoad) bool {
		return now.Sub(k.Stated.At) > load.MaxAge && now.Sub(k.Held.At) > load.MaxAge && now.Sub(k.FullAt) > load.MaxAge
	})
}

// touch numbers a change. learned is set unless it came from a relay.
func (l *loads) touch(k *knownLoad, learned bool) {
	l.sequence++
	k.changed = l.sequence
	if learned {
		k.learned = l.sequence
	}
}

// LoadStatement is what a response says about the load of its backend server.
type LoadStatement struct {
	Load   model.StatedLoad
	Stated bool
	Full   bool // the backend server refused the request for lack of room
}

// RecordLoad records what the response of a backend server says about its load. It is news for all requests that wait.
func (r *Router) RecordLoad(now time.Time, backend string, s LoadStatement) {
	if !s.Stated && !s.Full {
		return
	}
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.loads.get(now, backend)
	if k == nil {
		return
	}
	if s.Full && r.stated.allowances[backend] == nil {
		k.FullAt = now
		k.resetLevels()
	}
	if s.Stated {
		k.Stated = load.Bounded(s.Load)
		k.Stated.At = now
		k.ownAtStatement = r.ownRequests(backend)
		k.raiseLevels()
	}
	r.loads.touch(k, true)
	r.loadChanged(now)
}

// MergeLoads merges what other hosts know, with times on the clock of this host, and grants waiting requests to backend
// servers that have room again. relayed is set if it came from the relay, which need not be told.
func (r *Router) MergeLoads(now time.Time, received []model.BackendLoad, relayed bool) {
	if len(received) == 0 {
		return
	}
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range received {
		k := r.loads.get(now, l.Backend)
		if k == nil {
			continue
		}
		statedAt, held, fullAt := k.Stated.At, k.Held, k.FullAt
		if !load.Merge(&k.BackendLoad, l) {
			continue
		}
		k.recordGrowth(held)
		if !k.FullAt.Equal(fullAt) {
			k.resetLevels()
		}
		k.raiseLevels()
		r.loads.touch(k, !relayed)
		if !k.Stated.At.Equal(statedAt) {
			k.ownAtStatement = r.ownRequestsAt(l.Backend, k.Stated.At)
		}
	}
	r.loadChanged(now)
}

// loadChanged grants waiting requests to backend servers that have room again. The router's mutex must be held.
func (r *Router) loadChanged(now time.Time) {
	r.dispatch(now)
	if r.endpointCalls.awaitingRoom > 0 {
		r.stated.notify()
	}
}

// recordGrowth records by how much the held requests have grown since an earlier sum.
func (k *knownLoad) recordGrowth(earlier model.HeldLoad) {
	if k.Held.At.Equal(earlier.At) {
		return
	}
	since := k.Held.At.Sub(earlier.At)
	k.growth = 0
	if !earlier.At.IsZero() && since <= maxGrowthSpan {
		k.growth = float64(k.Held.Requests-earlier.Requests) / max(since, minGrowthSpan).Seconds()
	}
}

// LoadsAfter returns the loads that changed after a sequence number, and the number of the last change. With learned, it
// leaves out those that came from a relay.
func (r *Router) LoadsAfter(now time.Time, after int64, learned bool) ([]model.BackendLoad, int64) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	if after > r.loads.sequence {
		after = 0 // another process of this host gave the number
	}
	var found []model.BackendLoad
	for _, k := range r.loads.entries {
		if learned && k.learned > after || !learned && k.changed > after {
			found = append(found, k.BackendLoad)
		}
	}
	slices.SortFunc(found, func(a, b model.BackendLoad) int { return cmp.Compare(a.Backend, b.Backend) })
	return found, r.loads.sequence
}

// Load returns what is known of the load of a backend server.
func (r *Router) Load(backend string) (model.BackendLoad, bool) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.loads.entries[backend]; k != nil {
		return k.BackendLoad, true
	}
	return model.BackendLoad{}, false
}

// ForgetLoad removes the load of a backend server that was restarted or is gone.
func (r *Router) ForgetLoad(backend string) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loads.entries, backend)
	if b := r.fleet.backends[backend]; b != nil {
		b.full = fullState{}
	}
}

// LoadSummary describes what this router knows of the loads of all backend servers.
type LoadSummary struct {
	Known   int     // backend servers of which something recent is known
	Full    int     // that have refused a request and where nothing has changed since
	Mean    float64 // load per slot of the known ones
	Highest float64 // the same of the busiest one
}

// LoadSummary returns a summary of the loads for the metrics.
func (r *Router) LoadSummary(now time.Time) LoadSummary {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := LoadSummary{Mean: r.typicalLoad(now)}
	for name, b := range r.fleet.backends {
		if r.isFull(now, &b.full, name, b.capacity) {
			s.Full++
		}
		if v := r.loadView(now, name); v.weight > 0 {
			s.Known++
			if b.capacity > 0 {
				s.Highest = max(s.Highest, (v.others+float64(b.ownRequests))/float64(b.capacity))
			}
		}
	}
	return s
}
