package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	maxValueBytes          = 1 << 20
	leaseCheckInterval     = 20 * time.Millisecond
	maxWatchTimeout        = time.Minute
)

// StoreCounts counts the calls that reached the store.
type StoreCounts struct {
	Reads       int64
	Writes      int64
	Watches     int64
	Conflicts   int64
	RateLimited int64
	Refused     int64 // calls while down or from an unreachable zone
	LostAnswers int64 // writes that took effect without a response
}

// Store simulates the platform's key-value store.
type Store struct {
	Address         string
	WritesPerSecond float64
	ReadsPerSecond  float64
	WriteSink       WriteSink // optional

	once    sync.Once
	writes  *rate.Limiter
	reads   *rate.Limiter
	mu      sync.Mutex
	data    *keyspace
	changed chan struct{} // closed at the next change of the data or the fault
	fault   StoreFault
	counts  StoreCounts
}

// Run serves the store until ctx is done.
func (s *Store) Run(ctx context.Context) error { return serve(ctx, s.Address, s.Handler()) }

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	s.once.Do(s.init)
	r := chi.NewRouter()
	r.Get("/counts", s.handleCounts)
	r.Post("/fault", s.handleFault)
	r.Group(func(r chi.Router) {
		r.Use(s.applyFault)
		r.With(s.limitReads).Get("/v1/kv", s.handleList)
		r.With(s.limitReads).Get("/v1/kv/*", s.handleGet)
		r.With(s.limitReads).Get("/v1/watch", s.handleWatch)
		r.With(s.limitWrites).Put("/v1/kv/*", s.handlePut)
		r.With(s.limitWrites).Delete("/v1/kv/*", s.handleDelete)
		r.With(s.limitWrites).Post("/v1/leases", s.handleGrant)
		r.With(s.limitWrites).Post("/v1/leases/{id}/renew", s.handleRenew)
		r.With(s.limitWrites).Delete("/v1/leases/{id}", s.handleRevoke)
	})
	return r
}

func (s *Store) init() {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = defaultReadsPerSecond
	}
	s.writes = rate.NewLimiter(rate.Limit(s.WritesPerSecond), int(s.WritesPerSecond))
	s.reads = rate.NewLimiter(rate.Limit(s.ReadsPerSecond), int(s.ReadsPerSecond))
	s.data = newKeyspace()
	s.changed = make(chan struct{})
}

// notifyWatchers wakes all waiting watches. s.mu must be held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes expired leases with their entries. s.mu must be held.
func (s *Store) expireLeases(now time.Time) {
	if s.data.expire(now) {
		s.notifyWatchers()
	}
}

func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Store) limitReads(next http.Handler) http.Handler { return s.limit(s.reads, next) }

func (s *Store) limitWrites(next http.Handler) http.Handler { return s.limit(s.writes, next) }

func (s *Store) limit(limiter *rate.Limiter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limiter.Allow() {
			next.ServeHTTP(w, r)
			return
		}
		s.count(func(c *StoreCounts) { c.RateLimited++ })
		writeError(w, http.StatusTooManyRequests, "over the rate")
	})
}

func (s *Store) count(add func(*StoreCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

// applyFault refuses or delays a call according to the current fault.
func (s *Store) applyFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		unreachable := slices.Contains(fault.UnreachableZones, r.Header.Get(zoneHeader))
		if unreachable || fault.Down {
			s.counts.Refused++
		}
		s.mu.Unlock()
		if unreachable {
			abortConnection()
		}
		if fault.Down {
			writeError(w, http.StatusServiceUnavailable, "down")
			return
		}
		if !sleep(r.Context(), time.Duration(fault.DelayMS)*time.Millisecond) {
			return
		}
		next.ServeHTTP(w, r)
	})
}
