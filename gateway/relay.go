package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/store"
)

// Timing and limits of relaying the store's changes within a zone.
const (
	// relayKey is the rendezvous hashing key for the order of a zone's relays.
	relayKey = "relay"
	// maxRelayAge is the highest age of the store's last response at which a relay counts as fresh: the wait of a
	// watch, the delay after it and a margin.
	maxRelayAge = watchWait + watchDelay + 150*time.Millisecond
	// smallZoneFollowWait is the wait of a call to the relay of a small zone; in a large one it is watchWait. It is short
	// because a host learns that its relay stands still only when a call takes too long, and as long as the relay pauses
	// between two watches, whose changes end most calls.
	smallZoneFollowWait = watchDelay
	// probeWait is the wait of a call to a relay that is not known to reply.
	probeWait = maxFreshWait
	// followMargin is how much longer than its wait a call to the relay may take.
	followMargin = 300 * time.Millisecond
	// maxFreshWait is how long a host that is followed, but not fresh, may take to reach the store.
	maxFreshWait = 200 * time.Millisecond
	// followPause is the pause between two calls to the relay. It bounds the replies of a relay to many followers.
	followPause = 100 * time.Millisecond
	// maxSuspects bounds the suspects, and the suspect parts, that a relay retains.
	maxSuspects = 512
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
	updatedAt    time.Time      // last response of the store or of a fresh relay
	completeAt   time.Time      // all changes of the store up to this time are known; no later than the calls that brought them began
	changed      chan struct{}  // closed and replaced at each change

	suspects sequenced[model.Suspect]          // that this host received
	parts    sequenced[model.SuspectPart]      // that this host received
	limits   sequenced[model.BackendStatement] // that this host received

	packer packer
}

func newHistory() *history { return &history{changed: make(chan struct{})} }

// reset empties the history and starts it at a revision whose complete content was read from the store. readAt is zero
// if that content may be old.
func (h *history) reset(readAt time.Time, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.baseRevision, h.revision, h.changes, h.respondedAt, h.updatedAt = revision, revision, nil, readAt, readAt
	h.notify()
}

// markStale makes the history stale until the store responds again.
func (h *history) markStale() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.respondedAt = time.Time{}
	h.notify()
}

// extend keeps a fresh history fresh while a response of the store is arriving.
func (h *history) extend(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.respondedAt) <= maxRelayAge {
		h.respondedAt = now
	}
}

// isStale reports whether the store has not responded for longer than maxRelayAge.
func (h *history) isStale(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.respondedAt) > maxRelayAge
}

// isOutdated reports whether neither the store nor a fresh relay has responded for longer than maxRelayAge.
func (h *history) isOutdated(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.updatedAt) > maxRelayAge
}

// add retains a change. direct reports whether it came from the store itself.
func (h *history) add(now time.Time, change store.Change, direct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updatedAt = now
	if direct {
		if now.Sub(h.respondedAt) > maxRelayAge {
			h.notify() // wakes the followers that wait for a fresh history
		}
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

// completeUpTo records that all changes of the store up to a time are known.
func (h *history) completeUpTo(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.completeAt) {
		h.completeAt = at
	}
}

// unseenFor returns the time up to now whose changes of the store are not known, 0 if none were ever known.
func (h *history) unseenFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.completeAt.IsZero() {
		return 0
	}
	return now.Sub(h.completeAt)
}

// addSuspect retains a suspect.
func (h *history) addSuspect(s model.Suspect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects.add(s)
	h.notify()
}

// addSuspectPart retains a suspect part of prompts.
func (h *history) addSuspectPart(p model.SuspectPart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.parts.add(p)
	h.notify()
}

// addStatement retains a statement of a backend server.
func (h *history) addStatement(l model.BackendStatement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.add(l)
	h.notify()
}

// pack compresses the large entries of a reply.
func (h *history) pack(reply *peer.FollowReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Packed = h.packer.pack(&reply.Change)
}

