package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
)

const (
	// spreadInterval is the time between two looks at the load of owned backend servers.
	spreadInterval = 500 * time.Millisecond
	// spreadPause follows a spread of a model, until its new replica has taken its part of the requests.
	spreadPause = 3 * time.Second
)

// stepSpread has busy models loaded on further backend servers. It answers the load of a few models that get most
// requests, of which the busiest change during the day.
func (h *Host) stepSpread(now time.Time) {
	if now.Sub(h.spreadAt) < spreadInterval {
		return
	}
	h.spreadAt = now
	for _, id := range slices.Sorted(maps.Keys(h.owned)) {
		name, found := h.owned[id].account.ToSpread(now)
		view := h.view.backends[id]
		if !found || view == nil {
			continue
		}
		key := modelKey(view.listing.Service, name)
		if now.Sub(h.spread[key]) < spreadPause {
			continue
		}
		h.spread[key] = now
		h.spreadModel(now, key, view.listing.Zone)
	}
}

func (h *Host) spreadModel(now time.Time, key model.ModelKey, zone string) {
	request := &peer.PlaceRequest{Service: key.Version, Model: key.Model, Zone: zone, Spread: true}
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
