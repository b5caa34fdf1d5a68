package ledger

import (
	"slices"
	"time"

	"citronspread/model"
)

// watchOwner takes over a backend server that this host should own, once its owner can be replaced.
// It also writes the records of backend servers that it does not own where a raise of the term is due.
func (h *Host) watchOwner(now time.Time, b *backend) {
	eligible := !h.shuttingDown && h.peers != nil && h.shouldOwn(now, b)
	if eligible && now.Sub(b.sync.readAt) >= pollInterval {
		b.sync.readDue = true
	}
	if !b.sync.idle(now) {
		return
	}
	if eligible && h.mayTakeOver(now, b) {
		next := cloneBackend(b.record)
		next.Owner, next.OwnerName, next.OwnerAddress = h.Incarnation, h.Name, h.Address
		next.Term++
		h.writeBackend(now, b, next)
		return
	}
	if b.targetTerm > b.record.Term {
		next := cloneBackend(b.record)
		next.Term = b.targetTerm
		next.Owner, next.OwnerName, next.OwnerAddress = "", "", ""
		h.writeBackend(now, b, next)
		return
	}
	if b.sync.rewriteDue {
		h.writeBackend(now, b, cloneBackend(b.record))
	}
}

// shouldOwn reports whether this host should own a backend server.
func (h *Host) shouldOwn(now time.Time, b *backend) bool {
	if b.orphan && h.isRemoved(now, b) {
		return true
	}
	return b.assigned && b.assignment.Owner == h.Name && b.unlistedSince.IsZero()
}

// mayTakeOver reports whether the recorded owner may be replaced. Replacing an owner is always safe;
// doing it too early only costs an unnecessary change of owner.
func (h *Host) mayTakeOver(now time.Time, b *backend) bool {
	r := b.record
	if r.Owner == "" {
		return true
	}
	if r.OwnerAddress == h.Address {
		h.markStopped(now, r.Owner) // this host now uses its address
	}
	if _, stopped := h.stopped[r.Owner]; stopped {
		return true
	}
	if _, live := h.peers[r.Owner]; live {
		b.ownerMissingSince = time.Time{}
		return h.handoverOverdue(now, b)
	}
	if b.ownerMissingSince.IsZero() {
		b.ownerMissingSince = now
	}
	return now.Sub(b.ownerMissingSince) >= takeoverDelay
}

// handoverOverdue reports whether a live owner has not handed over within ownerTimeout.
// Such an owner may not have read yet that the record names it.
func (h *Host) handoverOverdue(now time.Time, b *backend) bool {
	if b.handoverOwner != b.record.Owner || b.handoverSince.IsZero() {
		b.handoverOwner, b.handoverSince = b.record.Owner, now
	}
	return now.Sub(b.handoverSince) >= ownerTimeout
}

// planRelease hands a backend server over if another host should own it or this one is shutting down.
func (h *Host) planRelease(now time.Time, b *backend, next *model.BackendRecord) bool {
	if !h.shuttingDown && !h.successorLive(now, b) || !h.quiescent(now, b) {
		return false
	}
	if now.Sub(b.sync.readAt) >= pollInterval {
		b.sync.readDue = true // close orders for a handover only while the store responds
		return false
	}
	for key, i := range b.intents {
		h.orders.close(i.orderID)
		delete(b.intents, key)
		h.model(key).slotCheckDue = true
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

// successorLive reports whether the other host that should own a backend server has been live for handoverDelay.
func (h *Host) successorLive(now time.Time, b *backend) bool {
	if !b.assigned || b.assignment.Owner == h.Name || !b.unlistedSince.IsZero() {
		return false
	}
	for _, p := range h.peers {
		if p.Name == b.assignment.Owner && !p.Leaving && now.Sub(p.since) >= handoverDelay {
			return true
		}
	}
	return false
}

// quiescent reports whether no order that this host has sent can still reach the engine.
func (h *Host) quiescent(now time.Time, b *backend) bool {
	for _, d := range b.drains {
		if d.orderID != "" {
			return false
		}
	}
	for _, r := range b.record.Reservations {
		if r.Issuer != h.Incarnation || h.orders.open(r.OrderID) || b.arrived[r.OrderID] {
			continue
		}
		if ended, _ := h.orders.sendEnded(r.OrderID, now); !ended {
			return false
		}
	}
	return true
}

// setListed records whether a backend server is in the host list.
func (b *backend) setListed(now time.Time, listed bool) {
	if listed {
		b.unlistedSince, b.orphan = time.Time{}, false
	} else if b.unlistedSince.IsZero() {
		b.unlistedSince = now
	}
}

// isRemoved reports whether a backend server has been neither listed nor observed for long enough to count as removed.
func (h *Host) isRemoved(now time.Time, b *backend) bool {
	if b.unlistedSince.IsZero() {
		return false
	}
	since := b.unlistedSince
	if b.latestAt.After(since) {
		since = b.latestAt
	}
	return now.Sub(since) >= removalDelay+h.MaxOrderDelay
}

// planRemoved clears the record of a removed backend server and then gives up its ownership.
// A new backend server of the same name may appear, and a late order may reach it, so a reservation whose order
// can still arrive stays with its slot. The higher term allows any host to free the slots.
func (h *Host) planRemoved(now time.Time, b *backend, next *model.BackendRecord) bool {
	next.Reservations = slices.DeleteFunc(next.Reservations, func(r model.Reservation) bool {
		h.orders.close(r.OrderID)
		ended, _ := h.sendEnded(b, r, now)
		return ended || r.State == model.ReservationLoaded
	})
	if len(next.Reservations) > 0 {
		return len(next.Reservations) < len(b.record.Reservations)
	}
	next.Term++
	next.Owner, next.OwnerName, next.OwnerAddress = "", "", ""
	return true
}

// Released reports whether a graceful shutdown has begun and every owned backend server has been handed over.
func (h *Host) Released() bool {
	for _, b := range h.backends {
		if h.owns(b) || b.sync.writing {
			return false
		}
	}
	return h.shuttingDown
}