// addNews adds the suspects, suspect parts and statements of backend servers after the sequence numbers of a request to a reply.
func (h *history) addNews(reply *peer.FollowReply, request *peer.FollowRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Suspects, reply.SuspectSequence = h.suspects.after(request.SuspectsAfter)
	reply.Parts, reply.PartSequence = h.parts.after(request.PartsAfter)
	if request.AcceptsLimits {
		reply.Limits, reply.LimitSequence = h.limits.after(request.LimitsAfter)
	}
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
	reply.Fresh = now.Sub(h.respondedAt) <= maxRelayAge && h.revision > 0 && store.Era(h.revision) >= store.Era(revision)
	reply.Lost = revision < h.baseRevision
	reply.HasAge, reply.Age = !h.completeAt.IsZero(), now.Sub(h.completeAt)
	newer := slices.IndexFunc(h.changes, func(c store.Change) bool { return c.Revision > revision })
	if newer >= 0 {
		reply.Change = store.MergeChanges(h.changes[newer:])
	}
	reply.Change.Revision = max(revision, h.revision)
	return reply, h.changed
}

// serveFollow replies to a host that follows this one, as soon as there is a change or when the requested wait ends. If
// the history is not fresh, this host first watches the store, and replies that it is not fresh if that takes too long.
func (h *Host) serveFollow(ctx context.Context, request *peer.FollowRequest) *peer.FollowReply {
	h.takeRelayDuty()
	h.receiveServed(request.Served)
	reply := h.awaitChange(ctx, request)
	h.replyWithLoads(request, reply)
	reply.SentAt = h.Now()
	reply.Served = h.servedTotals(request.Served)
	if request.AcceptsParts {
		reply.Large = h.values.announce(&reply.Change)
	}
	if request.AcceptsPacked {
		h.history.pack(reply)
	}
	return reply
}

func (h *Host) awaitChange(ctx context.Context, request *peer.FollowRequest) *peer.FollowReply {
	startedAt := h.Now()
	for {
		now := h.Now()
		reply, changed := h.history.after(now, request.After)
		h.history.addNews(&reply, request)
		left := startedAt.Add(request.Wait).Sub(now)
		if len(reply.Suspects) > 0 || len(reply.Parts) > 0 || len(reply.Limits) > 0 || reply.Fresh && (reply.Lost || !reply.Change.IsEmpty()) {
			return &reply
		}
		if !reply.Fresh {
			left = min(left, startedAt.Add(maxFreshWait).Sub(now))
		}
		if left <= 0 {
			return &reply
		}
		timer := time.NewTimer(min(left, maxFreshWait)) // a history ceases to be fresh without a change
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return &reply
		}
	}
}

// takeRelayDuty records that another host follows this one. If this host follows a relay itself and may turn to the store,
// it does so without waiting for the relay's reply.
func (h *Host) takeRelayDuty() {
	h.relayMu.Lock()
	defer h.relayMu.Unlock()
	now := h.Now()
	h.relays.follow(now)
	if h.endFollow != nil && !now.Before(h.relays.directAt) {
		h.endFollow()
	}
}

// updateRelays updates the order of the zone's relays.
func (h *Host) updateRelays() {
	ranked := h.rankedZone()
	order := zoneOrder{first: ranked[0].Name == h.Name, hosts: len(ranked)}
	for _, p := range ranked {
		if p.Name != h.Name && len(order.others) < maxRelayCandidates {
			order.others = append(order.others, p.Address)
		}
	}
	h.relayMu.Lock()
	defer h.relayMu.Unlock()
	if order.first != h.order.first || !slices.Equal(order.others, h.order.others) {
		h.Log.Info("relays changed", zap.Bool("First", order.first), zap.Strings("Others", order.others))
	}
	h.order = order
}

// isRelayCandidate reports whether this host may be the relay of its zone.
func (h *Host) isRelayCandidate() bool {
	ranked := h.rankedZone()
	return slices.ContainsFunc(ranked[:min(len(ranked), maxRelayCandidates)], func(p model.Peer) bool { return p.Name == h.Name })
}

// rankedZone returns the hosts of this host's zone, itself included, in the order in which they become its relay.
func (h *Host) rankedZone() []model.Peer {
	local := []model.Peer{{Name: h.Name, Zone: h.Zone, LinkMbps: h.LinkMbps}}
	for _, p := range h.table.Live() {
		if p.Zone == h.Zone && p.Name != h.Name {
			local = append(local, p)
		}
	}
	return relayOrder(local)
}

