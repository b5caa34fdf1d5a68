package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/store"
)

// Timing of the calls by which a host learns the desired state from other hosts.
const (
	// learnTimeout limits how long a host that starts waits for other hosts. It answers 503 until then.
	learnTimeout = 500 * time.Millisecond
	// learnInterval is the pause between two attempts of a host that has got an invalid desired state.
	learnInterval = 2 * time.Second
	// invalidLearnAttempts is the number of attempts of a host that has a desired state and gets an invalid one. The second
	// one is made when all hosts have got what was written before it.
	invalidLearnAttempts = 2
	// learnFrom is the number of hosts of the own zone that are asked. One of each other zone is asked as well.
	learnFrom = 2
)

// desiredState is the desired state in force as the store gave it out.
type desiredState struct {
	version int64
	entry   store.Entry
	packed  func() []peer.PackedEntry // compresses the entry once
}

func newDesiredState(version int64, e store.Entry) *desiredState {
	return &desiredState{version: version, entry: e, packed: sync.OnceValue(func() []peer.PackedEntry {
		return []peer.PackedEntry{{Key: e.Key, Revision: e.Revision, Value: deflate(e.Value)}}
	})}
}

// DesiredState returns the desired state in force to a host that has an earlier one or none.
func (p *platformHandler) DesiredState(_ context.Context, request *peer.DesiredStateRequest) (*peer.DesiredStateReply, error) {
	state := p.host.desired.Load()
	if state == nil || state.version <= request.After {
		return &peer.DesiredStateReply{}, nil
	}
	if request.AcceptsParts && len(state.entry.Value) >= largeFrom {
		p.host.values.record(state.entry)
		return &peer.DesiredStateReply{Large: []peer.LargeEntry{{Key: state.entry.Key, Revision: state.entry.Revision}}, Version: state.version}, nil
	}
	return &peer.DesiredStateReply{Packed: state.packed()}, nil
}

// desiredVersion returns the version of the desired state in force, 0 if there is none.
func (h *Host) desiredVersion() int64 {
	if state := h.desired.Load(); state != nil {
		return state.version
	}
	return 0
}

// completeCatchUp ends the start of a host that has applied the content of the store at a revision. If the store was
// restored from an older copy, a later version of the desired state than the store's may be in force at the other hosts,
// and a key that was removed by it must not be accepted here.
func (h *Host) completeCatchUp(ctx context.Context, revision int64) {
	if store.Era(revision) > 0 && !h.caughtUp.Load() {
		h.learnDesiredState(ctx)
	}
	h.post(func(time.Time) { h.caughtUp.Store(true) })
}

// learnDesiredState asks other hosts for a later desired state than the own one and applies the latest. A large one is fetched from the
// first of the hosts with the latest version that sends it.
func (h *Host) learnDesiredState(ctx context.Context) {
	addresses, err := query(ctx, h, func(time.Time) []string { return h.informants() })
	if err != nil || len(addresses) == 0 {
		return
	}
	offers := h.requestDesiredStates(ctx, addresses)
	slices.SortStableFunc(offers, func(a, b desiredStateOffer) int { return cmp.Compare(b.version, a.version) })
	for _, offer := range offers {
		if offer.version <= h.desiredVersion() {
			return
		}
		entries, err := h.fetchLarge(ctx, offer.peer, offer.large)
		if err != nil {
			h.Log.Info("desired state not fetched", zap.String("Peer", offer.peer), zap.Int64("Version", offer.version), zap.Error(err))
			continue
		}
		h.applyDesiredState(entries)
		return
	}
}

// desiredStateOffer is a later desired state that another host has.
type desiredStateOffer struct {
	peer    string
	version int64
	large   []peer.LargeEntry
}

// requestDesiredStates asks hosts for a later desired state. It applies those that are in the replies and returns the others.
func (h *Host) requestDesiredStates(ctx context.Context, addresses []string) (offers []desiredStateOffer) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	request := &peer.DesiredStateRequest{After: h.desiredVersion(), AcceptsParts: true}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() {
			reply, err := h.Peers.DesiredState(ctx, address, request)
			var entries []store.Entry
			if err == nil {
				entries, err = unpack(reply.Packed)
			}
			isLater := err == nil && len(entries)+len(reply.Large) > 0
			h.Log.Info("desired state requested from a peer", zap.String("Peer", address), zap.Int64("After", request.After), zap.Bool("Later", isLater), zap.Error(err))
			h.applyDesiredState(entries)
			if err == nil && len(reply.Large) > 0 {
				mu.Lock()
				defer mu.Unlock()
				offers = append(offers, desiredStateOffer{peer: address, version: reply.Version, large: reply.Large})
			}
		})
	}
	calls.Wait()
	return offers
}

// applyDesiredState applies entries of the desired state that other hosts have sent.
func (h *Host) applyDesiredState(entries []store.Entry) {
	for _, e := range entries {
		if e.Key == h.Decoder.ConfigurationKey {
			h.values.record(e)
			h.post(func(time.Time) { h.applyConfiguration(e) })
		}
	}
}

// informants returns the peer addresses of the hosts that are asked for the desired state: those that become relays first.
// A restored store may have lost what shows that hosts are live, so if none is, all recorded hosts count.
func (h *Host) informants() []string {
	peers := h.table.Live()
	if !slices.ContainsFunc(peers, func(p model.Peer) bool { return p.Name != h.Name }) {
		peers = nil
		for _, other := range h.table.Hosts {
			if r := other.Record; r.Name != "" && !r.Left {
				peers = append(peers, model.Peer{Name: r.Name, Zone: r.Zone, Address: r.PeerAddress})
			}
		}
	}
	byZone := make(map[string][]model.Peer)
	for _, p := range peers {
		if p.Name != h.Name {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var addresses []string
	for zone, peers := range byZone {
		count := 1
		if zone == h.Zone {
			count = learnFrom
		}
		for _, p := range relayOrder(peers)[:min(count, len(peers))] {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// stepDesiredState asks other hosts for the desired state after this host has got an invalid one: as long as it has none, else a
// few times, because a valid one may have been replaced by the invalid one before this host got it.
func (h *Host) stepDesiredState(now time.Time) {
	if h.learnAttempts == 0 || !h.caughtUp.Load() || !h.learnedAt.IsZero() && now.Sub(h.learnedAt) < learnInterval {
		return
	}
	h.learnedAt = now
	if h.routes.Load() != nil {
		h.learnAttempts--
	}
	h.spawn(h.learnDesiredState)
}
