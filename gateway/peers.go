package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/routing"
)

const (
	usageInterval  = 500 * time.Millisecond
	usageTimeout   = 500 * time.Millisecond
	suspectTimeout = time.Second // for sending to the relays of all zones
)

// platformHandler handles calls of other entry hosts. It implements peer.PlatformHandler.
type platformHandler struct{ host *Host }

// Place handles a placement request. This host is the model's leader.
func (p *platformHandler) Place(ctx context.Context, request *peer.PlaceRequest) (*peer.PlaceReply, error) {
	return p.host.placeModel(ctx, request)
}

// Offer returns the offers of the backend servers that this host owns.
func (p *platformHandler) Offer(ctx context.Context, request *peer.OfferRequest) (*peer.OfferReply, error) {
	return p.host.requestOffers(ctx, p.host.PeerAddress, request)
}

// LoadModel handles a load request for a model or adapter on a backend server that this host owns.
func (p *platformHandler) LoadModel(ctx context.Context, request *peer.LoadModelRequest) (*peer.LoadModelReply, error) {
	return p.host.requestLoad(ctx, p.host.PeerAddress, request)
}

// ReportPlatformUsage records the requests that another entry host sends to the backend servers that this host owns.
func (p *platformHandler) ReportPlatformUsage(_ context.Context, request *peer.UsageRequest) (*peer.Empty, error) {
	p.host.post(func(now time.Time) { p.host.recordUsage(now, request.From, request.Usages) })
	return &peer.Empty{}, nil
}

// Suspect merges a suspect that another entry host has published.
func (p *platformHandler) Suspect(_ context.Context, request *peer.SuspectRequest) (*peer.Empty, error) {
	h := p.host
	h.mergeSuspect(onOwnClock(h.Now(), request.SentAt, request.Suspect))
	return &peer.Empty{}, nil
}

// Follow returns changes of the store to a host that uses this one as its relay.
func (p *platformHandler) Follow(ctx context.Context, request *peer.FollowRequest) (*peer.FollowReply, error) {
	return p.host.serveFollow(ctx, request), nil
}

// recordUsage adds the requests sent by an entry host to the accounts of owned backend servers.
func (h *Host) recordUsage(now time.Time, from string, usages []model.Usage) {
	for _, u := range usages {
		if b := h.owned[u.Backend]; b != nil {
			b.account.RecordUsage(now, from, u)
		}
	}
}

// stepUsage reports the requests that this host sends to backend servers to their owners.
func (h *Host) stepUsage(now time.Time) {
	if now.Sub(h.usageSentAt) < usageInterval {
		return
	}
	h.usageSentAt = now
	byOwner := make(map[string][]model.Usage)
	for _, u := range h.router.TakeUsage() {
		if address, known := h.ownerAddress(u.Backend); known {
			byOwner[address] = append(byOwner[address], u)
		}
	}
	for address, usages := range byOwner {
		if address == h.PeerAddress {
			h.recordUsage(now, h.Name, usages)
			continue
		}
		request := &peer.UsageRequest{From: h.Name, Usages: usages}
		h.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, usageTimeout)
			defer cancel()
			if err := h.Peers.ReportPlatformUsage(ctx, address, request); err != nil {
				h.Log.Debug("usage not sent", zap.String("Owner", address), zap.Error(err))
			}
		})
	}
}

// publishSuspect merges a suspect and sends it to the hosts of each zone that may be its relay, which pass it on to the
// hosts that follow them. The number of calls grows with the zones and not with the hosts, because a backend server that
// crashes makes suspects of all requests that it ran.
func (h *Host) publishSuspect(s model.Suspect) {
	h.Log.Info("suspect", zap.Uint64("Fingerprint", uint64(s.Fingerprint)), zap.Int("Deaths", s.Deaths), zap.String("Holder", s.Holder))
	h.spawn(func(ctx context.Context) {
		h.mergeSuspect(s)
		addresses, err := query(ctx, h, func(time.Time) []string { return h.allRelays() })
		if err != nil {
			return
		}
		h.sendSuspect(ctx, s, addresses)
	})
}

// allRelays returns the peer addresses of the hosts of all zones that may be relays, without this host.
func (h *Host) allRelays() []string {
	byZone := make(map[string][]model.Peer)
	for _, p := range h.table.Live() {
		byZone[p.Zone] = append(byZone[p.Zone], p)
	}
	var addresses []string
	for _, peers := range byZone {
		for _, p := range relayOrder(peers)[:min(len(peers), maxRelayCandidates)] {
			if p.Name != h.Name {
				addresses = append(addresses, p.Address)
			}
		}
	}
	return addresses
}

// sendSuspect sends a suspect to entry hosts and logs once how many it did not reach.
func (h *Host) sendSuspect(ctx context.Context, s model.Suspect, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var sends sync.WaitGroup
	var failed atomic.Int64
	for _, address := range addresses {
		sends.Go(func() {
			if err := h.Peers.Suspect(ctx, address, &peer.SuspectRequest{Suspect: s, SentAt: h.Now()}); err != nil {
				failed.Add(1)
				h.Log.Debug("suspect not told", zap.String("Peer", address), zap.Error(err))
			}
		})
	}
	sends.Wait()
	if failed.Load() > 0 {
		h.Log.Info("suspect not told", zap.Uint64("Fingerprint", uint64(s.Fingerprint)), zap.Int64("Peers", failed.Load()), zap.Int("Of", len(addresses)))
	}
}

// mergeSuspect merges a suspect and retains it for the hosts that follow this one.
func (h *Host) mergeSuspect(s model.Suspect) {
	h.router.MergeSuspects(h.Now(), []model.Suspect{s})
	h.history.addSuspect(s)
}

// onOwnClock returns a suspect of another host with its times on the clock of this host, which shows now. The clocks of
// two hosts differ by any time, because they count from the start of each machine. sentAt is what the other clock showed
// when the suspect was sent; hosts of earlier builds do not state it.
func onOwnClock(now, sentAt time.Time, s model.Suspect) model.Suspect {
	if sentAt.IsZero() {
		return s
	}
	return routing.ShiftSuspect(s, now.Sub(sentAt))
}
