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
	// spreadInterval is the time between two checks of the request rates of owned backend servers.
	spreadInterval = 500 * time.Millisecond
	// spreadPause follows each spread of a model, so that its new replica receives its share of the requests first.
	spreadPause = 3 * time.Second
)

// stepSpread spreads busy models: it has them loaded on further backend servers. A few models receive most requests,
// and which ones are busiest changes during the day.
func (h *Host) stepSpread(now time.Time) {
	if now.Sub(h.spreadCheckedAt) < spreadInterval {
		return
	}
	h.spreadCheckedAt = now
	for _, id := range slices.Sorted(maps.Keys(h.owned)) {
		name, found := h.owned[id].account.ToSpread(now)
		view := h.view.backends[id]
		if !found || view == nil {
			continue
		}
		key := modelKey(view.listing.Service, name)
		if now.Sub(h.lastSpread[key]) < spreadPause {
			continue
		}
		h.lastSpread[key] = now
		h.spreadModel(now, key, view.listing.Zone)
	}
}

// spreadModel requests a placement of the model on a backend server that does not have it loaded.
func (h *Host) spreadModel(now time.Time, key model.ModelKey, zone string) {
	request := &peer.PlaceRequest{Service: key.Version, Model: key.Model, Zone: zone, Spread: true}
	for _, b := range h.view.backendsWith(now, key.Version, key.Model) {
		request.Exclude = append(request.Exclude, b.listing.Life.ID)
	}
	address := h.leaderAddress(now, key)
	h.spawn(func(ctx context.Context) {
		reply, err := h.requestPlacement(ctx, address, request)
		if err != nil {
			h.Log.Info("model not spread", zap.String("Model", key.Model), zap.Error(err))
			return
		}
		h.Log.Info("spread", zap.String("Model", key.Model), zap.String("Backend", reply.Backend), zap.String("Reason", reply.Reason), zap.Int("Holders", len(request.Exclude)))
	})
}
