package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"citronspread/model"
)

const (
	leaderReadInterval    = 15 * time.Second // between two reads of a model record by the leader, or by an owner that may add a standing reservation
	verifyInterval        = 60 * time.Second // between two searches by the leader for slots without a reservation
	starvedVerifyInterval = 2 * time.Second  // the same, on any host whose load needed a slot when none was free
	surplusMaxAge         = 2 * time.Second  // maximum age of the known model record when replicas in surplus slots are drained
)

// modelState is a Host's view of one model version.
type modelState struct {
	key              model.ModelKey
	sync             recordSync
	record           model.ModelRecord
	sources          []model.Source
	bytes            int64
	adapters         []string
	leader           bool
	sourcesChangedAt time.Time // when the configuration was last received
	slotCheckDue     bool      // slots may have to be freed
	nextVerify       time.Time
	unreservedSince  map[string]time.Time // per order: since when its slot has been seen without a reservation
	starved          bool                 // a load needed a slot and none was free
	hasOwnedReplica  bool                 // an owned backend server has a reservation or an intent for the model
	hasUnboundIntent bool                 // an intent has no slot yet

	surplusIDs   []int // used slots beyond the decided number of replicas
	surplusKnown bool  // surplusIDs and sourcesStale are up to date
	sourcesStale bool  // the record's sources are older than the known configuration
}

// model returns the state of a model version and creates it if needed.
func (h *Host) model(key model.ModelKey) *modelState {
	m, ok := h.models[key]
	if !ok {
		m = &modelState{key: key, sync: newRecordSync("model/" + key.String()), record: model.ModelRecord{Key: key}, unreservedSince: map[string]time.Time{}}
		h.models[key] = m
	}
	return m
}

// decidedReplicas returns the number of replicas that the record and the known configuration decide together.
func (m *modelState) decidedReplicas(h *Host) int {
	return decidedBy(mergeSources(m.record.Sources, m.sources, h.records))
}

// surplus returns the IDs of the used slots beyond the decided number of replicas.
func (m *modelState) surplus(h *Host) []int {
	if !m.surplusKnown {
		merged := mergeSources(m.record.Sources, m.sources, h.records)
		m.surplusIDs, m.surplusKnown = surplusSlots(m.record, decidedBy(merged)), true
		m.sourcesStale = !slices.Equal(merged, m.record.Sources)
	}
	return m.surplusIDs
}

// adoptModel applies newer content of the record; nil content means that the record does not exist.
func (h *Host) adoptModel(m *modelState, content []byte) {
	record := model.ModelRecord{Key: m.key}
	if content != nil {
		if err := json.Unmarshal(content, &record); err != nil {
			h.reportViolation("record readable", "%s: %v", m.sync.key, err)
			return
		}
	}
	m.record, m.slotCheckDue, m.surplusKnown = record, true, false
	maps.DeleteFunc(m.unreservedSince, func(id string, _ time.Time) bool {
		return !slices.ContainsFunc(record.Slots, func(s model.Slot) bool { return s.OrderID == id })
	})
	h.updateIntentSlots(m)
}

// updateIntentSlots sets the slot of each intent from the record.
func (h *Host) updateIntentSlots(m *modelState) {
	for _, b := range h.backends {
		i := b.intents[m.key]
		if i == nil {
			continue
		}
		i.slotID = noSlot
		for _, s := range m.record.Slots {
			if s.State != model.SlotFree && s.Backend == b.name && s.Term == b.record.Term && s.OrderID == i.orderID {
				i.slotID = s.ID
			}
		}
	}
}

// reconcileModel takes the steps for one model record that are due.
func (h *Host) reconcileModel(now time.Time, m *modelState) {
	m.sync.expire(now)
	h.scheduleRead(now, m)
	if m.sync.idle(now) && (m.slotCheckDue || m.hasUnboundIntent || m.sync.rewriteDue || h.verifyDue(now, m)) {
		h.planModel(now, m)
	}
	h.actions = append(h.actions, m.sync.read(now, h.nextToken)...)
}

