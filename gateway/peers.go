package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
)

const (
	usageInterval = 500 * time.Millisecond
	usageTimeout  = 500 * time.Millisecond
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

// ReportPlatformUsage records the requests that another entry host sends to the backend servers that this host owns, and
// returns the load of these.
func (p *platformHandler) ReportPlatformUsage(_ context.Context, request *peer.UsageRequest) (*peer.UsageReply, error) {
	p.host.post(func(now time.Time) { p.host.recordUsage(now, request.From, request.Usages) })
	return &peer.UsageReply{Loads: p.host.receiveUsage(p.host.Now(), request)}, nil
}

// Reserve takes a place on a backend server that this host owns.
func (p *platformHandler) Reserve(_ context.Context, request *peer.ReserveRequest) (*peer.ReserveReply, error) {
	return p.host.reserve(p.host.Now(), request), nil
}

// Follow returns changes of the store to a host that uses this one as its relay.
func (p *platformHandler) Follow(ctx context.Context, request *peer.FollowRequest) (*peer.FollowReply, error) {
	return p.host.serveFollow(ctx, request), nil
}

// RecordStreams writes records of streams for a host to which the store does not respond.
func (p *platformHandler) RecordStreams(ctx context.Context, request *peer.RecordStreamsRequest) (*peer.Empty, error) {
	return &peer.Empty{}, p.host.streams.commitForOther(ctx, request)
}

// FindSoftware returns the software version of a stream to a host to which the store does not respond.
func (p *platformHandler) FindSoftware(ctx context.Context, request *peer.FindSoftwareRequest) (*peer.FindSoftwareReply, error) {
	return p.host.Dispatcher.findSoftwareForOther(ctx, request)
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
		request := &peer.UsageRequest{From: h.Name, Usages: usages}
		if address == h.PeerAddress {
			h.recordUsage(now, h.Name, usages)
			h.receiveUsage(now, request)
			continue
		}
		request.Loads = h.loadsOf(now, usages)
		h.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, usageTimeout)
			defer cancel()
			reply, err := h.Peers.ReportPlatformUsage(ctx, address, request)
			if err != nil {
				h.Log.Debug("usage not sent", zap.String("Owner", address), zap.Error(err))
				return
			}
			h.mergeLoads(reply.Loads, false)
		})
	}
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
