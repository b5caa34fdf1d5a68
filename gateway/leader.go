package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/residency"
)

// Timing, limits and costs of placement.
const (
	offerTimeout = 250 * time.Millisecond
	loadTimeout  = time.Second
	placeTimeout = 1500 * time.Millisecond
	// decisionTTL is how long a decision is reused while its load is pending. It covers the longest load and its wait
	// to start.
	decisionTTL = 15 * time.Second
	// crossZoneCost is the time that a backend server of another zone must save to be chosen over a local one.
	crossZoneCost = 150 * time.Millisecond
	// requestRateCost is the cost of each request per second on a backend server, about the time of its prefill.
	requestRateCost = 100 * time.Millisecond
	// maxSpreadWait is the longest expected wait at which a model is spread although no request waits for it.
	// It allows a load from disk without the eviction of a model in use.
	maxSpreadWait = 1500 * time.Millisecond
	// maxOfferOwners bounds the owners that receive an offer request in a large fleet.
	maxOfferOwners = 8
	// decidingWait is the wait returned to requests that arrive while offers are being collected.
	decidingWait = 100 * time.Millisecond
)

// leader holds the placement decisions for the models that rendezvous hashing assigns to this host. One leader
// per model ensures that a burst of requests at many routers starts a single load.
type leader struct {
	decisions map[model.ModelKey]decision
}

// decision is the backend server that loads a model, and its owner.
type decision struct {
	backend string // empty while offers are being collected
	owner   string // peer address, a placeholder while offers are being collected
	at      time.Time
}

func newLeader() *leader { return &leader{decisions: make(map[model.ModelKey]decision)} }

// ownerBackends is an owner with its backend servers that may load a model.
type ownerBackends struct {
	address  string
	backends []string
}

// leaderAddress returns the peer address of a model's leader.
func (h *Host) leaderAddress(now time.Time, key model.ModelKey) string {
	p, found := membership.Leader(h.table.Live(), key.String())
	if !found {
		return h.PeerAddress
	}
	return p.Address
}

// placeModel chooses a backend server for a model and sends a load request to its owner. It normally runs on the
// model's leader.
func (h *Host) placeModel(ctx context.Context, request *peer.PlaceRequest) (*peer.PlaceReply, error) {
	key := modelKey(request.Service, request.Model)
	d, err := query(ctx, h, func(now time.Time) decision { return h.currentDecision(now, key, request) })
	if err != nil {
		return nil, err
	}
	if d.backend == "" && d.owner != "" {
		return &peer.PlaceReply{Wait: decidingWait, Reason: "deciding"}, nil
	}
	if d.backend == "" {
		if d, err = h.decide(ctx, key, request); err != nil {
			return nil, err
		}
	}
	if d.backend == "" {
		return &peer.PlaceReply{Reason: "no backend server can load it"}, nil
	}
	reply, err := h.requestLoad(ctx, d.owner, &peer.LoadModelRequest{Backend: d.backend, Model: request.Model})
	if err != nil || reply.Reason != "" || reply.Ready {
		h.post(func(time.Time) {
			if h.leader.decisions[key] == d {
				delete(h.leader.decisions, key)
			}
		})
	}
	if err != nil {
		return nil, err
	}
	return &peer.PlaceReply{Backend: d.backend, Ready: reply.Ready, Wait: reply.Wait, Reason: reply.Reason}, nil
}

// currentDecision returns the decision in effect. If there is none, it records that offers are being collected and
// returns an empty decision.
func (h *Host) currentDecision(now time.Time, key model.ModelKey, request *peer.PlaceRequest) decision {
	d, found := h.leader.decisions[key]
	if found && now.Sub(d.at) < decisionTTL && !slices.Contains(request.Exclude, d.backend) && (d.backend == "" || h.view.backends[d.backend] != nil) {
		if d.backend == "" && now.Sub(d.at) > 2*offerTimeout {
			found = false
		}
		if found {
			return d
		}
	}
	h.leader.decisions[key] = decision{owner: "deciding", at: now}
	return decision{}
}

