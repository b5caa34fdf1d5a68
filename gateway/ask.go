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

// Times of asking for what requests wait for.
const (
	// askLasting is how long an ask goes on after the last wake, which a router repeats every half second.
	askLasting = 1200 * time.Millisecond
	// askPauseMost bounds the pause between two questions, so that an early success is noticed.
	askPauseMost = 250 * time.Millisecond
	// holdElsewhere is the wait for an adapter from which another backend server is asked; a load from memory takes longer.
	holdElsewhere = 300 * time.Millisecond
	// failurePause is waited for after a question that failed.
	failurePause = 100 * time.Millisecond
)

// ask brings a model or adapter that requests of this host wait for.
type ask struct {
	target  routing.Target
	until   time.Time
	refused map[string]time.Time // backend servers that could not help, and when
}

// plan is the next question of an ask.
type plan struct {
	done    bool
	hold    *peer.HoldRequest
	place   *peer.PlaceRequest
	address string
}

// woken starts an ask, or keeps it going.
func (h *Host) woken(now time.Time, w model.Wake) {
	target := routing.Target{Key: w.Key, Adapter: w.Adapter}
	if a := h.asks[target]; a != nil {
		a.until = now.Add(askLasting)
		return
	}
	a := &ask{target: target, until: now.Add(askLasting), refused: make(map[string]time.Time)}
	h.asks[target] = a
	h.spawn(func(ctx context.Context) { h.runAsk(ctx, a) })
}

// runAsk asks until the target is there or nobody waits for it any more.
func (h *Host) runAsk(ctx context.Context, a *ask) {
	for ctx.Err() == nil {
		p, err := query(ctx, h, func(now time.Time) plan { return h.planAsk(now, a) })
		if err != nil || p.done {
			return
		}
		pause := failurePause
		switch {
		case p.hold != nil:
			pause = h.askForHold(ctx, a, p)
		case p.place != nil:
			pause = h.askForPlace(ctx, a, p)
		}
		sleep(ctx, pause)
	}
}

// planAsk decides the next question: the model first, then its adapter on a backend server that holds it.
func (h *Host) planAsk(now time.Time, a *ask) plan {
	if now.After(a.until) {
		delete(h.asks, a.target)
		return plan{done: true}
	}
	key := a.target.Key
	holders := h.view.holders(now, key.Version, key.Model)
	if a.target.Adapter != "" && len(holders) > 0 {
		if id, address, found := h.adapterHome(now, a, holders); found {
			return plan{hold: &peer.HoldRequest{Backend: id, Model: key.Model, Adapter: a.target.Adapter}, address: address}
		}
	}
	request := &peer.PlaceRequest{Service: key.Version, Model: key.Model, Zone: h.Zone}
	for _, b := range holders {
		request.Exclude = append(request.Exclude, b.listing.Life.ID)
	}
	return plan{place: request, address: h.leadOf(now, key)}
}

// adapterHome chooses the backend server that gets an adapter: in the zone where there is one, always the same for one adapter.
func (h *Host) adapterHome(now time.Time, a *ask, holders []*backendView) (id, address string, found bool) {
	best, isLocal := uint64(0), false
	for _, b := range holders {
		candidate := b.listing.Life.ID
		local := b.listing.Zone == h.Zone
		owner, known := h.ownerAddress(candidate)
		if at, refused := a.refused[candidate]; !known || refused && now.Sub(at) < askLasting || found && isLocal && !local {
			continue
		}
		score := rendezvous(candidate, a.target.Key.Model+"/"+a.target.Adapter)
		if !found || local && !isLocal || score > best {
			id, address, found, best, isLocal = candidate, owner, true, score, local
		}
	}
	return id, address, found
}

// askForHold asks an owner for an adapter and returns the pause until the next question.
func (h *Host) askForHold(ctx context.Context, a *ask, p plan) time.Duration {
	reply, err := h.askHold(ctx, p.address, p.hold)
	if err != nil {
		h.Log.Info("owner does not answer", zap.String("Backend", p.hold.Backend), zap.String("Owner", p.address), zap.Error(err))
		h.post(func(now time.Time) { a.refused[p.hold.Backend] = now })
		return failurePause
	}
	h.post(func(now time.Time) {
		switch {
		case reply.Ready:
			h.view.noteAdapter(now, p.hold.Backend, p.hold.Model, p.hold.Adapter, true)
			h.viewChanged = true
			delete(h.asks, a.target)
			a.until = time.Time{}
		case reply.Absent:
			h.view.noteModel(now, p.hold.Backend, p.hold.Model, false)
			h.viewChanged = true
		case reply.Reason != "":
			a.refused[p.hold.Backend] = now
		case reply.Wait > holdElsewhere:
			a.refused[p.hold.Backend] = now // another one that holds the model may be sooner
		default:
			h.router.Expect(a.target, now.Add(reply.Wait))
		}
	})
	if reply.Wait > holdElsewhere {
		return 0
	}
	return min(reply.Wait, askPauseMost)
}

// askForPlace asks the lead for the model and returns the pause until the next question.
func (h *Host) askForPlace(ctx context.Context, a *ask, p plan) time.Duration {
	reply, err := h.askPlace(ctx, p.address, p.place)
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
			h.view.noteModel(now, reply.Backend, p.place.Model, true)
			h.viewChanged = true
			if a.target.Adapter == "" {
				delete(h.asks, a.target)
				a.until = time.Time{}
			}
		case reply.Reason == "":
			h.router.Expect(a.target, now.Add(reply.Wait))
		}
	})
	if reply.Reason != "" {
		return failurePause
	}
	return min(reply.Wait, askPauseMost)
}
