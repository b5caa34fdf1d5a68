package caller

import (
	"sync"
	"time"
)

const (
	recentTime      = time.Hour
	maxRecent       = 4096
	maxRecentAnswer = 16 << 10 // bytes of an answer that is kept in memory
)

// recentClaims are the claims under which this entry host may have sent a call.
// They answer repeats here while the store is down.
type recentClaims struct {
	mu      sync.Mutex
	entries map[string]claim
}

// remember keeps the present state of a claim.
func (r *recentClaims) remember(held *claim, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = make(map[string]claim)
	}
	kept := *held
	if len(kept.wire.Body) > maxRecentAnswer {
		kept.wire.Body, kept.wire.BodyDropped = nil, true
	}
	r.entries[held.key] = kept
	if len(r.entries) > maxRecent {
		r.evict(now)
	}
}

func (r *recentClaims) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, key)
}

func (r *recentClaims) recall(key string) (claimWire, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, known := r.entries[key]
	return held.wire, known
}

// evict drops old claims, and the oldest one when none is old.
func (r *recentClaims) evict(now time.Time) {
	var oldest claim
	for key, held := range r.entries {
		if now.Sub(held.wire.ClaimedAt) > recentTime {
			delete(r.entries, key)
			continue
		}
		if oldest.key == "" || held.wire.ClaimedAt.Before(oldest.wire.ClaimedAt) {
			oldest = held
		}
	}
	if len(r.entries) > maxRecent {
		delete(r.entries, oldest.key)
	}
}