// decide requests offers from owners and chooses the one with the lowest cost.
func (h *Host) decide(ctx context.Context, key model.ModelKey, request *peer.PlaceRequest) (decision, error) {
	owners, err := query(ctx, h, func(now time.Time) []ownerBackends { return h.offerCandidates(now, request) })
	if err != nil {
		return decision{}, err
	}
	type result struct {
		owner  string
		offers []peer.Offer
	}
	results := make(chan result, len(owners))
	offerCtx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	for _, o := range owners {
		h.spawn(func(context.Context) {
			reply, err := h.requestOffers(offerCtx, o.address, &peer.OfferRequest{Service: request.Service, Model: request.Model})
			if err != nil {
				h.Log.Info("no offer", zap.String("Owner", o.address), zap.Error(err))
				results <- result{}
				return
			}
			results <- result{owner: o.address, offers: reply.Offers}
		})
	}
	zones, err := query(ctx, h, func(time.Time) map[string]string { return h.zones() })
	if err != nil {
		return decision{}, err
	}
	best, cost := decision{}, time.Duration(0)
	for range owners {
		r := <-results
		for _, offer := range r.offers {
			c := offer.Wait + time.Duration(offer.Rate*float64(requestRateCost))
			if request.Spread && (offer.Wait > maxSpreadWait || offer.Rate > residency.SpreadRate) {
				continue
			}
			if zones[offer.Backend] != request.Zone {
				c += crossZoneCost
			}
			if slices.Contains(request.Exclude, offer.Backend) || zones[offer.Backend] == "" {
				continue
			}
			if best.backend == "" || c < cost || c == cost && rendezvous(offer.Backend, request.Model) > rendezvous(best.backend, request.Model) {
				best, cost = decision{backend: offer.Backend, owner: r.owner}, c
			}
		}
	}
	return query(ctx, h, func(now time.Time) decision {
		best.at = now
		if best.backend == "" {
			delete(h.leader.decisions, key)
		} else {
			h.leader.decisions[key] = best
		}
		h.Log.Info("placed", zap.String("Model", request.Model), zap.String("Backend", best.backend), zap.Duration("Cost", cost),
			zap.Int("Owners", len(owners)), zap.String("For", request.Zone))
		return best
	})
}

// rendezvous returns the rendezvous hashing score of a pair.
func rendezvous(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// zones returns the zones of the usable backend servers.
func (h *Host) zones() map[string]string {
	zones := make(map[string]string, len(h.view.backends))
	for id, b := range h.view.backends {
		if b.isUsable() {
			zones[id] = b.listing.Zone
		}
	}
	return zones
}

// offerCandidates returns the owners to request offers from, best first: owners of backend servers that have the
// weights cached, then those in the zone of the request.
func (h *Host) offerCandidates(now time.Time, request *peer.PlaceRequest) []ownerBackends {
	byAddress := make(map[string]*ownerBackends)
	score := make(map[string]uint64)
	for id, b := range h.view.backends {
		if b.listing.Service != request.Service || !b.isUsable() || slices.Contains(request.Exclude, id) {
			continue
		}
		address, known := h.ownerAddress(id)
		if !known {
			continue
		}
		if byAddress[address] == nil {
			byAddress[address] = &ownerBackends{address: address}
		}
		byAddress[address].backends = append(byAddress[address].backends, id)
		s := rendezvous(id, request.Model) >> 2
		if slices.Contains(b.listing.InMemory, request.Model) || slices.Contains(b.listing.OnDisk, request.Model) {
			s |= 1 << 63
		}
		if b.listing.Zone == request.Zone {
			s |= 1 << 62
		}
		score[address] = max(score[address], s)
	}
	var owners []ownerBackends
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		owners = append(owners, *byAddress[address])
	}
	slices.SortStableFunc(owners, func(a, b ownerBackends) int {
		if score[a.address] > score[b.address] {
			return -1
		}
		return 1
	})
	return owners[:min(len(owners), maxOfferOwners)]
}

// offers returns an offer for each backend server of the service that this host owns and may send orders to.
func (h *Host) offers(now time.Time, request *peer.OfferRequest) peer.OfferReply {
	var reply peer.OfferReply
	if !h.table.MayOrder(now) {
		return reply
	}
	for _, id := range slices.Sorted(maps.Keys(h.owned)) {
		a, view := h.owned[id].account, h.view.backends[id]
		if view != nil && view.listing.Service == request.Service && a.Synced && !a.Failing {
			offer := peer.Offer{Backend: id, Wait: a.Offer(now, request.Model), Rate: a.Rate(now)}
			if a.NeedsFetch(request.Model) {
				offer.Wait += h.permits.wait(now)
			}
			reply.Offers = append(reply.Offers, offer)
		}
	}
	return reply
}

// requestOffers requests the offers of an owner, which may be this host.
func (h *Host) requestOffers(ctx context.Context, address string, request *peer.OfferRequest) (*peer.OfferReply, error) {
	if address == h.PeerAddress {
		reply, err := query(ctx, h, func(now time.Time) peer.OfferReply { return h.offers(now, request) })
		return &reply, err
	}
	return h.Peers.Offer(ctx, address, request)
}

// requestLoad sends a load request to an owner, which may be this host.
func (h *Host) requestLoad(ctx context.Context, address string, request *peer.LoadModelRequest) (*peer.LoadModelReply, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if address != h.PeerAddress {
		return h.Peers.LoadModel(ctx, address, request)
	}
	reply := make(chan peer.LoadModelReply, 1)
	h.post(func(now time.Time) { h.handleLoad(now, request, reply) })
	select {
	case r := <-reply:
		return &r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// requestPlacement sends a placement request to the leader. If this call fails, this host decides itself.
func (h *Host) requestPlacement(ctx context.Context, address string, request *peer.PlaceRequest) (*peer.PlaceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	if address != h.PeerAddress {
		reply, err := h.Peers.Place(ctx, address, request)
		if err == nil {
			return reply, nil
		}
		h.Log.Info("lead does not answer, deciding here", zap.String("Lead", address), zap.Error(err))
	}
	return h.placeModel(ctx, request)
}
