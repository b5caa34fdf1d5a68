package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"citronspread/model"
)

const (
	observeInterval     = time.Second
	observeTimeout      = 3 * time.Second
	resolveConfirmDelay = time.Second // minimum time between the two observations that resolve an order whose sending is only inferred to have ended
	issuerQueryInterval = time.Second
	pollInterval        = 2 * time.Second  // between two reads of a record by the host that should own it; also the maximum age of the record at a handover
	ownedReadInterval   = 30 * time.Second // between two reads of a record by its owner
	takeoverDelay       = 3 * time.Second  // an owner that has been missing from the live peers for this long is replaced
	handoverDelay       = 5 * time.Second  // the assigned owner must have been live for this long before a handover to it
	ownerTimeout        = time.Minute      // a live owner is replaced if it has not handed over, or not freed an unused slot, for this long
	removalDelay        = 2 * time.Minute  // a backend server that has been neither listed nor observed for this long counts as removed
	sweepInterval       = 10 * time.Second
	unusedRetention     = 30 * time.Second // after this time the state of an unused backend server is removed
	intentTimeout       = 5 * time.Second  // an intent or load request that has no reservation after this time is dropped
)

// backend is a Host's view of one backend server. The maps are emptied when the owner or the term changes.
type backend struct {
	name              string
	sync              recordSync
	record            model.BackendRecord
	assignment        Assignment
	assigned          bool      // the newest BackendsChanged contains the assignment
	unlistedSince     time.Time // since when it has been missing from the host list; zero if it is listed
	targetTerm        int64     // raise the term to this value, because a slot has lacked its reservation for too long; 0 for none
	orphan            bool      // a slot is bound to it, and it is not in the host list
	usedAt            time.Time
	handoverOwner     model.Incarnation // the live owner that a handover is awaited from
	handoverSince     time.Time         // since when the handover is awaited
	ownerMissingSince time.Time         // since when the owner has been missing from the live peers; zero if it is live

	epoch       int64 // incremented when the record changes or an order is sent
	observe     observeCall
	observeAt   time.Time // when the next observation is due
	latest      model.Observation
	latestAt    time.Time // when the latest observation was requested
	latestEpoch int64     // the epoch in which it was requested
	observed    bool      // observed since the owner or the term changed

	loadRequests    map[model.ModelKey]loadRequest
	intents         map[model.ModelKey]*intent
	drains          map[model.ModelKey]*drain
	running         map[model.ModelKey]usage // requests that the routers have running, per replica
	arrived         map[string]bool          // orders whose effect an observation has shown
	confirmedUnsent map[string]time.Time     // orders that can no longer reach the engine, and when their issuer confirmed it
	firstObservedAt map[string]time.Time     // per order whose sending is only inferred to have ended: when the first observation after that end was requested
	issuerQueriedAt map[string]time.Time     // per order: when its issuer was last queried
	reissues        map[string]string        // per voided order of a standing reservation: the order that replaces it
}

// observeCall is an observation in progress; token is 0 if there is none.
type observeCall struct {
	token       int64
	epoch       int64
	requestedAt time.Time
}

// backend returns the state of a backend server and creates it if needed.
func (h *Host) backend(now time.Time, name string) *backend {
	b, ok := h.backends[name]
	if !ok {
		b = &backend{name: name, sync: newRecordSync("backend/" + name)}
		b.sync.readDue = true
		b.reset()
		h.backends[name] = b
		h.backendsByName = nil
	}
	b.usedAt = now
	return b
}

// reset clears the state that is only valid under one owner and term.
func (b *backend) reset() {
	b.observed = false
	b.observe = observeCall{}
	b.loadRequests = map[model.ModelKey]loadRequest{}
	b.intents = map[model.ModelKey]*intent{}
	b.drains = map[model.ModelKey]*drain{}
	b.running = map[model.ModelKey]usage{}
	b.arrived = map[string]bool{}
	b.confirmedUnsent = map[string]time.Time{}
	b.firstObservedAt = map[string]time.Time{}
	b.issuerQueriedAt = map[string]time.Time{}
	b.reissues = map[string]string{}
}

