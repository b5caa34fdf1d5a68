package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/store"
)

// Timing and limits of relaying the store's changes within a zone. One host of each zone is the relay: it watches
// the store, and the other hosts of the zone follow the relay, which saves calls to the store.
const (
	// relayKey is the rendezvous hashing key for choosing a zone's relay.
	relayKey = "relay"
	// maxRelayAge is the highest age of the store's last response at which a relay counts as fresh: the wait of a
	// watch, the delay after it and a margin.
	maxRelayAge = watchWait + watchDelay + 400*time.Millisecond
	// followMargin is how much longer than its wait a call to the relay may take.
	followMargin = 300 * time.Millisecond
	// directAfterFailure is how long this host watches the store directly after its relay did not respond. The next
	// relay may have failed too, and each one tried costs another timeout.
	directAfterFailure = 5 * time.Second
	// directAfterStale is how long this host watches the store directly after its relay reported that it is not
	// fresh. That is only one watch, since such a reply costs no timeout.
	directAfterStale = watchDelay
	// maxChanges bounds the changes that a relay retains. Each follower requests changes about once a second.
	maxChanges = 32
)

// history retains the latest changes of the store for the hosts of the zone that follow this one.
type history struct {
	mu           sync.Mutex
	baseRevision int64 // the changes after this revision are retained
	revision     int64
	changes      []store.Change // by ascending revision
	respondedAt  time.Time      // last response of the store itself, not of a relay
	changed      chan struct{}  // closed and replaced at each change
}

func newHistory() *history { return &history{changed: make(chan struct{})} }

// reset empties the history and starts it at a revision whose complete content was read from the store.
func (h *history) reset(now time.Time, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.baseRevision, h.revision, h.changes, h.respondedAt = revision, revision, nil, now
	h.notify()
}

// add retains a change. direct reports whether it came from the store itself.
func (h *history) add(now time.Time, change store.Change, direct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if direct {
		h.respondedAt = now
	}
	if change.Revision <= h.revision {
		return
	}
	h.revision = change.Revision
	h.changes = append(h.changes, change)
	if len(h.changes) > maxChanges {
		h.baseRevision = h.changes[0].Revision
		h.changes = slices.Delete(h.changes, 0, 1)
	}
	h.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds the mutex.
func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// after returns all changes after a revision. reply.Lost is set if some of them are no longer retained.
func (h *history) after(now time.Time, revision int64) (reply peer.FollowReply, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Fresh = now.Sub(h.respondedAt) <= maxRelayAge && h.revision > 0
	reply.Lost = revision < h.baseRevision
	newer := slices.IndexFunc(h.changes, func(c store.Change) bool { return c.Revision > revision })
	if newer >= 0 {
		reply.Change = store.MergeChanges(h.changes[newer:])
	}
	reply.Change.Revision = max(revision, h.revision)
	return reply, h.changed
}

// serveFollow replies to a host that follows this one: at once if the history is not fresh or some of the changes are
// lost, else as soon as there is a change or when the requested wait ends.
func (h *Host) serveFollow(ctx context.Context, request *peer.FollowRequest) *peer.FollowReply {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		reply, changed := h.history.after(h.Now(), request.After)
		if !reply.Fresh || reply.Lost || !reply.Change.IsEmpty() {
			return &reply
		}
		select {
		case <-changed:
		case <-timer.C:
			return &reply
		case <-ctx.Done():
			return &reply
		}
	}
}

// chooseRelay sets the host of the zone that this one follows. It is empty if this host watches the store itself.
func (h *Host) chooseRelay(now time.Time) {
	var local []model.Peer
	for _, p := range h.table.Live() {
		if p.Zone == h.Zone {
			local = append(local, p)
		}
	}
	chosen := ""
	if p, found := membership.Leader(local, relayKey); found && p.Name != h.Name && !now.Before(h.directUntil) {
		chosen = p.Address
	}
	if before := h.relay.Swap(&chosen); before == nil || *before != chosen {
		h.Log.Info("relay chosen", zap.String("Relay", chosen))
	}
}

// follow requests the changes after a revision from the relay. It returns false if the store has to be watched instead.
func (h *Host) follow(ctx context.Context, revision int64) (store.Change, bool) {
	relay := h.relay.Load()
	if relay == nil || *relay == "" {
		return store.Change{}, false
	}
	address := *relay
	ctx, cancel := context.WithTimeout(ctx, watchWait+followMargin)
	defer cancel()
	reply, err := h.peers.Follow(ctx, address, &peer.FollowRequest{After: revision, Wait: watchWait})
	if err == nil && reply.Fresh && !reply.Lost {
		return reply.Change, true
	}
	if err != nil || !reply.Fresh {
		duration := directAfterFailure
		if err == nil {
			duration = directAfterStale
		}
		h.Log.Info("relay lost", zap.String("Relay", address), zap.Bool("Answered", err == nil), zap.Duration("Direct", duration), zap.Error(err))
		h.post(func(now time.Time) {
			h.directUntil = now.Add(duration)
			h.chooseRelay(now)
		})
	}
	return store.Change{}, false
}