// markOwnedReplicas marks the models that have a reservation or an intent on an owned backend server.
func (h *Host) markOwnedReplicas() {
	for _, m := range h.models {
		m.hasOwnedReplica, m.hasUnboundIntent = false, false
	}
	for _, b := range h.sortedBackends() {
		if !h.owns(b) {
			continue
		}
		for _, r := range b.record.Reservations {
			h.model(r.Key).hasOwnedReplica = true
		}
		for key, i := range b.intents {
			m := h.model(key)
			m.hasOwnedReplica = true
			m.hasUnboundIntent = m.hasUnboundIntent || i.slotID == noSlot
		}
	}
}

// scheduleSlotChecks schedules a check of the slots that a change of a backend record may affect.
func (h *Host) scheduleSlotChecks(b *backend, old, record model.BackendRecord) {
	for _, r := range slices.Concat(old.Reservations, record.Reservations) {
		h.model(r.Key).slotCheckDue = true
	}
	for _, m := range h.models {
		m.slotCheckDue = m.slotCheckDue || slices.ContainsFunc(m.record.Slots, func(s model.Slot) bool { return s.Backend == b.name })
	}
}

// scheduleRead schedules a read of the record if the known revision may be too old.
func (h *Host) scheduleRead(now time.Time, m *modelState) {
	if !m.sync.known {
		if m.hasOwnedReplica || m.leader || m.slotCheckDue {
			m.sync.readDue = true
		}
		return
	}
	age := now.Sub(m.sync.readAt)
	if m.hasOwnedReplica && age >= surplusMaxAge {
		m.surplus(h)
		m.sync.readDue = m.sync.readDue || m.sourcesStale // slots may still be bound under the older number of replicas
	}
	if m.leader && age >= leaderReadInterval || m.hasOwnedReplica && age >= ownedReadInterval || m.hasOwnedReplica && m.sync.readAt.Before(m.sourcesChangedAt) {
		m.sync.readDue = true
	}
}

// planModel writes the record if a change of it is due.
func (h *Host) planModel(now time.Time, m *modelState) {
	next := cloneModel(m.record)
	next.Sources = mergeSources(m.record.Sources, m.sources, h.records)
	changed := m.leader && !slices.Equal(next.Sources, m.record.Sources)
	changed = h.freeSlots(now, m, &next) || changed
	changed = h.bindSlots(now, m, &next) || changed
	m.slotCheckDue = changed || h.hasUnfreedSlot(m)
	if !changed && !m.sync.rewriteDue {
		return
	}
	fitSlots(&next)
	if next.UsedSlots() > max(next.DecidedReplicas(), m.record.UsedSlots()) {
		h.reportViolation("slots within the decided number", "%s: %d used of %d", m.sync.key, next.UsedSlots(), next.DecidedReplicas())
		return
	}
	next.Nonce = h.uniqueID()
	value, err := json.Marshal(next)
	if err != nil {
		h.reportViolation("record writable", "%s: %v", m.sync.key, err)
		return
	}
	h.emit(m.sync.write(now, h.nextToken(), value))
}

// verifyDue reports whether it is time to search for slots without a reservation.
func (h *Host) verifyDue(now time.Time, m *modelState) bool {
	return (m.leader || m.starved) && !now.Before(m.nextVerify)
}

// freeSlots frees the slots whose reservation does not exist and can't be written any more.
func (h *Host) freeSlots(now time.Time, m *modelState, next *model.ModelRecord) bool {
	changed := false
	verify := h.verifyDue(now, m)
	if verify {
		m.starved = false
		m.nextVerify = now.Add(verifyInterval)
	}
	for i, s := range next.Slots {
		if s.State == model.SlotFree {
			continue
		}
		b, ok := h.backends[s.Backend]
		if verify && (!ok || !h.owns(b) || b.record.Term < s.Term) {
			b, ok = h.backend(now, s.Backend), true
			b.sync.readDue = true
			h.markOrphan(now, b, s)
			h.trackUnreserved(now, m, b, s)
		}
		if !ok || !b.sync.known {
			continue
		}
		if h.canFree(b, m.key, s) {
			next.Slots[i] = model.Slot{ID: s.ID, State: model.SlotFree}
			changed = true
			continue
		}
		if s.State == model.SlotAllotted && h.owns(b) && isLoaded(b.record, m.key) {
			next.Slots[i].State = model.SlotBound
			changed = true
		}
	}
	return changed
}