// owns reports whether the latest known record names this host as the owner.
func (h *Host) owns(b *backend) bool {
	return b.sync.known && b.record.Owner == h.Incarnation
}

// fresh reports whether the latest observation was requested after the last change of the record and the last order sent.
func (b *backend) fresh() bool {
	return b.observed && b.latestEpoch == b.epoch
}

// adoptBackend applies newer content of the record; nil content means that the record does not exist.
func (h *Host) adoptBackend(now time.Time, b *backend, content []byte) {
	record := model.BackendRecord{Backend: b.name, Zone: h.Zone}
	if content != nil {
		if err := json.Unmarshal(content, &record); err != nil {
			h.reportViolation("record readable", "%s: %v", b.sync.key, err)
			return
		}
	}
	if record.Term < b.record.Term {
		h.reportViolation("terms never decrease", "%s: from %d to %d", b.sync.key, b.record.Term, record.Term)
	}
	old := b.record
	b.record = record
	b.targetTerm = 0
	b.orphan = b.orphan && (old.Owner != h.Incarnation || record.Owner != "")
	b.epoch++
	if old.Owner != record.Owner || old.Term != record.Term {
		b.handoverSince = time.Time{}
		h.closeUnsent(b)
		b.observeAt = now
	}
	h.scheduleSlotChecks(b, old, record)
	for key, i := range b.intents {
		if findOrder(record, i.orderID) >= 0 {
			delete(b.intents, key)
		}
	}
	maps.DeleteFunc(b.running, func(key model.ModelKey, _ usage) bool { return findKey(record, key) < 0 })
	h.checkBackend(old, record)
}

// closeUnsent closes every order that has not been sent, refuses the load requests and resets the state,
// because the owner or the term has changed.
func (h *Host) closeUnsent(b *backend) {
	for key, i := range b.intents {
		h.orders.close(i.orderID)
		h.model(key).slotCheckDue = true
	}
	for _, d := range b.drains {
		h.orders.close(d.orderID)
	}
	for _, key := range sortedKeys(b.loadRequests) {
		h.emit(LoadRefused{Key: key, Backend: b.name, Reason: RefusedNotOwner})
	}
	for _, r := range b.record.Reservations {
		h.orders.close(r.OrderID)
	}
	b.reset()
}

// checkBackend checks the invariants of a record and of its change.
func (h *Host) checkBackend(old, record model.BackendRecord) {
	added := len(record.Reservations) > len(old.Reservations) && record.Term == old.Term
	if added && reservedBytes(record) > record.MemoryBytes {
		h.reportViolation("reserved memory", "%s: %d bytes reserved of %d", record.Backend, reservedBytes(record), record.MemoryBytes)
	}
	for i, r := range record.Reservations {
		if findKey(record, r.Key) != i {
			h.reportViolation("one reservation per model", "%s: %s", record.Backend, r.Key)
		}
		if r.SlotID == noSlot && record.Owner == h.Incarnation && old.EngineIdentity != "" && findKey(old, r.Key) < 0 {
			h.reportViolation("loaded models are reserved", "%s: %s", record.Backend, r.Key)
		}
	}
}

// reconcileBackend takes the steps for one backend server that are due.
func (h *Host) reconcileBackend(now time.Time, b *backend) {
	b.sync.expire(now)
	switch {
	case h.owns(b):
		h.reconcileOwned(now, b)
	default:
		h.watchOwner(now, b)
	}
	h.actions = append(h.actions, b.sync.read(now, h.nextToken)...)
}

// reconcileOwned takes the steps for a backend server that this host owns.
func (h *Host) reconcileOwned(now time.Time, b *backend) {
	if now.Sub(b.sync.readAt) >= ownedReadInterval {
		b.sync.readDue = true
	}
	h.planIntents(now, b)
	h.drainSurplus(now, b)
	h.sendOrders(b)
	h.requestObservation(now, b)
	h.queryIssuers(now, b)
	if !b.sync.idle(now) {
		return
	}
	next := cloneBackend(b.record)
	if h.planRecord(now, b, &next) || b.sync.rewriteDue {
		h.writeBackend(now, b, next)
	}
}

