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

// Times and limits of placing.
const (
	offerTimeout = 250 * time.Millisecond
	holdTimeout  = time.Second
	placeTimeout = 1500 * time.Millisecond
	// decisionLasting is how long a placement stands while its load is awaited; the longest load and a queue.
	decisionLasting = 15 * time.Second
	// otherZoneCost is what a backend server of another zone must save to be chosen.
	otherZoneCost = 150 * time.Millisecond
	// rateCost is what a request a second on a backend server counts for; about the time that reading its prompt takes.
	rateCost = 100 * time.Millisecond
	// spreadMost is the longest load that is worth it while nothing waits: from disk, without another model in the way.
	spreadMost = 1500 * time.Millisecond
	// maxAskedOwners bounds the owners that are asked for offers in a large fleet.
	maxAskedOwners = 8
	// decidingWait is told to those who ask while offers come in.
	decidingWait = 100 * time.Millisecond
)

// lead decides where the models are loaded that rendezvous hashing gives to this host, so that a burst at
// many routers starts one load.
type lead struct {
	decisions map[model.ModelKey]decision
}

// decision is a load that this host has asked an owner for.
type decision struct {
	backend string // empty while offers come in
	owner   string
	at      time.Time
}

func newLead() *lead { return &lead{decisions: make(map[model.ModelKey]decision)} }

// ownerOffers is one owner that is asked for offers.
type ownerOffers struct {
	address  string
	backends []string
}

// leadOf returns the address of a model's lead.
func (h *Host) leadOf(now time.Time, key model.ModelKey) string {
	p, found := membership.Lead(h.table.Live(), key.String())
	if !found {
		return h.PeerAddress
	}
	return p.Address
}

// place has a model loaded and tells where. It is called on the lead.
func (h *Host) place(ctx context.Context, request *peer.PlaceRequest) (*peer.PlaceReply, error) {
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
	held, err := h.askHold(ctx, d.owner, &peer.HoldRequest{Backend: d.backend, Model: request.Model})
	if err != nil || held.Reason != "" || held.Ready {
		h.post(func(time.Time) {
			if h.lead.decisions[key] == d {
				delete(h.lead.decisions, key)
			}
		})
	}
	if err != nil {
		return nil, err
	}
	return &peer.PlaceReply{Backend: d.backend, Ready: held.Ready, Wait: held.Wait, Reason: held.Reason}, nil
}

// currentDecision returns the decision that stands, or notes that one is being made.
func (h *Host) currentDecision(now time.Time, key model.ModelKey, request *peer.PlaceRequest) decision {
	d, made := h.lead.decisions[key]
	if made && now.Sub(d.at) < decisionLasting && !slices.Contains(request.Exclude, d.backend) && (d.backend == "" || h.view.backends[d.backend] != nil) {
		if d.backend == "" && now.Sub(d.at) > 2*offerTimeout {
			made = false
		}
		if made {
			return d
		}
	}
	h.lead.decisions[key] = decision{owner: "deciding", at: now}
	return decision{}
}

// decide asks owners for offers and takes the best.
func (h *Host) decide(ctx context.Context, key model.ModelKey, request *peer.PlaceRequest) (decision, error) {
	owners, err := query(ctx, h, func(now time.Time) []ownerOffers { return h.ownersToAsk(now, request) })
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
			reply, err := h.askOffer(offerCtx, o.address, &peer.OfferRequest{Service: request.Service, Model: request.Model})
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
			c := offer.Wait + time.Duration(offer.Rate*float64(rateCost))
			if request.Spread && (offer.Wait > spreadMost || offer.Rate > residency.SpreadRate) {
				continue
			}
			if zones[offer.Backend] != request.Zone {
				c += otherZoneCost
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
			delete(h.lead.decisions, key)
		} else {
			h.lead.decisions[key] = best
		}
		h.Log.Info("placed", zap.String("Model", request.Model), zap.String("Backend", best.backend), zap.Duration("Cost", cost),
			zap.Int("Owners", len(owners)), zap.String("For", request.Zone))
		return best
	})
}

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

// ownersToAsk returns the owners of the service's backend servers, those first that have the weights at hand.
func (h *Host) ownersToAsk(now time.Time, request *peer.PlaceRequest) []ownerOffers {
	byAddress := make(map[string]*ownerOffers)
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
			byAddress[address] = &ownerOffers{address: address}
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
	var owners []ownerOffers
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		owners = append(owners, *byAddress[address])
	}
	slices.SortStableFunc(owners, func(a, b ownerOffers) int {
		if score[a.address] > score[b.address] {
			return -1
		}
		return 1
	})
	return owners[:min(len(owners), maxAskedOwners)]
}

// offers returns what a load would cost on the backend servers that this host owns.
func (h *Host) offers(now time.Time, request *peer.OfferRequest) peer.OfferReply {
	var reply peer.OfferReply
	if !h.table.MayOrder(now) {
		return reply
	}
	for _, id := range slices.Sorted(maps.Keys(h.owned)) {
		a, view := h.owned[id].account, h.view.backends[id]
		if view != nil && view.listing.Service == request.Service && a.Synced && !a.Failing {
			reply.Offers = append(reply.Offers, peer.Offer{Backend: id, Wait: a.Offer(now, request.Model), Rate: a.Rate(now)})
		}
	}
	return reply
}

func (h *Host) askOffer(ctx context.Context, address string, request *peer.OfferRequest) (*peer.OfferReply, error) {
	if address == h.PeerAddress {
		reply, err := query(ctx, h, func(now time.Time) peer.OfferReply { return h.offers(now, request) })
		return &reply, err
	}
	return h.peers.Offer(ctx, address, request)
}

func (h *Host) askHold(ctx context.Context, address string, request *peer.HoldRequest) (*peer.HoldReply, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if address != h.PeerAddress {
		return h.peers.Hold(ctx, address, request)
	}
	reply := make(chan peer.HoldReply, 1)
	h.post(func(now time.Time) { h.hold(now, request, reply) })
	select {
	case r := <-reply:
		return &r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h *Host) askPlace(ctx context.Context, address string, request *peer.PlaceRequest) (*peer.PlaceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	if address != h.PeerAddress {
		reply, err := h.peers.Place(ctx, address, request)
		if err == nil {
			return reply, nil
		}
		h.Log.Info("lead does not answer, deciding here", zap.String("Lead", address), zap.Error(err))
	}
	return h.place(ctx, request)
}
