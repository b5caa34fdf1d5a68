package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/routing"
)

// Timing of load requests.
const (
	// demandTTL is how long a demand lasts after the router last reported it. Routers report it again every 0.5 s.
	// It is also how long a backend server that refused an adapter is skipped.
	demandTTL = 1200 * time.Millisecond
	// maxPollPause bounds the pause between two requests, so that a load that completes early is noticed.
	maxPollPause = 250 * time.Millisecond
	// maxAdapterWait is the longest expected wait for an adapter before another backend server is tried.
	// It is shorter than a model load from memory.
	maxAdapterWait = 300 * time.Millisecond
	// failurePause is the pause after a request that failed.
	failurePause = 100 * time.Millisecond
)

// demand is a model or adapter that requests on this host wait for.
type demand struct {
	target    routing.Target
	expiresAt time.Time
	refused   map[string]time.Time // backend servers that could not load it, with the time of the refusal
}

// plan is the next request for a demand: a load request to an owner or a placement request to a leader.
type plan struct {
	done    bool
	load    *peer.LoadModelRequest
	place   *peer.PlaceRequest
	address string // of the host that receives the request
}

// addDemand starts a demand, or extends the one in progress.
func (h *Host) addDemand(now time.Time, reported model.LoadDemand) {
	target := routing.Target{Key: reported.Key, Adapter: reported.Adapter, Software: reported.Software}
	if d := h.demands[target]; d != nil {
		d.expiresAt = now.Add(demandTTL)
		return
	}
	d := &demand{target: target, expiresAt: now.Add(demandTTL), refused: make(map[string]time.Time)}
	h.demands[target] = d
	h.spawn(func(ctx context.Context) { h.runDemand(ctx, d) })
}

// runDemand sends requests until the target is loaded or the demand expires.
func (h *Host) runDemand(ctx context.Context, d *demand) {
	for ctx.Err() == nil {
		p, err := query(ctx, h, func(now time.Time) plan { return h.planDemand(now, d) })
		if err != nil || p.done {
			return
		}
		pause := failurePause
		switch {
		case p.load != nil:
			pause = h.demandAdapter(ctx, d, p)
		case p.place != nil:
			pause = h.demandModel(ctx, d, p)
		}
		sleep(ctx, pause)
	}
}

// planDemand chooses the next request: the model first, then its adapter on a backend server that has the model loaded.
func (h *Host) planDemand(now time.Time, d *demand) plan {
	if now.After(d.expiresAt) {
		delete(h.demands, d.target)
		return plan{done: true}
	}
	key := d.target.Key
	candidates := h.view.backendsWith(now, key.Version, key.Model)
	if d.target.Software != "" {
		candidates = slices.DeleteFunc(candidates, func(b *backendView) bool { return b.listing.Software != d.target.Software })
	}
	if d.target.Adapter != "" && len(candidates) > 0 {
		if id, address, found := h.chooseAdapterBackend(now, d, candidates); found {
			return plan{load: &peer.LoadModelRequest{Backend: id, Model: key.Model, Adapter: d.target.Adapter}, address: address}
		}
	}
	request := &peer.PlaceRequest{Service: key.Version, Model: key.Model, Zone: h.Zone}
	for _, b := range candidates {
		request.Exclude = append(request.Exclude, b.listing.Life.ID)
	}
	if d.target.Software != "" {
		request.Exclude = append(request.Exclude, h.view.otherSoftware(key.Version, d.target.Software)...)
	}
	return plan{place: request, address: h.leaderAddress(now, key)}
}

// chooseAdapterBackend chooses the backend server that loads an adapter. It prefers those of the own zone and
// ranks them by rendezvous hashing, so that an adapter always goes to the same one.
func (h *Host) chooseAdapterBackend(now time.Time, d *demand, candidates []*backendView) (id, address string, found bool) {
	bestScore, bestIsLocal := uint64(0), false
	for _, b := range candidates {
		candidate := b.listing.Life.ID
		local := b.listing.Zone == h.Zone
		owner, known := h.ownerAddress(candidate)
		if at, refused := d.refused[candidate]; !known || refused && now.Sub(at) < demandTTL || found && bestIsLocal && !local {
			continue
		}
		score := rendezvous(candidate, d.target.Key.Model+"/"+d.target.Adapter)
		if !found || local && !bestIsLocal || score > bestScore {
			id, address, found, bestScore, bestIsLocal = candidate, owner, true, score, local
		}
	}
	return id, address, found
}

// demandAdapter sends a load request for the adapter to the owner and returns the pause until the next request.
func (h *Host) demandAdapter(ctx context.Context, d *demand, p plan) time.Duration {
	reply, err := h.requestLoad(ctx, p.address, p.load)
	if err != nil {
		h.Log.Info("owner does not answer", zap.String("Backend", p.load.Backend), zap.String("Owner", p.address), zap.Error(err))
		h.post(func(now time.Time) { d.refused[p.load.Backend] = now })
		return failurePause
	}
	h.post(func(now time.Time) {
		switch {
		case reply.Ready:
			h.view.recordAdapter(now, p.load.Backend, p.load.Model, p.load.Adapter, true)
			h.viewChanged = true
			delete(h.demands, d.target)
			d.expiresAt = time.Time{}
		case reply.Absent:
			h.view.recordModel(now, p.load.Backend, p.load.Model, false)
			h.viewChanged = true
		case reply.Reason != "":
			d.refused[p.load.Backend] = now
		case reply.Wait > maxAdapterWait:
			d.refused[p.load.Backend] = now // another backend server with the model may be ready sooner
		default:
			h.router.SetReadyAt(d.target, now.Add(reply.Wait))
		}
	})
	if reply.Wait > maxAdapterWait {
		return 0
	}
	return min(reply.Wait, maxPollPause)
}

// demandModel sends a placement request for the model to its leader and returns the pause until the next request.
func (h *Host) demandModel(ctx context.Context, d *demand, p plan) time.Duration {
	reply, err := h.requestPlacement(ctx, p.address, p.place)
	if err != nil {
		h.Log.Info("not placed", zap.String("Model", p.place.Model), zap.Error(err))
		return failurePause
	}
	if reply.Ready && slices.Contains(p.place.Exclude, reply.Backend) {
		return failurePause
	}
	h.post(func(now time.Time) {
		switch {
		case reply.Ready:
			h.view.recordModel(now, reply.Backend, p.place.Model, true)
			h.viewChanged = true
			if d.target.Adapter == "" {
				delete(h.demands, d.target)
				d.expiresAt = time.Time{}
			}
		case reply.Reason == "":
			h.router.SetReadyAt(d.target, now.Add(reply.Wait))
		}
	})
	if reply.Reason != "" {
		return failurePause
	}
	return min(reply.Wait, maxPollPause)
}
