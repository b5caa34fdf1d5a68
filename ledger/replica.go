package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronspread/model"
)

const (
	drainNoticeTime = 2 * time.Second  // routers stop sending requests to a draining replica within this time
	usageMaxAge     = time.Second      // maximum age of the routers' counts when they are reported
	maxDrainTime    = 10 * time.Minute // requests that run longer are interrupted by the unload
)

// loadRequest is a requested replica that is not loaded yet.
type loadRequest struct {
	since    time.Time
	adapters []string
}

// intent is a reservation that is not recorded yet. Its slot is bound first, in the model record.
type intent struct {
	orderID  string
	slotID   int // noSlot until the model record shows it bound
	standing bool
	adapters []string
	since    time.Time
}

// usage is the number of requests that the routers have running on a replica.
type usage struct {
	count      int
	reportedAt time.Time
}

// drain is the draining of a replica: routers send it no new requests until it is unloaded.
type drain struct {
	since   time.Time
	orderID string // the unload order, set when the change of the reservation is written
	surplus bool   // the replica is beyond the decided number of replicas or has no slot
}

func compareKeys(a, b model.ModelKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

func (h *Host) loadRequested(now time.Time, e LoadRequested) {
	b, ok := h.backends[e.Backend]
	if !ok || !h.owns(b) || h.shuttingDown || !b.unlistedSince.IsZero() {
		h.emit(LoadRefused{Key: e.Key, Backend: e.Backend, Reason: RefusedNotOwner})
		return
	}
	if d, ok := b.drains[e.Key]; ok && d.orderID == "" && !d.surplus {
		delete(b.drains, e.Key)
	}
	if i := findKey(b.record, e.Key); i >= 0 && b.record.Reservations[i].State == model.ReservationLoaded {
		return
	}
	if _, ok := b.loadRequests[e.Key]; !ok {
		b.loadRequests[e.Key] = loadRequest{since: now, adapters: e.Adapters}
	}
}

func (h *Host) unloadRequested(now time.Time, e UnloadRequested) {
	b, ok := h.backends[e.Backend]
	if !ok || !h.owns(b) {
		return
	}
	delete(b.loadRequests, e.Key)
	if i := findKey(b.record, e.Key); i < 0 || h.isOpenStanding(b.record.Reservations[i]) {
		return
	}
	if _, ok := b.drains[e.Key]; !ok {
		b.drains[e.Key] = &drain{since: now}
	}
}

// usageReported records how many requests the routers have running on a replica.
func (h *Host) usageReported(now time.Time, e UsageReported) {
	if b, ok := h.backends[e.Backend]; ok && h.owns(b) {
		b.running[e.Key] = usage{count: e.Running, reportedAt: now}
	}
}

// planIntents creates intents for load requests and standing reservations. It refuses the load requests that can't be met.
func (h *Host) planIntents(now time.Time, b *backend) {
	if h.shuttingDown || !b.unlistedSince.IsZero() {
		for _, key := range sortedKeys(b.loadRequests) {
			h.refuseLoad(b, key, RefusedNotOwner)
		}
		return
	}
	for _, key := range sortedKeys(b.loadRequests) {
		h.planLoad(now, b, key)
	}
	for _, key := range h.standing[b.name] {
		if findKey(b.record, key) < 0 && b.intents[key] == nil && h.canReserveStanding(now, b, key) {
			h.addIntent(now, b, key, true, nil)
		}
	}
	for _, key := range sortedKeys(b.intents) {
		if now.Sub(b.intents[key].since) >= intentTimeout {
			h.dropIntent(b, key, RefusedTooLate)
		}
	}
}

// planLoad creates an intent for one load request or refuses it.
func (h *Host) planLoad(now time.Time, b *backend, key model.ModelKey) {
	if findKey(b.record, key) >= 0 {
		if h.isSurplus(b, key) {
			h.refuseLoad(b, key, RefusedNoSlot)
		}
		return
	}
	if i := b.intents[key]; i != nil {
		i.standing = false
		return
	}
	if !b.observed || b.record.MemoryBytes == 0 {
		if now.Sub(b.loadRequests[key].since) >= intentTimeout {
			h.refuseLoad(b, key, RefusedTooLate)
		}
		return
	}
	if h.model(key).bytes == 0 {
		h.refuseLoad(b, key, RefusedFailed)
		return
	}
	if !fits(b.record, h.model(key).bytes+intentBytes(h, b)) {
		h.refuseLoad(b, key, RefusedNoMemory)
		return
	}
	h.addIntent(now, b, key, false, b.loadRequests[key].adapters)
}

// canReserveStanding reports whether memory and a slot are free for a standing reservation.
func (h *Host) canReserveStanding(now time.Time, b *backend, key model.ModelKey) bool {
	m := h.model(key)
	if !b.observed || m.bytes == 0 || !m.sync.known {
		m.slotCheckDue = true
		return false
	}
	if now.Sub(m.sync.readAt) >= leaderReadInterval {
		m.sync.readDue = true
	}
	return fits(b.record, m.bytes+intentBytes(h, b)) && m.record.UsedSlots() < m.decidedReplicas(h)
}

// intentBytes returns the total memory of all intents of a backend server.
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

// dropIntent removes an intent and refuses its load request, if there is one.
func (h *Host) dropIntent(b *backend, key model.ModelKey, reason RefusalReason) {
	h.orders.close(b.intents[key].orderID)
	delete(b.intents, key)
	h.model(key).slotCheckDue = true
	h.refuseLoad(b, key, reason)
}

// refuseLoad removes a load request, if there is one, and reports the reason.
func (h *Host) refuseLoad(b *backend, key model.ModelKey, reason RefusalReason) {
	if _, ok := b.loadRequests[key]; !ok {
		return
	}
	delete(b.loadRequests, key)
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

// isDrained reports whether a draining replica runs no more requests, or maxDrainTime has passed.
func (h *Host) isDrained(now time.Time, b *backend, key model.ModelKey, d *drain) bool {
	if now.Sub(d.since) >= maxDrainTime {
		return true
	}
	if u, reported := b.running[key]; reported && (u.count > 0 || u.reportedAt.Sub(d.since) < drainNoticeTime+usageMaxAge) {
		return false
	}
	m, found := findLoaded(b.latest, key)
	return found && m.Running == 0 && b.latestAt.Sub(d.since) >= drainNoticeTime
}

// planStanding removes the standing reservations that are no longer needed.
func (h *Host) planStanding(b *backend, next *model.BackendRecord) bool {
	before := len(next.Reservations)
	next.Reservations = slices.DeleteFunc(next.Reservations, func(r model.Reservation) bool {
		if !h.isOpenStanding(r) || findOrder(b.record, r.OrderID) < 0 {
			return false
		}
		if _, requested := b.loadRequests[r.Key]; requested || h.needsStanding(b, r.Key) {
			return false
		}
		h.orders.close(r.OrderID)
		return true
	})
	return len(next.Reservations) < before
}

// needsStanding reports whether a standing reservation is requested and within the decided number of replicas.
func (h *Host) needsStanding(b *backend, key model.ModelKey) bool {
	return slices.Contains(h.standing[b.name], key) && !h.isSurplus(b, key)
}
