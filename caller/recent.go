package caller

import (
	"sync"
	"time"
)

const (
	recentRetention        = time.Hour
	maxRecentClaims        = 4096
	maxRecentResponseBytes = 16 << 10 // bytes; longer responses are not cached
)

// recentClaims caches the claims under which this entry host may have sent a call,
// so that it can serve repeats while the store is down.
type recentClaims struct {
	mu      sync.Mutex
	entries map[string]claim
}

// put caches the current state of a claim.
func (r *recentClaims) put(held *claim, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = make(map[string]claim)
	}
	stored := *held
	if len(stored.record.Body) > maxRecentResponseBytes {
		stored.record.Body, stored.record.BodyDropped = nil, true
	}
	r.entries[held.key] = stored
	if len(r.entries) > maxRecentClaims {
		r.evict(now)
	}
}

func (r *recentClaims) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, key)
}

func (r *recentClaims) get(key string) (claimRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, found := r.entries[key]
	return held.record, found
}

// evict removes the claims older than recentRetention, or the oldest claim if there are none.
func (r *recentClaims) evict(now time.Time) {
	var oldest claim
	for key, held := range r.entries {
		if now.Sub(held.record.ClaimedAt) > recentRetention {
			delete(r.entries, key)
			continue
		}
		if oldest.key == "" || held.record.ClaimedAt.Before(oldest.record.ClaimedAt) {
			oldest = held
		}
	}
	if len(r.entries) > maxRecentClaims {
		delete(r.entries, oldest.key)
	}
}
