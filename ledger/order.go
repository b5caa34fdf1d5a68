package ledger

import (
	"time"

	"citronspread/model"
)

// orderState is how far the issuer has come with an order.
type orderState int

const (
	orderOpen  orderState = iota // may be sent once its reservation is recorded
	orderSent                    // handed out, its sending may be under way
	orderEnded                   // its sending has ended, or ends by itself at endsAt
)

// order is an order that this incarnation issued. An order that is not in the table is never sent.
type order struct {
	state    orderState
	endsAt   time.Time
	answered bool // the engine answered, or no byte was written
}

// orderTable holds the orders issued by this incarnation.
type orderTable map[string]*order

// end records that the sending of an order ends at a time.
func (t orderTable) end(id string, at time.Time, answered bool) {
	if o, ok := t[id]; ok {
		o.state, o.endsAt, o.answered = orderEnded, at, answered
	}
}

// close makes sure that an order which is still open is never sent.
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

// over reports whether an order issued here can't reach an engine after the given time,
// and whether that is known from an answer instead of from a delay.
func (t orderTable) over(id string, at time.Time) (over, certain bool) {
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
	id := h.unique()
	h.orders[id] = &order{state: orderOpen}
	return id
}

// orderAnswered records the end of a sending.
func (h *Host) orderAnswered(now time.Time, e OrderAnswered) {
	if e.Outcome == OrderLost {
		h.orders.end(e.OrderID, now.Add(h.LongestOrderTime), false)
	} else {
		h.orders.end(e.OrderID, now, true)
	}
	for _, b := range h.backends {
		if b.record.Owner == h.Incarnation && findOrder(b.record, e.OrderID) >= 0 {
			b.observeAt = now
		}
	}
}

// unsentAsked answers another host. An open order is closed first, so that the answer stays true.
func (h *Host) unsentAsked(now time.Time, e UnsentAsked) {
	h.orders.close(e.OrderID)
	over, _ := h.orders.over(e.OrderID, now)
	h.emit(AnswerUnsent{Token: e.Token, OrderID: e.OrderID, WillNotSend: over})
}

// send hands out the orders whose reservation is recorded under this host's own term.
func (h *Host) send(b *backend) {
	for _, r := range b.record.Reservations {
		if r.Issuer != h.Incarnation || r.Term != b.record.Term || !h.orders.open(r.OrderID) {
			continue
		}
		kind := model.OrderLoad
		switch r.State {
		case model.ReservationUnloading:
			kind = model.OrderUnload
		case model.ReservationStanding:
			if _, wanted := b.wants[r.Key]; !wanted {
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