// relayOrder returns the hosts of a zone in the order in which they become its relay. Those with the fastest links are first, since a
// relay sends each change to all others.
func relayOrder(hosts []model.Peer) []model.Peer {
	ranked := membership.Ranked(hosts, relayKey)
	slices.SortStableFunc(ranked, func(a, b model.Peer) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return ranked
}

// chooseSource returns where the next changes come from, and the context of a call to the relay if it is one.
func (h *Host) chooseSource(ctx context.Context) (source, context.Context, context.CancelFunc) {
	h.relayMu.Lock()
	defer h.relayMu.Unlock()
	now := h.Now()
	s := h.relays.choose(now, h.order, h.history.isStale(now))
	if s != h.source {
		h.Log.Info("source of changes chosen", zap.String("Relay", s.relay), zap.Bool("Probe", s.probe), zap.Bool("CatchUp", s.catchUp), zap.Duration("Wait", s.wait))
	}
	ctx, cancel := context.WithTimeout(ctx, s.follow+followMargin)
	h.source, h.endFollow = s, nil
	if s.relay != "" {
		h.endFollow = cancel
	}
	return s, ctx, cancel
}

// follow requests the changes after a revision from a relay, with callCtx as the context of the call, and fetches the large values among
// them. It returns false if the relay has none to use.
func (h *Host) follow(ctx, callCtx context.Context, s source, revision int64) (store.Change, bool) {
	address := s.relay
	if h.suspectsFrom != address {
		h.suspectsAfter, h.partsAfter, h.limitsAfter = 0, 0, 0
	}
	startedAt := h.Now()
	request := &peer.FollowRequest{After: revision, Wait: s.follow, SuspectsAfter: h.suspectsAfter, PartsAfter: h.partsAfter, LimitsAfter: h.limitsAfter, AcceptsPacked: true, AcceptsLimits: true, AcceptsParts: true, Served: h.reportServed(address)}
	told := h.askForLoads(h.Now(), address, request)
	reply, err := h.Peers.Follow(callCtx, address, request)
	if err == nil {
		h.suspectsFrom, h.suspectsAfter, h.partsAfter, h.limitsAfter = address, reply.SuspectSequence, reply.PartSequence, reply.LimitSequence
		now := h.Now()
		h.router.MergeSuspects(now, onOwnClock(now, reply.SentAt, reply.Suspects))
		h.router.MergeSuspectParts(now, partsOnOwnClock(now, reply.SentAt, reply.Parts))
		h.router.MergeStatements(now, statementsOnOwnClock(now, reply.SentAt, reply.Limits))
		h.servedReported(request.Served, reply.Served)
		if request.AcceptsLoads {
			h.receiveLoads(told, reply)
		}
		var large []store.Entry
		large, err = unpack(reply.Packed)
		reply.Change.Entries = append(reply.Change.Entries, large...)
		if err == nil && reply.Fresh && !reply.Lost {
			large, err = h.fetchLarge(ctx, address, reply.Large)
			reply.Change.Entries = append(reply.Change.Entries, large...)
		}
		h.followedUpTo = followedUpTo(startedAt, h.Now(), s.follow, reply)
	}
	h.relayMu.Lock()
	defer h.relayMu.Unlock()
	h.endFollow = nil
	switch {
	case err == nil && reply.Fresh:
		h.relays.followed(address, reply.Lost)
		return reply.Change, !reply.Lost
	case errors.Is(callCtx.Err(), context.Canceled):
		return store.Change{}, false // another host follows this one now, or this one stops
	}
	h.relays.failed(h.Now(), address, err == nil)
	h.Log.Info("relay lost", zap.String("Relay", address), zap.Bool("Answered", err == nil), zap.Int("InRow", h.relays.inRow), zap.Error(err))
	return store.Change{}, false
}

// followedUpTo returns the time up to which the reply of a relay has all changes of the store, zero if it is not known. It counts
// from when the call began, since this host or the relay may have stood still during the call. A relay that has no news replies
// at the end of the wait.
func followedUpTo(startedAt, now time.Time, wait time.Duration, reply *peer.FollowReply) time.Time {
	if !reply.HasAge {
		return time.Time{}
	}
	at := startedAt
	if reply.Fresh && reply.Change.IsEmpty() && len(reply.Suspects)+len(reply.Parts)+len(reply.Limits) == 0 {
		at = earlier(at.Add(wait), now)
	}
	return at.Add(-reply.Age)
}
