package ledger

import (
	"slices"
	"time"

	"citronspread/model"
)

// planResolve brings reservations in line with a fresh observation.
func (h *Host) planResolve(now time.Time, b *backend, next *model.BackendRecord) bool {
	var kept []model.Reservation
	changed := false
	for _, r := range next.Reservations {
		v, keep := h.resolve(now, b, r)
		changed = changed || !keep || v.State != r.State || v.OrderID != r.OrderID
		if keep {
			kept = append(kept, v)
		}
	}
	next.Reservations = kept
	return h.planFound(b, next) || changed
}

// resolve returns what a reservation becomes, and whether it stays.
func (h *Host) resolve(now time.Time, b *backend, r model.Reservation) (model.Reservation, bool) {
	listed, found := findLoaded(b.latest, r.Key)
	switch r.State {
	case model.ReservationLoaded:
		return r, found
	case model.ReservationUnloading:
		return h.resolveUnload(now, b, r, found)
	}
	if h.isOpenStanding(r) {
		return r, true
	}
	if !found {
		return h.resolveAbsent(b, r)
	}
	b.arrived[r.OrderID] = true
	delete(b.absentAt, r.OrderID)
	r.State = model.ReservationLoading
	if listed.Ready {
		r.State, r.Issuer = model.ReservationLoaded, ""
		delete(b.wants, r.Key)
	}
	return r, true
}

// resolveUnload ends an unload whose sending has ended: the model is gone, or it stays loaded.
func (h *Host) resolveUnload(now time.Time, b *backend, r model.Reservation, found bool) (model.Reservation, bool) {
	if !h.ended(b, r) {
		return r, true
	}
	if !found {
		return r, false
	}
	r.State, r.Issuer = model.ReservationLoaded, ""
	if d, ok := b.drains[r.Key]; ok {
		d.orderID, d.since = "", now
	}
	return r, true
}

// resolveAbsent voids a load that the engine does not show, once its sending has surely ended.
func (h *Host) resolveAbsent(b *backend, r model.Reservation) (model.Reservation, bool) {
	if !h.ended(b, r) {
		return r, true
	}
	if _, wanted := b.wants[r.Key]; wanted && r.Issuer == h.Incarnation {
		delete(b.wants, r.Key)
		h.emit(LoadRefused{Key: r.Key, Backend: b.name, Reason: RefusedFailed})
	}
	if r.State != model.ReservationStanding || !h.wantsStanding(b, r.Key) {
		return r, false
	}
	return h.reissue(b, r), true
}

// reissue gives a standing reservation an order that this host may send.
func (h *Host) reissue(b *backend, r model.Reservation) model.Reservation {
	id, ok := b.reissues[r.OrderID]
	if !ok {
		id = h.newOrder()
		b.reissues[r.OrderID] = id
	}
	r.OrderID, r.Term = id, b.record.Term
	r.Issuer, r.IssuerName, r.IssuerAddress = h.Incarnation, h.Name, h.Address
	return r
}

// isOpenStanding reports whether a standing reservation's order is this host's to send.
func (h *Host) isOpenStanding(r model.Reservation) bool {
	return r.State == model.ReservationStanding && r.Issuer == h.Incarnation && h.orders.open(r.OrderID)
}

// ended reports whether the sending of a reservation's order had surely ended before the latest observation.
// An end that is known from a delay only needs two observations, for the order may wait in the engine.
func (h *Host) ended(b *backend, r model.Reservation) bool {
	over, certain := h.over(b, r, b.latestAt)
	if !over || certain {
		return over
	}
	first, ok := b.absentAt[r.OrderID]
	if !ok {
		b.absentAt[r.OrderID] = b.latestAt
		return false
	}
	return b.latestAt.Sub(first) >= observeSettle
}

// over reports whether a sending had ended at a time, and whether that is known from an answer.
func (h *Host) over(b *backend, r model.Reservation, at time.Time) (over, certain bool) {
	if r.Issuer == "" || b.arrived[r.OrderID] {
		return true, true
	}
	if r.Issuer == h.Incarnation {
		if r.Term != b.record.Term {
			h.orders.close(r.OrderID)
		}
		return h.orders.over(r.OrderID, at)
	}
	if h.TrustsFencing && r.Term < b.record.Term && b.latest.Term >= b.record.Term {
		return true, true
	}
	if since, ok := b.confirmed[r.OrderID]; ok && !at.Before(since) {
		return true, true
	}
	since, dead := h.dead[r.Issuer]
	return dead && !at.Before(since.Add(h.LongestOrderTime)), false
}

// planFound reserves memory for models that the engine lists without a reservation, so that they get unloaded.
func (h *Host) planFound(b *backend, next *model.BackendRecord) bool {
	changed := false
	for _, m := range b.latest.Models {
		if findKey(*next, m.Key) >= 0 || findKey(b.record, m.Key) >= 0 {
			continue
		}
		next.Reservations = append(next.Reservations, model.Reservation{
			Key: m.Key, Bytes: m.Bytes, State: model.ReservationLoaded, SlotID: noSlot, Term: next.Term,
		})
		changed = true
	}
	return changed
}

// askIssuers asks the issuers of unresolved orders whether they may still send them.
func (h *Host) askIssuers(now time.Time, b *backend) {
	if !b.answered && b.goneAt.IsZero() {
		return
	}
	for _, r := range b.record.Reservations {
		if r.State == model.ReservationLoaded || r.Issuer == h.Incarnation || now.Sub(b.askedAt[r.OrderID]) < askInterval {
			continue
		}
		if over, _ := h.over(b, r, b.latestAt); over {
			continue
		}
		if _, dead := h.dead[r.Issuer]; dead {
			continue
		}
		if _, ok := b.confirmed[r.OrderID]; ok {
			continue
		}
		b.askedAt[r.OrderID] = now
		h.emit(AskUnsent{OrderID: r.OrderID, Issuer: r.Issuer, Name: r.IssuerName, Address: r.IssuerAddress})
	}
}

// unsentAnswered notes that an issuer will not send an order.
func (h *Host) unsentAnswered(now time.Time, e UnsentAnswered) {
	if !e.WillNotSend {
		return
	}
	for _, b := range h.backends {
		i := findOrder(b.record, e.OrderID)
		if i < 0 || b.record.Reservations[i].Issuer != e.Issuer {
			continue
		}
		if _, ok := b.confirmed[e.OrderID]; !ok {
			b.confirmed[e.OrderID] = now
			b.observeAt = now
		}
	}
}

// findLoaded returns what an observation says of a model version.
func findLoaded(o model.Observation, key model.ModelKey) (model.LoadedModel, bool) {
	i := slices.IndexFunc(o.Models, func(m model.LoadedModel) bool { return m.Key == key })
	if i < 0 {
		return model.LoadedModel{}, false
	}
	return o.Models[i], true
}
