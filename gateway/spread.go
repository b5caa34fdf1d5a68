package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/residency"
)

const (
	// spreadInterval is the time between two looks at the load of owned backend servers.
	spreadInterval = 500 * time.Millisecond
	// spreadPause follows a spread of a model, until its new replica has taken its part of the requests.
	spreadPause = 3 * time.Second
	// overloadFactor is the multiple of the rate to spread at from which other models have to make way.
	overloadFactor = 2
	// urgentPause is the time between two spreads of a model then, about that of a load from disk.
	urgentPause = time.Second
)

// stepSpread has busy models loaded on further backend servers. It answers the load of a few models that get most
// requests, of which the busiest change during the day.
func (h *Host) stepSpread(now time.Time) {
	if now.Sub(h.spreadAt) < spreadInterval {
		return
	}
	h.spreadAt = now
	for _, id := range sortedKeys(h.owned) {
		name, found := h.owned[id].account.ToSpread(now)
		view := h.view.backends[id]
		if !found || view == nil {
			continue
		}
		key, pause := modelKey(view.listing.Service, name), spreadPause
		isUrgent := h.owned[id].account.Rate(now) >= overloadFactor*residency.SpreadRate
		if isUrgent {
			pause = urgentPause
		}
		if now.Sub(h.spread[key]) < pause {
			continue
		}
		h.spread[key] = now
		h.spreadModel(now, key, view.listing.Zone, isUrgent)
	}
}

// spreadModel has a model placed once more. An urgent one is placed like one that requests wait for.
func (h *Host) spreadModel(now time.Time, key model.ModelKey, zone string, isUrgent bool) {
	request := &peer.PlaceRequest{Service: key.Version, Model: key.Model, Zone: zone, Spread: !isUrgent}
	for _, b := range h.view.holders(now, key.Version, key.Model) {
		request.Exclude = append(request.Exclude, b.listing.Life.ID)
	}
	address := h.leadOf(now, key)
	h.spawn(func(ctx context.Context) {
		reply, err := h.askPlace(ctx, address, request)
		if err != nil {
			h.Log.Info("not spread", zap.String("Model", key.Model), zap.Error(err))
			return
		}
		h.Log.Info("spread", zap.String("Model", key.Model), zap.String("Backend", reply.Backend), zap.String("Reason", reply.Reason), zap.Int("Holders", len(request.Exclude)))
	})
}
