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
	// holdWait is how long an owner lets a question wait for the answer to become yes.
	holdWait = 400 * time.Millisecond
	// holdPause is the least time until a question is asked again.
	holdPause = 20 * time.Millisecond
)

// ownedBackend is a backend server that this host gives orders to.
type ownedBackend struct {
	account   *residency.Account
	reporting bool
	waiters   []waiter
}

// waiter is a question that waits for a model or adapter.
type waiter struct {
	model   string
	adapter string
	until   time.Time
	reply   chan peer.HoldReply
}

// own returns the account of an owned backend server and starts one where there is none.
// It returns nil when the backend server left the list meanwhile, or takes no orders any more.
func (h *Host) own(now time.Time, id string) *ownedBackend {
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

// stepOwned sends what is due to the backend servers that this host owns.
func (h *Host) stepOwned(now time.Time) {
	table := h.routes.Load()
	if table == nil {
		return
	}
	for id, view := range h.view.backends {
		_, owns := h.table.Owns(id)
		spec := table.state.Services[view.listing.Service].Engine
		if owns && h.registered && view.isUsable() && spec != nil {
			h.own(now, id).account.Spec = spec
		}
	}
	for id, b := range h.owned {
		view := h.view.backends[id]
		term, owns := h.table.Owns(id)
		if view == nil || !owns || !view.isUsable() {
			b.dismiss("not the owner any more")
			delete(h.owned, id)
			continue
		}
		if h.table.MayOrder(now) {
			h.stepBackend(now, id, b, view.listing, term)
		}
		b.answerWaiters(now)
	}
}

// stepBackend asks for a report or sends an order when one is due.
func (h *Host) stepBackend(now time.Time, id string, b *ownedBackend, listing model.Listing, term int64) {
	a := b.account
	if !b.reporting && a.ReportDue(now) {
		h.askReport(now, id, b, listing)
	}
	step, ok := a.Next(now, h.permits.ready(now))
	if !ok {
		if a.WantsFetch() {
			h.wantPermit(now, a.Spec)
		}
		return
	}
	if step.Order.Kind == residency.Load && step.Source == residency.FromStore {
		h.permits.take()
	}
	o := *step.Order
	o.Holder, o.Term = h.Name, term
	a.Sent(o)
	if o.Kind == residency.Unload {
		h.view.noteModel(now, id, o.Model, false)
		h.viewChanged = true
	}
	h.sendOrder(now, id, b, listing, o, step.Source)
}

func (h *Host) sendOrder(now time.Time, id string, b *ownedBackend, listing model.Listing, o residency.Order, source residency.Source) {
	validUntil := h.table.ValidUntil()
	h.spawn(func(ctx context.Context) {
		answer, err := residency.Unsent, error(nil)
		if h.Now().Before(validUntil) {
			answer, err = h.Orders.Order(ctx, listing.Address, listing.Life, o)
		}
		took := h.Now().Sub(now)
		h.Metrics.Ordered(o.Kind.String(), answer.String())
		h.post(func(now time.Time) {
			h.Log.Info("order", zap.String("Backend", id), zap.Stringer("Kind", o.Kind), zap.String("Model", o.Model), zap.String("Adapter", o.Adapter),
				zap.Int64("Expected", o.Expected), zap.Int64("Term", o.Term), zap.Int("Source", int(source)), zap.Stringer("Answer", answer), zap.Duration("Took", took), zap.Error(err))
			b.account.Answered(now, o, answer)
			if answer == residency.Accepted && o.Kind == residency.LoadAdapter {
				h.wakeAfter(residency.AdapterLoad)
			}
			if invariant := b.account.Check(); invariant != nil {
				h.Log.Error("invariant violated", zap.Error(invariant))
			}
		})
	})
}

// wakeAfter runs a step of the control thread after the time.
func (h *Host) wakeAfter(d time.Duration) {
	time.AfterFunc(d, func() { h.post(func(time.Time) {}) })
}

func (h *Host) askReport(now time.Time, id string, b *ownedBackend, listing model.Listing) {
	b.reporting = true
	b.account.ReportAsked(now)
	h.spawn(func(ctx context.Context) {
		holdings, err := h.Orders.Report(ctx, listing.Address, listing.Life)
		h.post(func(now time.Time) {
			b.reporting = false
			if err != nil {
				h.Log.Info("no report", zap.String("Backend", id), zap.Error(err))
				b.account.Unreported()
				return
			}
			b.account.Observed(now, holdings)
		})
	})
}

// hold answers a question for a model or adapter at once when it can.
func (h *Host) hold(now time.Time, request *peer.HoldRequest, reply chan peer.HoldReply) {
	b := h.owned[request.Backend]
	if b == nil || !h.table.MayOrder(now) {
		reply <- peer.HoldReply{Reason: "not the owner"}
		return
	}
	if request.Adapter != "" && b.account.Lacks(request.Model) {
		reply <- peer.HoldReply{Absent: true, Reason: "model not loaded"}
		return
	}
	status := b.account.Want(now, request.Model, request.Adapter)
	if status.Ready || status.Reason != "" {
		reply <- peer.HoldReply{Ready: status.Ready, Reason: status.Reason}
		return
	}
	b.waiters = append(b.waiters, waiter{model: request.Model, adapter: request.Adapter, until: now.Add(holdWait), reply: reply})
}

// answerWaiters answers the questions that are settled or have waited long enough.
func (b *ownedBackend) answerWaiters(now time.Time) {
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		if w.adapter != "" && b.account.Lacks(w.model) {
			w.reply <- peer.HoldReply{Absent: true, Reason: "model not loaded"}
			continue
		}
		status := b.account.Peek(now, w.model, w.adapter)
		if !status.Ready && now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		w.reply <- peer.HoldReply{Ready: status.Ready, Wait: max(holdPause, status.Wait)}
	}
	b.waiters = kept
}

func (b *ownedBackend) dismiss(reason string) {
	for _, w := range b.waiters {
		w.reply <- peer.HoldReply{Reason: reason}
	}
	b.waiters = nil
}
