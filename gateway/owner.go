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
	// maxLoadWait is how long an owner delays the reply to a load request until the model or adapter is ready.
	maxLoadWait = 400 * time.Millisecond
	// minLoadPause is the shortest time after which the requester may repeat a load request.
	minLoadPause = 20 * time.Millisecond
)

// ownedBackend is a backend server that this host gives orders to.
type ownedBackend struct {
	account        *residency.Account
	reportInFlight bool // a report has been requested
	waiters        []waiter
}

// waiter is a load request whose reply waits for the model or adapter.
type waiter struct {
	model    string
	adapter  string
	deadline time.Time
	reply    chan peer.LoadModelReply
}

// ensureOwned returns an owned backend server and creates its account if there is none.
// It returns nil if the backend server has been removed from the list or its service has no engine, so that it
// takes no orders.
func (h *Host) ensureOwned(now time.Time, id string) *ownedBackend {
	if b := h.owned[id]; b != nil {
		return b
	}
	view := h.view.backends[id]
	if view == nil {
		return nil
	}
	listing := view.listing
	spec := h.routes.Load().state.Services[listing.Service].Engine
	if spec == nil {
		return nil
	}
	b := &ownedBackend{account: residency.NewAccount(now, id, listing.Life, spec)}
	b.account.NotBefore(h.table.FirstOrderAt(now, id))
	h.owned[id] = b
	return b
}

// stepOwned updates the accounts of the owned backend servers and sends the calls that are due.
func (h *Host) stepOwned(now time.Time) {
	table := h.routes.Load()
	if table == nil {
		return
	}
	for id, view := range h.view.backends {
		_, owns := h.table.Owns(id)
		spec := table.state.Services[view.listing.Service].Engine
		if owns && h.registered && view.isUsable() && spec != nil {
			h.ensureOwned(now, id).account.Spec = spec
		}
	}
	for id, b := range h.owned {
		view := h.view.backends[id]
		term, owns := h.table.Owns(id)
		isOwner := owns || h.table.Continues(id)
		if isOwner && view == nil && h.view.known(id) != nil {
			b.rejectWaiters("backend server not listed") // the account still holds if the entry comes back
			continue
		}
		if !isOwner || view == nil || !view.isUsable() {
			b.rejectWaiters("not the owner any more")
			delete(h.owned, id)
			continue
		}
		if owns && h.table.MayOrder(now) {
			h.stepBackend(now, id, b, view.listing, term)
		}
		b.replyToWaiters(now)
	}
}

// stepBackend requests a report and sends an order, each if due. The order carries the fencing token term. A backend server in
// back-off gets neither.
func (h *Host) stepBackend(now time.Time, id string, b *ownedBackend, listing model.BackendListing, term int64) {
	a := b.account
	if _, inBackOff := h.router.BackOffEnd(now, id, listing.Life.Born); inBackOff {
		return
	}
	if !b.reportInFlight && a.ReportDue(now) {
		h.requestReport(now, id, b, listing)
	}
	step, ok := a.Next(now, h.permits.ready(now))
	if !ok {
		if a.NeedsWeightLoad() {
			h.requestPermit(now, a.Spec)
		}
		return
	}
	if step.Order.Kind == residency.Load && step.Source == residency.FromStore {
		h.permits.consume()
	}
	o := *step.Order
	o.Owner, o.Term = h.Name, term
	a.Sent(o)
	if o.Kind == residency.Unload {
		h.view.recordModel(now, id, o.Model, false)
		h.viewChanged = true
	}
	h.sendOrder(now, id, b, listing, o, step.Source)
}