// planRecord makes the changes of the record that are due and reports whether there were any.
func (h *Host) planRecord(now time.Time, b *backend, next *model.BackendRecord) bool {
	if b.targetTerm > next.Term {
		next.Term = b.targetTerm
		return true
	}
	if h.planRelease(now, b, next) {
		return true
	}
	if h.isRemoved(now, b) {
		return h.planRemoved(now, b, next)
	}
	if !b.observed {
		return false
	}
	changed := false
	if b.fresh() {
		changed = h.planIdentity(b, next)
		changed = h.planResolve(now, b, next) || changed
	}
	changed = h.planUnload(now, b, next) || changed
	changed = h.planStanding(b, next) || changed
	return h.planReserve(b, next) || changed
}

// planIdentity records the engine's incarnation, memory size and handling of fencing tokens from the latest observation.
func (h *Host) planIdentity(b *backend, next *model.BackendRecord) bool {
	checks := b.latest.Term >= b.record.Term
	if b.latest.Term > next.Term {
		next.Term = b.latest.Term + 1 // a store restored from a backup may have lost terms that the engine has seen
		return true
	}
	if next.EngineIdentity == b.latest.Incarnation && next.MemoryBytes == b.latest.MemoryBytes && next.ChecksFencing == checks {
		return false
	}
	next.EngineIdentity, next.MemoryBytes, next.ChecksFencing = b.latest.Incarnation, b.latest.MemoryBytes, checks
	return true
}

func (h *Host) writeBackend(now time.Time, b *backend, next model.BackendRecord) {
	next.Nonce = h.uniqueID()
	value, err := json.Marshal(next)
	if err != nil {
		h.reportViolation("record writable", "%s: %v", b.sync.key, err)
		return
	}
	h.emit(b.sync.write(now, h.nextToken(), value))
}

// requestObservation requests an observation if one is due.
func (h *Host) requestObservation(now time.Time, b *backend) {
	if b.observe.token != 0 && now.Sub(b.observe.requestedAt) >= observeTimeout {
		b.observe = observeCall{}
	}
	if b.observe.token != 0 || now.Before(b.observeAt) {
		return
	}
	if b.latest.Term < b.record.Term && h.hasOlderOrder(b) {
		h.emit(FenceEngine{Backend: b.name, Term: b.record.Term})
	}
	b.observeAt = now.Add(observeInterval)
	b.observe = observeCall{token: h.nextToken(), epoch: b.epoch, requestedAt: now}
	h.emit(ObserveEngine{Token: b.observe.token, Backend: b.name})
}

// hasOlderOrder reports whether an order of an earlier term is unresolved.
func (h *Host) hasOlderOrder(b *backend) bool {
	return slices.ContainsFunc(b.record.Reservations, func(r model.Reservation) bool {
		return r.State != model.ReservationLoaded && r.Term < b.record.Term
	})
}

// observed applies the result of an ObserveEngine.
func (h *Host) observed(now time.Time, e Observed) {
	b, ok := h.backends[e.Backend]
	if !ok || e.Token == 0 || e.Token != b.observe.token {
		return
	}
	call := b.observe
	b.observe = observeCall{}
	if e.Failed {
		return
	}
	b.latest, b.latestAt, b.latestEpoch, b.observed = e.Observation, call.requestedAt, call.epoch, true
	if !b.fresh() && h.needsObservation(b) {
		b.observeAt = now
	}
}

// needsObservation reports whether an intent, a drain or an unresolved order waits for a fresh observation.
func (h *Host) needsObservation(b *backend) bool {
	if len(b.intents) > 0 || len(b.drains) > 0 {
		return true
	}
	return slices.ContainsFunc(b.record.Reservations, func(r model.Reservation) bool {
		return r.State == model.ReservationLoading || r.State == model.ReservationUnloading
	})
}

// sortedKeys returns the keys of a map in a fixed order, so that steps are deterministic.
func sortedKeys[V any](m map[model.ModelKey]V) []model.ModelKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b model.ModelKey) int {
		return compareKeys(a, b)
	})
}
