package ledger

import (
	"slices"
	"time"

	"citronspread/model"
)

// confirmTime is how long a confirmed ownership counts for binding lost slots again.
const confirmTime = 2 * time.Second

// noteRestored keeps what this host owned, when the store has come back with older data.
func (h *Host) noteRestored(b *backend) {
	if !b.cell.restored {
		return
	}
	b.cell.restored = false
	if b.salvage == nil && b.record.Owner == h.Incarnation {
		owned := cloneBackend(b.record)
		b.salvage = &owned
	}
	h.loseBackend(b)
	b.record = model.BackendRecord{}
}

// salvageBackend takes a backend server over again, with the reservations of both records.
func (h *Host) salvageBackend(now time.Time, b *backend) {
	if !b.cell.idle(now) {
		return
	}
	next := cloneBackend(b.record)
	next.Owner, next.OwnerName, next.OwnerAddress = h.Incarnation, h.Name, h.Address
	next.Term = max(next.Term, b.salvage.Term) + 1
	next.MemoryBytes = max(next.MemoryBytes, b.salvage.MemoryBytes)
	for _, r := range b.salvage.Reservations {
		i := findKey(next, r.Key)
		if i < 0 {
			next.Reservations = append(next.Reservations, r)
		} else if !h.isOthers(next.Reservations[i], b.salvage) {
			next.Reservations[i] = r
		}
	}
	h.writeBackend(now, b, next)
}

// isOthers reports whether another host has issued an order for a reservation since the store came back.
func (h *Host) isOthers(r model.Reservation, owned *model.BackendRecord) bool {
	return r.Issuer != "" && r.Issuer != h.Incarnation && findOrder(*owned, r.OrderID) < 0
}

// noteConfirmed notes that the store has taken a write of this host as the owner.
func (h *Host) noteConfirmed(now time.Time, b *backend, e StoreAnswered) {
	if e.Outcome != StoreApplied || !h.owns(b) {
		return
	}
	b.confirmedAt = now
	if !b.salvaging {
		return
	}
	b.salvaging, b.salvagedAt = false, now
	for _, r := range b.record.Reservations {
		h.model(r.Key).cell.readWanted = true
	}
}

// repairSlots binds the slots of reservations of owned backend servers again, which only a restored store loses.
func (h *Host) repairSlots(now time.Time, m *modelState, next *model.ModelRecord) bool {
	changed := false
	m.repairDue = false
	for _, b := range h.sortedBackends() {
		i := findKey(b.record, m.key)
		if !h.owns(b) || i < 0 || !m.mayHaveLostSlots(b) && next.Used() >= next.Decided() {
			continue
		}
		r := b.record.Reservations[i]
		at := slices.IndexFunc(next.Slots, func(s model.Slot) bool { return s.ID == r.SlotID })
		if r.SlotID == noSlot || at >= 0 && next.Slots[at].State != model.SlotFree {
			continue
		}
		if now.Sub(b.confirmedAt) > confirmTime {
			b.cell.touchWanted, m.repairDue = true, true
			continue
		}
		slot := model.Slot{ID: r.SlotID, State: model.SlotBound, Zone: h.Zone, Backend: b.name, Term: b.record.Term, OrderID: r.OrderID}
		if at < 0 {
			next.Slots = append(next.Slots, slot)
		} else {
			next.Slots[at] = slot
		}
		changed = true
	}
	return changed
}

// mayHaveLostSlots reports whether a restored store may have lost the slot of a reservation:
// it was noticed at this record, or at the backend server's record before this one was read.
func (m *modelState) mayHaveLostSlots(b *backend) bool {
	if !b.salvagedAt.IsZero() && !m.cell.readAt.Before(b.salvagedAt) {
		return true
	}
	return !m.restoredAt.IsZero()
}

// lostSlot reports whether a reservation's slot is not bound to its backend server any more.
func (m *modelState) lostSlot(b *backend, slotID int) bool {
	return !slices.ContainsFunc(m.record.Slots, func(s model.Slot) bool {
		return s.ID == slotID && s.State != model.SlotFree && s.Backend == b.name
	})
}
