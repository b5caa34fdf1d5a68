package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronspread/model"
)

// Limits of a drain.
const (
	drainTime  = 2 * time.Second  // routers learn of a draining replica within this time
	reportTime = time.Second      // routers' counts are at most that old when they are told
	drainLimit = 10 * time.Minute // an unload cuts requests that run longer
)

// want is a replica that was asked for.
type want struct {
	since    time.Time
	adapters []string
}

// intent is a reservation that is not recorded yet. Its slot is bound first.
type intent struct {
	orderID  string
	slotID   int // noSlot until the model record shows it bound
	standing bool
	adapters []string
	since    time.Time
}

// use is how many requests the routers have running on a replica.
type use struct {
	count  int
	toldAt time.Time
}

// drain is a replica that gets no new work until it is unloaded.
type drain struct {
	since   time.Time
	orderID string // the unload order, once its reservation was proposed
	surplus bool   // it is beyond the decided number
}

func compareKeys(a, b model.ModelKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

func (h *Host) loadWanted(now time.Time, e LoadWanted) {
	b, ok := h.backends[e.Backend]
	if !ok || !h.owns(b) || h.stopping || !b.goneAt.IsZero() {
		h.emit(LoadRefused{Key: e.Key, Backend: e.Backend, Reason: RefusedNotOwner})
		return
	}
	if d, ok := b.drains[e.Key]; ok && d.orderID == "" && !d.surplus {
		delete(b.drains, e.Key)
	}
	if i := findKey(b.record, e.Key); i >= 0 && b.record.Reservations[i].State == model.ReservationLoaded {
		return
	}
	if _, ok := b.wants[e.Key]; !ok {
		b.wants[e.Key] = want{since: now, adapters: e.Adapters}
	}
}

func (h *Host) unloadWanted(now time.Time, e UnloadWanted) {
	b, ok := h.backends[e.Backend]
	if !ok || !h.owns(b) {
		return
	}
	delete(b.wants, e.Key)
	if i := findKey(b.record, e.Key); i < 0 || h.isOpenStanding(b.record.Reservations[i]) {
		return
	}
	if _, ok := b.drains[e.Key]; !ok {
		b.drains[e.Key] = &drain{since: now}
	}
}

// replicaUsed notes how many requests the routers have running on a replica.
func (h *Host) replicaUsed(now time.Time, e ReplicaUsed) {
	if b, ok := h.backends[e.Backend]; ok && h.owns(b) {
		b.running[e.Key] = use{count: e.Running, toldAt: now}
	}
}

// planIntents turns wants into intents and gives up those that can't be met.
func (h *Host) planIntents(now time.Time, b *backend) {
	if h.stopping || !b.goneAt.IsZero() {
		for _, key := range sortedKeys(b.wants) {
			h.refuse(b, key, RefusedNotOwner)
		}
		return
	}
	for _, key := range sortedKeys(b.wants) {
		h.planWant(now, b, key)
	}
	for _, key := range h.standing[b.name] {
		if findKey(b.record, key) < 0 && b.intents[key] == nil && h.hasRoom(now, b, key) {
			h.addIntent(now, b, key, true, nil)
		}
	}
	for _, key := range sortedKeys(b.intents) {
		if now.Sub(b.intents[key].since) >= intentTimeout {
			h.dropIntent(b, key, RefusedTooLate)
		}
	}
}

// planWant deals with one wanted replica.
func (h *Host) planWant(now time.Time, b *backend, key model.ModelKey) {
	if findKey(b.record, key) >= 0 {
		if h.isSurplus(b, key) {
			h.refuse(b, key, RefusedNoSlot)
		}
		return
	}
	if i := b.intents[key]; i != nil {
		i.standing = false
		return
	}
	if !b.answered || b.record.MemoryBytes == 0 {
		if now.Sub(b.wants[key].since) >= intentTimeout {
			h.refuse(b, key, RefusedTooLate)
		}
		return
	}
	if h.model(key).bytes == 0 {
		h.refuse(b, key, RefusedFailed)
		return
	}
	if !fits(b.record, h.model(key).bytes+intentBytes(h, b)) {
		h.refuse(b, key, RefusedNoMemory)
		return
	}
	h.addIntent(now, b, key, false, b.wants[key].adapters)
}

// hasRoom reports whether a standing reservation can be tried.
func (h *Host) hasRoom(now time.Time, b *backend, key model.ModelKey) bool {
	m := h.model(key)
	if !b.answered || m.bytes == 0 || !m.cell.known {
		m.check = true
		return false
	}
	if now.Sub(m.cell.readAt) >= leadInterval {
		m.cell.readWanted = true
	}
	return fits(b.record, m.bytes+intentBytes(h, b)) && m.record.Used() < m.decided(h)
}

// intentBytes returns the memory that all intents will take.
func intentBytes(h *Host, b *backend) int64 {
	var sum int64
	for key := range b.intents {
		sum += h.model(key).bytes
	}
	return sum
}

func (h *Host) addIntent(now time.Time, b *backend, key model.ModelKey, standing bool, adapters []string) {
	if adapters == nil {
		adapters = h.model(key).adapters
	}
	b.intents[key] = &intent{orderID: h.newOrder(), slotID: noSlot, standing: standing, adapters: adapters, since: now}
}

// dropIntent gives up a reservation that is not recorded yet.
func (h *Host) dropIntent(b *backend, key model.ModelKey, reason RefusalReason) {
	h.orders.close(b.intents[key].orderID)
	delete(b.intents, key)
	h.model(key).check = true
	h.refuse(b, key, reason)
}

// refuse gives up a wanted replica.
func (h *Host) refuse(b *backend, key model.ModelKey, reason RefusalReason) {
	if _, ok := b.wants[key]; !ok {
		return
	}
	delete(b.wants, key)
	h.emit(LoadRefused{Key: key, Backend: b.name, Reason: reason})
}

// planReserve records reservations for the intents whose slots are bound.
func (h *Host) planReserve(b *backend, next *model.BackendRecord) bool {
	changed := false
	for _, key := range sortedKeys(b.intents) {
		i := b.intents[key]
		if i.slotID == noSlot || findKey(*next, key) >= 0 || findKey(b.record, key) >= 0 {
			continue
		}
		bytes := h.model(key).bytes
		if !fits(*next, bytes) {
			h.dropIntent(b, key, RefusedNoMemory)
			continue
		}
		state := model.ReservationLoading
		if i.standing {
			state = model.ReservationStanding
		}
		next.Reservations = append(next.Reservations, model.Reservation{
			Key: key, Bytes: bytes, State: state, OrderID: i.orderID, SlotID: i.slotID, Term: next.Term, Adapters: i.adapters,
			Issuer: h.Incarnation, IssuerName: h.Name, IssuerAddress: h.Address,
		})
		changed = true
	}
	return changed
}

// planUnload records unloads for replicas that have been drained.
func (h *Host) planUnload(now time.Time, b *backend, next *model.BackendRecord) bool {
	changed := false
	for i, r := range next.Reservations {
		d := b.drains[r.Key]
		if r.SlotID == noSlot && d == nil {
			d = &drain{since: now, surplus: true}
			b.drains[r.Key] = d
		}
		if d == nil || r.State != model.ReservationLoaded || !h.isDrained(now, b, r.Key, d) {
			continue
		}
		if d.orderID == "" {
			d.orderID = h.newOrder()
		}
		next.Reservations[i].State, next.Reservations[i].OrderID = model.ReservationUnloading, d.orderID
		next.Reservations[i].Term = next.Term
		next.Reservations[i].Issuer, next.Reservations[i].IssuerName, next.Reservations[i].IssuerAddress = h.Incarnation, h.Name, h.Address
		changed = true
	}
	for key := range b.drains {
		if findKey(b.record, key) < 0 {
			delete(b.drains, key)
		}
	}
	return changed
}

// isDrained reports whether a draining replica runs no request any more, or has had all the time there is.
func (h *Host) isDrained(now time.Time, b *backend, key model.ModelKey, d *drain) bool {
	if now.Sub(d.since) >= drainLimit {
		return true
	}
	if u, told := b.running[key]; told && (u.count > 0 || u.toldAt.Sub(d.since) < drainTime+reportTime) {
		return false
	}
	m, found := findLoaded(b.latest, key)
	return found && m.Running == 0 && b.latestAt.Sub(d.since) >= drainTime
}

// planStanding gives up standing reservations that nobody wants any more.
func (h *Host) planStanding(b *backend, next *model.BackendRecord) bool {
	before := len(next.Reservations)
	next.Reservations = slices.DeleteFunc(next.Reservations, func(r model.Reservation) bool {
		if !h.isOpenStanding(r) || findOrder(b.record, r.OrderID) < 0 {
			return false
		}
		if _, wanted := b.wants[r.Key]; wanted || h.wantsStanding(b, r.Key) {
			return false
		}
		h.orders.close(r.OrderID)
		return true
	})
	return len(next.Reservations) < before
}

// wantsStanding reports whether a standing reservation is wanted and within the decided number.
func (h *Host) wantsStanding(b *backend, key model.ModelKey) bool {
	return slices.Contains(h.standing[b.name], key) && !h.isSurplus(b, key)
}
