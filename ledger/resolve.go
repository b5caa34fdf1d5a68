package ledger

import (
	"slices"
	"time"

	"citronspread/model"
)

// planResolve updates the reservations from a fresh observation.
func (h *Host) planResolve(now time.Time, b *backend, next *model.BackendRecord) bool {
	var remaining []model.Reservation
	changed := false
	for _, r := range next.Reservations {
		v, keep := h.resolve(now, b, r)
		changed = changed || !keep || v.State != r.State || v.OrderID != r.OrderID
		if keep {
			remaining = append(remaining, v)
		}
	}
	next.Reservations = remaining
	return h.planUnreserved(b, next) || changed
}

// resolve returns a reservation updated from the latest observation, and whether it stays.
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
	delete(b.firstObservedAt, r.OrderID)
	r.State = model.ReservationLoading
	if listed.Ready {
		r.State, r.Issuer = model.ReservationLoaded, ""
		delete(b.loadRequests, r.Key)
	}
	return r, true
}

// resolveUnload resolves an unload whose sending has ended. The reservation is removed if the engine no longer lists the
// model; otherwise its state returns to loaded and the drain starts again.
func (h *Host) resolveUnload(now time.Time, b *backend, r model.Reservation, found bool) (model.Reservation, bool) {
	if !h.canResolve(b, r) {
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

// resolveAbsent resolves a load that the engine does not list, once sending its order has ended. The reservation is
// removed, or gets a new order if it is a standing one that is still needed.
func (h *Host) resolveAbsent(b *backend, r model.Reservation) (model.Reservation, bool) {
	if !h.canResolve(b, r) {
		return r, true
	}
	if _, requested := b.loadRequests[r.Key]; requested && r.Issuer == h.Incarnation {
		delete(b.loadRequests, r.Key)
		h.emit(LoadRefused{Key: r.Key, Backend: b.name, Reason: RefusedFailed})
	}
	if r.State != model.ReservationStanding || !h.needsStanding(b, r.Key) {
		return r, false
	}
	return h.reissue(b, r), true
}

// reissue replaces the order of a standing reservation by one that this host may send.
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

// isOpenStanding reports whether this host may still send the order of a standing reservation.
func (h *Host) isOpenStanding(r model.Reservation) bool {
	return r.State == model.ReservationStanding && r.Issuer == h.Incarnation && h.orders.open(r.OrderID)
}

// canResolve reports whether the latest observation resolves a reservation, because sending its order had ended before.
// If the end is only inferred from a delay, two observations are needed, because the order may still wait in the engine.
func (h *Host) canResolve(b *backend, r model.Reservation) bool {
	ended, certain := h.sendEnded(b, r, b.latestAt)
	if !ended || certain {
		return ended
	}
	first, ok := b.firstObservedAt[r.OrderID]
	if !ok {
		b.firstObservedAt[r.OrderID] = b.latestAt
		return false
	}
	return b.latestAt.Sub(first) >= resolveConfirmDelay
}

// sendEnded reports whether sending a reservation's order had ended at a time,
// and whether this is certain from a response rather than inferred from a delay.
func (h *Host) sendEnded(b *backend, r model.Reservation, at time.Time) (ended, certain bool) {
	if r.Issuer == "" || b.arrived[r.OrderID] {
		return true, true
	}
	if r.Issuer == h.Incarnation {
		if r.Term != b.record.Term {
			h.orders.close(r.OrderID)
		}
		return h.orders.sendEnded(r.OrderID, at)
	}
	if h.TrustsFencing && r.Term < b.record.Term && b.latest.Term >= b.record.Term {
		return true, true
	}
	if since, ok := b.confirmedUnsent[r.OrderID]; ok && !at.Before(since) {
		return true, true
	}
	since, stopped := h.stopped[r.Issuer]
	return stopped && !at.Before(since.Add(h.MaxOrderDelay)), false
}

// planUnreserved adds reservations for models that the engine lists without one. They have no slot, so planUnload unloads them.
func (h *Host) planUnreserved(b *backend, next *model.BackendRecord) bool {
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

// queryIssuers sends the issuers of unresolved orders a query whether the orders may still reach the engine.
func (h *Host) queryIssuers(now time.Time, b *backend) {
	if !b.observed && b.unlistedSince.IsZero() {
		return
	}
	for _, r := range b.record.Reservations {
		if r.State == model.ReservationLoaded || r.Issuer == h.Incarnation || now.Sub(b.issuerQueriedAt[r.OrderID]) < issuerQueryInterval {
			continue
		}
		if ended, _ := h.sendEnded(b, r, b.latestAt); ended {
			continue
		}
		if _, stopped := h.stopped[r.Issuer]; stopped {
			continue
		}
		if _, ok := b.confirmedUnsent[r.OrderID]; ok {
			continue
		}
		b.issuerQueriedAt[r.OrderID] = now
		h.emit(QueryUnsent{OrderID: r.OrderID, Issuer: r.Issuer, Name: r.IssuerName, Address: r.IssuerAddress})
	}
}

// unsentAnswered records that an order can no longer reach the engine.
func (h *Host) unsentAnswered(now time.Time, e UnsentAnswered) {
	if !e.WillNotSend {
		return
	}
	for _, b := range h.backends {
		i := findOrder(b.record, e.OrderID)
		if i < 0 || b.record.Reservations[i].Issuer != e.Issuer {
			continue
		}
		if _, ok := b.confirmedUnsent[e.OrderID]; !ok {
			b.confirmedUnsent[e.OrderID] = now
			b.observeAt = now
		}
	}
}

// findLoaded returns the entry of a model version in an observation.
func findLoaded(o model.Observation, key model.ModelKey) (model.LoadedModel, bool) {
	i := slices.IndexFunc(o.Models, func(m model.LoadedModel) bool { return m.Key == key })
	if i < 0 {
		return model.LoadedModel{}, false
	}
	return o.Models[i], true
}
