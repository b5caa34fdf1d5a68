package caller

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"citronspread/store"
)

const (
	recentTime      = time.Hour
	maxRecent       = 4096
	maxRecentAnswer = 16 << 10 // bytes of an answer that is kept in memory
)

// recentClaims are the claims under which this entry host may have sent a call.
// They answer repeats here while the store is down, and are written again after it lost them.
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

func (r *recentClaims) list() []claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.entries))
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

// Restored writes the recent claims again. It is called when the store came back with older data.
func (c *Claims) Restored(ctx context.Context) error {
	var failed error
	for _, held := range c.recent.list() {
		if err := c.rewrite(ctx, held); err != nil {
			failed = err
		}
	}
	return failed
}

func (c *Claims) rewrite(ctx context.Context, held claim) error {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	value, err := json.Marshal(held.wire)
	if err != nil {
		return err
	}
	revision := int64(0)
	for {
		_, err := c.write(ctx, &held, value, revision)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		var current claimWire
		if conflict.Current.Revision == 0 || json.Unmarshal(conflict.Current.Value, &current) != nil {
			return err
		}
		isOlder := current.State == claimReleased || current.Nonce == held.wire.Nonce && current.State != held.wire.State
		if !isOlder {
			return nil
		}
		revision = conflict.Current.Revision
	}
}
