package ledger

import (
	"slices"
	"time"

	"citronspread/model"
)

// watchOwner takes over a backend server when its owner is gone, if this host should own it.
func (h *Host) watchOwner(now time.Time, b *backend) {
	mine := !h.stopping && h.peers != nil && h.isMine(now, b)
	if mine && now.Sub(b.cell.readAt) >= pollInterval {
		b.cell.readWanted = true
	}
	if !b.cell.idle(now) {
		return
	}
	if mine && h.mayTakeOver(now, b) {
		next := cloneBackend(b.record)
		next.Owner, next.OwnerName, next.OwnerAddress = h.Incarnation, h.Name, h.Address
		next.Term++
		h.writeBackend(now, b, next)
		return
	}
	if b.evictTerm > b.record.Term {
		next := cloneBackend(b.record)
		next.Term = b.evictTerm
		next.Owner, next.OwnerName, next.OwnerAddress = "", "", ""
		h.writeBackend(now, b, next)
		return
	}
	if b.cell.touchWanted {
		h.writeBackend(now, b, cloneBackend(b.record))
	}
}

// isMine reports whether this host should own a backend server.
func (h *Host) isMine(now time.Time, b *backend) bool {
	if b.orphan && h.isGone(now, b) {
		return true
	}
	return b.assigned && b.assignment.Owner == h.Name && b.goneAt.IsZero()
}

// mayTakeOver reports whether the recorded owner can be succeeded. That is always safe, and too soon only a waste.
func (h *Host) mayTakeOver(now time.Time, b *backend) bool {
	r := b.record
	if r.Owner == "" {
		return true
	}
	if r.OwnerAddress == h.Address {
		h.markDead(now, r.Owner) // its address is this host's now
	}
	if _, dead := h.dead[r.Owner]; dead {
		return true
	}
	if _, live := h.peers[r.Owner]; live {
		b.missingAt = time.Time{}
		return h.waitedLong(now, b)
	}
	if b.missingAt.IsZero() {
		b.missingAt = now
	}
	return now.Sub(b.missingAt) >= takeoverDelay
}

// waitedLong reports whether a live owner has not handed over for long. It may not know that it is the owner.
func (h *Host) waitedLong(now time.Time, b *backend) bool {
	if b.waitFor != b.record.Owner || b.waitAt.IsZero() {
		b.waitFor, b.waitAt = b.record.Owner, now
	}
	return now.Sub(b.waitAt) >= patience
}

// planRelease hands a backend server over when another host should own it, or when this one stops.
func (h *Host) planRelease(now time.Time, b *backend, next *model.BackendRecord) bool {
	if !h.stopping && !h.successorLive(now, b) || !h.calm(now, b) {
		return false
	}
	if now.Sub(b.cell.readAt) >= pollInterval {
		b.cell.readWanted = true // orders are only closed for it while the store answers
		return false
	}
	for key, i := range b.intents {
		h.orders.close(i.orderID)
		delete(b.intents, key)
		h.model(key).check = true
	}
	clear(b.drains)
	for i, r := range next.Reservations {
		if r.Issuer == h.Incarnation {
			h.orders.close(r.OrderID)
			next.Reservations[i].Issuer = ""
		}
	}
	next.Owner, next.OwnerName, next.OwnerAddress = "", "", ""
	return true
}

// successorLive reports whether the host that should own a backend server has been live for long enough.
func (h *Host) successorLive(now time.Time, b *backend) bool {
	if !b.assigned || b.assignment.Owner == h.Name || !b.goneAt.IsZero() {
		return false
	}
	for _, p := range h.peers {
		if p.Name == b.assignment.Owner && !p.Leaving && now.Sub(p.since) >= handoverDelay {
			return true
		}
	}
	return false
}

// calm reports whether no order of this host can still reach the engine.
func (h *Host) calm(now time.Time, b *backend) bool {
	for _, d := range b.drains {
		if d.orderID != "" {
			return false
		}
	}
	for _, r := range b.record.Reservations {
		if r.Issuer != h.Incarnation || h.orders.open(r.OrderID) || b.arrived[r.OrderID] {
			continue
		}
		if over, _ := h.orders.over(r.OrderID, now); !over {
			return false
		}
	}
	return true
}

// noteListed notes whether the host list shows a backend server.
func (b *backend) noteListed(now time.Time, listed bool) {
	if listed {
		b.goneAt, b.orphan = time.Time{}, false
	} else if b.goneAt.IsZero() {
		b.goneAt = now
	}
}

// isGone reports whether a backend server has neither been listed nor answered for long.
func (h *Host) isGone(now time.Time, b *backend) bool {
	if b.goneAt.IsZero() {
		return false
	}
	since := b.goneAt
	if b.latestAt.After(since) {
		since = b.latestAt
	}
	return now.Sub(since) >= goneDelay+h.LongestOrderTime
}

// planGone clears the record of a backend server that is gone, and then gives it up.
// Another of that name may come, and a late order may reach it: what can still be sent keeps its slot.
// The higher term lets anybody free the slots.
func (h *Host) planGone(now time.Time, b *backend, next *model.BackendRecord) bool {
	next.Reservations = slices.DeleteFunc(next.Reservations, func(r model.Reservation) bool {
		h.orders.close(r.OrderID)
		over, _ := h.over(b, r, now)
		return over || r.State == model.ReservationLoaded
	})
	if len(next.Reservations) > 0 {
		return len(next.Reservations) < len(b.record.Reservations)
	}
	next.Term++
	next.Owner, next.OwnerName, next.OwnerAddress = "", "", ""
	return true
}

// Released reports whether a planned stop has handed over every owned backend server.
func (h *Host) Released() bool {
	for _, b := range h.backends {
		if h.owns(b) || b.cell.writing {
			return false
		}
	}
	return h.stopping
}
