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
	// overloadRate is the request rate of a backend server, per second, from which a model is spread even if it has to be
	// read from the weight store. Prompts of 1,500 tokens then take a third of its time.
	overloadRate = 5.0
	// maxColdSpreadWait covers a load from the weight store and the wait for a permit.
	maxColdSpreadWait = 15 * time.Second
	// spreadRenewal is the time between two requests for one placement. It is shorter than an owner keeps a demand.
	spreadRenewal = time.Second
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
		h.spreadModel(now, key, view.listing.Zone, maxWaitOfSpread(h.owned[id].account.Rate(now)))
	}
}

// maxWaitOfSpread returns the longest time until a spread model is loaded, for the request rate of its backend server.
func maxWaitOfSpread(rate float64) time.Duration {
	if rate >= overloadRate {
		return maxColdSpreadWait
	}
	return maxSpreadWait
}

// spreadModel requests a placement of the model on a backend server that does not have it loaded, and repeats the request
// until it is loaded there or cannot be.
func (h *Host) spreadModel(now time.Time, key model.ModelKey, zone string, maxWait time.Duration) {
	request := &peer.PlaceRequest{Service: key.Version, Model: key.Model, Zone: zone, Spread: true, MaxWait: maxWait}
	for _, b := range h.view.backendsWith(now, key.Version, key.Model) {
		request.Exclude = append(request.Exclude, b.listing.Life.ID)
	}
	address := h.leaderAddress(now, key)
	h.spawn(func(ctx context.Context) {
		for startedAt := now; h.Now().Sub(startedAt) < maxWait; sleep(ctx, spreadRenewal) {
			reply, err := h.requestPlacement(ctx, address, request)
			if err != nil {
				h.Log.Info("model not spread", zap.String("Model", key.Model), zap.Error(err))
				return
			}
			h.Log.Info("spread", zap.String("Model", key.Model), zap.String("Backend", reply.Backend), zap.String("Reason", reply.Reason),
				zap.Int("Holders", len(request.Exclude)), zap.Duration("MaxWait", maxWait))
			if reply.Ready || reply.Reason != "" || ctx.Err() != nil {
				return
			}
		}
	})
}