// sendOrder sends an order and records the response. It drops the order if the ownership has expired meanwhile.
func (h *Host) sendOrder(now time.Time, id string, b *ownedBackend, listing model.BackendListing, o residency.Order, source residency.Source) {
	validUntil := h.table.ValidUntil()
	h.spawn(func(ctx context.Context) {
		answer, err := residency.Unsent, error(nil)
		if h.Now().Before(validUntil) {
			answer, err = h.BackendClient.SendOrder(ctx, listing.Address, listing.Life, o)
		}
		took := h.Now().Sub(now)
		h.Metrics.CountOrder(o.Kind.String(), answer.String())
		h.post(func(now time.Time) {
			h.Log.Info("order", zap.String("Backend", id), zap.Stringer("Kind", o.Kind), zap.String("Model", o.Model), zap.String("Adapter", o.Adapter),
				zap.Int64("Expected", o.Expected), zap.Int64("Term", o.Term), zap.Int("Source", int(source)), zap.Stringer("Answer", answer), zap.Duration("Took", took), zap.Error(err))
			h.recordControlError(now, listing.Life, err)
			b.account.Answered(now, o, answer)
			if answer == residency.Accepted && o.Kind == residency.LoadAdapter {
				h.stepAfter(residency.AdapterLoad)
			}
			if invariant := b.account.Check(); invariant != nil {
				h.Log.Error("invariant violated", zap.Error(invariant))
			}
		})
	})
}

// stepAfter runs a step of the control thread after the duration.
func (h *Host) stepAfter(d time.Duration) {
	time.AfterFunc(d, func() { h.post(func(time.Time) {}) })
}

func (h *Host) requestReport(now time.Time, id string, b *ownedBackend, listing model.BackendListing) {
	b.reportInFlight = true
	b.account.ReportRequested(now)
	h.spawn(func(ctx context.Context) {
		report, err := h.BackendClient.ReadReport(ctx, listing.Address, listing.Life)
		h.post(func(now time.Time) {
			b.reportInFlight = false
			if err != nil {
				h.Log.Info("no report", zap.String("Backend", id), zap.Error(err))
				h.recordControlError(now, listing.Life, err)
				b.account.ReportFailed()
				return
			}
			if report.Leaving {
				h.recordLeaving(now, report.Life, "")
			}
			b.account.ApplyReport(now, report)
		})
	})
}

// handleLoad replies to a load request at once if the outcome is known. Otherwise the reply waits until the model
// or adapter is ready, at most maxLoadWait.
func (h *Host) handleLoad(now time.Time, request *peer.LoadModelRequest, reply chan peer.LoadModelReply) {
	b := h.owned[request.Backend]
	if b == nil || h.view.backends[request.Backend] == nil || !h.table.MayOrder(now) {
		reply <- peer.LoadModelReply{Reason: "not the owner"}
		return
	}
	if request.Adapter != "" && b.account.IsAbsent(request.Model) {
		reply <- peer.LoadModelReply{Absent: true, Reason: "model not loaded"}
		return
	}
	status := b.account.AddDemand(now, request.Model, request.Adapter)
	if status.Ready || status.Reason != "" {
		reply <- peer.LoadModelReply{Ready: status.Ready, Reason: status.Reason}
		return
	}
	b.waiters = append(b.waiters, waiter{model: request.Model, adapter: request.Adapter, deadline: now.Add(maxLoadWait), reply: reply})
}

// replyToWaiters replies to the load requests whose target is ready, whose adapter's model is not loaded, or that have
// waited for maxLoadWait.
func (b *ownedBackend) replyToWaiters(now time.Time) {
	remaining := b.waiters[:0]
	for _, w := range b.waiters {
		if w.adapter != "" && b.account.IsAbsent(w.model) {
			w.reply <- peer.LoadModelReply{Absent: true, Reason: "model not loaded"}
			continue
		}
		status := b.account.DemandStatus(now, w.model, w.adapter)
		if !status.Ready && now.Before(w.deadline) {
			remaining = append(remaining, w)
			continue
		}
		w.reply <- peer.LoadModelReply{Ready: status.Ready, Wait: max(minLoadPause, status.Wait)}
	}
	b.waiters = remaining
}

// rejectWaiters replies to all waiting load requests with the reason.
func (b *ownedBackend) rejectWaiters(reason string) {
	for _, w := range b.waiters {
		w.reply <- peer.LoadModelReply{Reason: reason}
	}
	b.waiters = nil
}
