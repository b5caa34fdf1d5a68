package entryhost

import (
	"context"
	"sync"
	"time"
)

// restorePause is how long no new claim is trusted after a restore, while the hosts write lost claims again.
const restorePause = 5 * time.Second

// revisions knows how far the store has come. An epoch begins when the store came back with older data.
type revisions struct {
	edge *edge

	mu          sync.Mutex
	epoch       int64
	highest     int64
	pausedUntil time.Time
}

// Floor returns the highest revision seen in this epoch.
func (r *revisions) Floor() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.highest
}

// Saw notes a revision.
func (r *revisions) Saw(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest = max(r.highest, revision)
}

// Paused reports whether a restore was noticed a moment ago.
func (r *revisions) Paused(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.pausedUntil)
}

// Restored tells the control thread, and through it all entry hosts, of a restore.
func (r *revisions) Restored() {
	r.edge.spawn(func(ctx context.Context) { r.edge.post(ctx, storeRestored{}) })
}

// current returns the epoch and the highest revision of it.
func (r *revisions) current() (epoch, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch, r.highest
}

// heard takes in what a peer knows.
func (r *revisions) heard(now time.Time, epoch, revision int64) {
	r.restart(now, epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		r.highest = max(r.highest, revision)
	}
}

// restart begins a new epoch.
func (r *revisions) restart(now time.Time, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch <= r.epoch {
		return
	}
	r.epoch, r.highest = epoch, 0
	r.pausedUntil = now.Add(restorePause)
}