// trackUnreserved tracks a slot that has no reservation although its term is the owner's or a later one. The owner frees
// such a slot within seconds, unless it comes from a store restored from a backup. Then the owner is replaced after ownerTimeout.
func (h *Host) trackUnreserved(now time.Time, m *modelState, b *backend, s model.Slot) {
	if !b.sync.known || b.record.Term > s.Term || holdsSlot(b.record, m.key, s.ID) {
		delete(m.unreservedSince, s.OrderID)
		return
	}
	since, ok := m.unreservedSince[s.OrderID]
	if !ok {
		m.unreservedSince[s.OrderID] = now
	} else if now.Sub(since) >= ownerTimeout {
		b.targetTerm = max(b.record.Term, s.Term) + 1
	}
}

// markOrphan marks a backend server that a slot of this zone is bound to and that is not in the host list.
func (h *Host) markOrphan(now time.Time, b *backend, s model.Slot) {
	if h.listed == nil || s.Zone != h.Zone || h.listed[b.name] {
		return
	}
	b.setListed(now, false)
	b.orphan = true
}

// canFree reports whether a slot's reservation does not exist and can't be written any more.
func (h *Host) canFree(b *backend, key model.ModelKey, s model.Slot) bool {
	if holdsSlot(b.record, key, s.ID) {
		return false
	}
	if b.record.Term > s.Term {
		return true
	}
	if b.record.Term < s.Term || !h.owns(b) || !b.sync.writesResolved() {
		return false
	}
	i := b.intents[key]
	return i == nil || i.orderID != s.OrderID
}

// hasUnfreedSlot reports whether a slot of an owned backend server is unused but could not be freed yet,
// for example because a write in progress or of unknown outcome may still record its reservation.
func (h *Host) hasUnfreedSlot(m *modelState) bool {
	for _, s := range m.record.Slots {
		b, ok := h.backends[s.Backend]
		if !ok || s.State == model.SlotFree || !h.owns(b) || holdsSlot(b.record, m.key, s.ID) {
			continue
		}
		if i := b.intents[m.key]; i == nil || i.orderID != s.OrderID {
			return true
		}
	}
	return false
}

// bindSlots binds slots to the intents that have none.
func (h *Host) bindSlots(now time.Time, m *modelState, next *model.ModelRecord) bool {
	changed := false
	for _, b := range h.sortedBackends() {
		i := b.intents[m.key]
		if i == nil || i.slotID != noSlot || !h.owns(b) {
			continue
		}
		slot := model.Slot{State: model.SlotBound, Zone: h.Zone, Backend: b.name, Term: b.record.Term, OrderID: i.orderID}
		if i.standing {
			slot.State = model.SlotAllotted
		}
		if bindSlot(next, slot) == noSlot {
			if m.sync.readAt.Before(i.since) {
				m.sync.readDue = true // other hosts may have freed slots
				continue
			}
			h.dropIntent(b, m.key, RefusedNoSlot)
			m.starved = true
			m.nextVerify = earlier(m.nextVerify, now.Add(starvedVerifyInterval))
			continue
		}
		changed = true
	}
	return changed
}

// drainSurplus drains the replicas of an owned backend server that are beyond the decided number of replicas.
func (h *Host) drainSurplus(now time.Time, b *backend) {
	for _, r := range b.record.Reservations {
		m := h.model(r.Key)
		if !m.sync.known || r.SlotID == noSlot {
			continue
		}
		d := b.drains[r.Key]
		if !slices.Contains(m.surplus(h), r.SlotID) {
			if d != nil && d.surplus && d.orderID == "" {
				delete(b.drains, r.Key)
			}
			continue
		}
		if now.Sub(m.sync.readAt) > surplusMaxAge {
			m.sync.readDue = true
		} else if d == nil && !h.isOpenStanding(r) {
			b.drains[r.Key] = &drain{since: now, surplus: true}
		}
	}
}

// isSurplus reports whether a reservation's slot is beyond the decided number of replicas.
func (h *Host) isSurplus(b *backend, key model.ModelKey) bool {
	m := h.model(key)
	i := findKey(b.record, key)
	if i < 0 || !m.sync.known {
		return false
	}
	slotID := b.record.Reservations[i].SlotID
	return slices.Contains(m.surplus(h), slotID)
}

func isLoaded(r model.BackendRecord, key model.ModelKey) bool {
	i := findKey(r, key)
	return i >= 0 && r.Reservations[i].State == model.ReservationLoaded
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
