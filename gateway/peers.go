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
	usageInterval = 500 * time.Millisecond
	usageTimeout  = 500 * time.Millisecond
	suspectTime   = time.Second // to reach another entry host
)

// fleetHandler answers other entry hosts. It implements peer.FleetHandler.
type fleetHandler struct{ host *Host }

// Place has a model loaded.
func (f *fleetHandler) Place(ctx context.Context, request *peer.PlaceRequest) (*peer.PlaceReply, error) {
	return f.host.place(ctx, request)
}

// Offer tells what a load would cost here.
func (f *fleetHandler) Offer(ctx context.Context, request *peer.OfferRequest) (*peer.OfferReply, error) {
	return f.host.askOffer(ctx, f.host.PeerAddress, request)
}

// Hold loads a model or adapter.
func (f *fleetHandler) Hold(ctx context.Context, request *peer.HoldRequest) (*peer.HoldReply, error) {
	return f.host.askHold(ctx, f.host.PeerAddress, request)
}

// Use takes in what another entry host sends to the backend servers that this one owns.
func (f *fleetHandler) Use(_ context.Context, request *peer.UsageRequest) (*peer.Empty, error) {
	f.host.post(func(now time.Time) { f.host.used(now, request.From, request.Usages) })
	return &peer.Empty{}, nil
}

// Suspect takes in a suspect.
func (f *fleetHandler) Suspect(_ context.Context, request *peer.SuspectRequest) (*peer.Empty, error) {
	f.host.post(func(time.Time) { f.host.mergeSuspect(request.Suspect) })
	return &peer.Empty{}, nil
}

// Follow passes the store's changes on.
func (f *fleetHandler) Follow(ctx context.Context, request *peer.FollowRequest) (*peer.FollowReply, error) {
	return f.host.serveFollow(ctx, request), nil
}

// used takes in the use of owned backend servers.
func (h *Host) used(now time.Time, from string, usages []model.Usage) {
	for _, u := range usages {
		if b := h.owned[u.Backend]; b != nil {
			b.account.Use(now, from, u)
		}
	}
}

// stepUsage tells owners what this host sends to their backend servers.
func (h *Host) stepUsage(now time.Time) {
	if now.Sub(h.usedAt) < usageInterval {
		return
	}
	h.usedAt = now
	byOwner := make(map[string][]model.Usage)
	for _, u := range h.router.TakeUsage() {
		if address, known := h.ownerAddress(u.Backend); known {
			byOwner[address] = append(byOwner[address], u)
		}
	}
	for address, usages := range byOwner {
		if address == h.PeerAddress {
			h.used(now, h.Name, usages)
			continue
		}
		request := &peer.UsageRequest{From: h.Name, Usages: usages}
		h.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, usageTimeout)
			defer cancel()
			if err := h.peers.Use(ctx, address, request); err != nil {
				h.Log.Debug("use not told", zap.String("Owner", address), zap.Error(err))
			}
		})
	}
}

// publishSuspect tells all entry hosts of a suspect.
func (h *Host) publishSuspect(s model.Suspect) {
	h.Log.Info("suspect", zap.Uint64("Fingerprint", uint64(s.Fingerprint)), zap.Int("Deaths", s.Deaths), zap.String("Holder", s.Holder))
	h.spawn(func(ctx context.Context) {
		addresses, err := query(ctx, h, func(now time.Time) []string {
			h.mergeSuspect(s)
			var addresses []string
			for _, p := range h.table.Live() {
				if p.Name != h.Name {
					addresses = append(addresses, p.Address)
				}
			}
			return addresses
		})
		if err != nil {
			return
		}
		h.tellSuspect(ctx, s, addresses)
	})
}

// tellSuspect passes a suspect on and logs once how many entry hosts did not hear of it.
func (h *Host) tellSuspect(ctx context.Context, s model.Suspect, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, suspectTime)
	defer cancel()
	var told sync.WaitGroup
	var failed atomic.Int64
	for _, address := range addresses {
		told.Go(func() {
			if err := h.peers.Suspect(ctx, address, &peer.SuspectRequest{Suspect: s}); err != nil {
				failed.Add(1)
				h.Log.Debug("suspect not told", zap.String("Peer", address), zap.Error(err))
			}
		})
	}
	told.Wait()
	if failed.Load() > 0 {
		h.Log.Info("suspect not told", zap.Uint64("Fingerprint", uint64(s.Fingerprint)), zap.Int64("Peers", failed.Load()), zap.Int("Of", len(addresses)))
	}
}

func (h *Host) mergeSuspect(s model.Suspect) {
	if known, found := h.suspects[s.Fingerprint]; found {
		s = routing.MergeSuspect(known, s)
	}
	if len(h.suspects) >= suspectLimit {
		h.Log.Warn("suspects forgotten, there are too many", zap.Int("Suspects", len(h.suspects)))
		clear(h.suspects)
	}
	h.suspects[s.Fingerprint] = s
	h.viewChanged = true
}
