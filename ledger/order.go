package ledger

import (
	"time"

	"citronspread/model"
)

// orderState is the state of an order in its issuer.
type orderState int

const (
	orderOpen  orderState = iota // may be sent once its reservation is recorded
	orderSent                    // a SendOrder was emitted; sending may be in progress
	orderEnded                   // sending has ended, or will have ended at endsAt
)

// order is an order issued by this incarnation. An order that is not in the table is never sent.
type order struct {
	state    orderState
	endsAt   time.Time // the order can't reach the engine after this time
	answered bool      // the engine responded, or no byte was written
}

// orderTable holds the orders issued by this incarnation, by ID.
type orderTable map[string]*order

// recordEnd records that the sending of an order ends at a time.
func (t orderTable) recordEnd(id string, at time.Time, answered bool) {
	if o, ok := t[id]; ok {
		o.state, o.endsAt, o.answered = orderEnded, at, answered
	}
}

// close removes an order that is still open, so that it is never sent.
func (t orderTable) close(id string) {
	if o, ok := t[id]; ok && o.state == orderOpen {
		delete(t, id)
	}
}

// open reports whether an order may be sent now.
func (t orderTable) open(id string) bool {
	o, ok := t[id]
	return ok && o.state == orderOpen
}

// sendEnded reports whether an order issued here can't reach an engine after the given time,
// and whether this is certain from a response rather than inferred from a delay.
func (t orderTable) sendEnded(id string, at time.Time) (ended, certain bool) {
	o, ok := t[id]
	if !ok {
		return true, true
	}
	if o.state != orderEnded || at.Before(o.endsAt) {
		return false, false
	}
	return true, o.answered
}

// newOrder opens an order and returns its ID.
func (h *Host) newOrder() string {
	id := h.uniqueID()
	h.orders[id] = &order{state: orderOpen}
	return id
}

// orderAnswered records the outcome of sending an order.
func (h *Host) orderAnswered(now time.Time, e OrderAnswered) {
	if e.Outcome == OrderLost {
		h.orders.recordEnd(e.OrderID, now.Add(h.MaxOrderDelay), false)
	} else {
		h.orders.recordEnd(e.OrderID, now, true)
	}
	for _, b := range h.backends {
		if b.record.Owner == h.Incarnation && findOrder(b.record, e.OrderID) >= 0 {
			b.observeAt = now
		}
	}
}

// unsentQueried replies to a query of another entry host. An open order is closed first, so that the reply stays true.
func (h *Host) unsentQueried(now time.Time, e UnsentQueried) {
	h.orders.close(e.OrderID)
	ended, _ := h.orders.sendEnded(e.OrderID, now)
	h.emit(AnswerUnsent{Token: e.Token, OrderID: e.OrderID, WillNotSend: ended})
}

// sendOrders emits the orders whose reservation is recorded under this host's own term.
func (h *Host) sendOrders(b *backend) {
	for _, r := range b.record.Reservations {
		if r.Issuer != h.Incarnation || r.Term != b.record.Term || !h.orders.open(r.OrderID) {
			continue
		}
		kind := model.OrderLoad
		switch r.State {
		case model.ReservationUnloading:
			kind = model.OrderUnload
		case model.ReservationStanding:
			if _, requested := b.loadRequests[r.Key]; !requested {
				continue
			}
		case model.ReservationLoaded:
			continue
		}
		h.orders[r.OrderID].state = orderSent
		b.epoch++
		h.emit(SendOrder{Backend: b.name, Order: model.Order{ID: r.OrderID, Kind: kind, Key: r.Key, Bytes: r.Bytes, Term: r.Term}})
	}
}
