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

// Times and limits of passing the store's changes on within a zone.
const (
	// relayKey is what rendezvous hashing chooses a zone's relay by.
	relayKey = "relay"
	// relayFresh is how old a relay's last answer of the store may be: a watch, its pace and a margin.
	relayFresh = watchWait + watchPace + 400*time.Millisecond
	// followSlack is how much longer than its wait a call to the relay may take.
	followSlack = 300 * time.Millisecond
	// directFor is how long the store itself is asked after a relay did not answer. Others may have
	// failed with it, and each one tried would cost another timeout.
	directFor = 5 * time.Second
	// directOnce is how long the store itself is asked after a relay told that it is not fresh, which costs no timeout.
	directOnce = watchPace
	// maxChanges bounds the changes that a relay keeps; a follower asks about once a second.
	maxChanges = 32
)

// history keeps the latest changes of the store, for hosts of the zone that follow this one.
type history struct {
	mu         sync.Mutex
	from       int64 // the changes after this revision are kept
	revision   int64
	changes    []store.Change // rising revisions
	answeredAt time.Time      // when the store itself answered last
	changed    chan struct{}
}

func newHistory() *history { return &history{changed: make(chan struct{})} }

// reset starts anew at a revision whose whole content was read from the store.
func (k *history) reset(now time.Time, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.from, k.revision, k.changes, k.answeredAt = revision, revision, nil, now
	k.notify()
}

// add keeps a change. direct tells that the store itself gave it.
func (k *history) add(now time.Time, change store.Change, direct bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if direct {
		k.answeredAt = now
	}
	if change.Revision <= k.revision {
		return
	}
	k.revision = change.Revision
	k.changes = append(k.changes, change)
	if len(k.changes) > maxChanges {
		k.from = k.changes[0].Revision
		k.changes = slices.Delete(k.changes, 0, 1)
	}
	k.notify()
}

// notify wakes those who wait for a change. The caller holds the mutex.
func (k *history) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// after returns all changes after a revision. lost tells that they are not all kept.
func (k *history) after(now time.Time, revision int64) (reply peer.FollowReply, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reply.Fresh = now.Sub(k.answeredAt) <= relayFresh && k.revision > 0
	reply.Lost = revision < k.from
	newer := slices.IndexFunc(k.changes, func(c store.Change) bool { return c.Revision > revision })
	if newer >= 0 {
		reply.Change = store.Join(k.changes[newer:])
	}
	reply.Change.Revision = max(revision, k.revision)
	return reply, k.changed
}

// serveFollow answers a host that follows this one, as soon as something changed or when its wait is over.
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

// chooseRelay sets which host of the zone this one follows, empty for the store itself.
func (h *Host) chooseRelay(now time.Time) {
	var local []model.Peer
	for _, p := range h.table.Live() {
		if p.Zone == h.Zone {
			local = append(local, p)
		}
	}
	chosen := ""
	if p, found := membership.Lead(local, relayKey); found && p.Name != h.Name && !now.Before(h.directUntil) {
		chosen = p.Address
	}
	if before := h.relay.Swap(&chosen); before == nil || *before != chosen {
		h.Log.Info("relay chosen", zap.String("Relay", chosen))
	}
}

// follow asks the relay for what changed. ok is false when the store has to be asked instead.
func (h *Host) follow(ctx context.Context, revision int64) (store.Change, bool) {
	relay := h.relay.Load()
	if relay == nil || *relay == "" {
		return store.Change{}, false
	}
	address := *relay
	ctx, cancel := context.WithTimeout(ctx, watchWait+followSlack)
	defer cancel()
	reply, err := h.peers.Follow(ctx, address, &peer.FollowRequest{After: revision, Wait: watchWait})
	if err == nil && reply.Fresh && !reply.Lost {
		return reply.Change, true
	}
	if err != nil || !reply.Fresh {
		lasting := directFor
		if err == nil {
			lasting = directOnce
		}
		h.Log.Info("relay lost", zap.String("Relay", address), zap.Bool("Answered", err == nil), zap.Duration("Direct", lasting), zap.Error(err))
		h.post(func(now time.Time) {
			h.directUntil = now.Add(lasting)
			h.chooseRelay(now)
		})
	}
	return store.Change{}, false
}
