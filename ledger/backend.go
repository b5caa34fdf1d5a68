package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"citronspread/model"
)

// Intervals and delays of ownership and observation.
const (
	observeInterval = time.Second
	observeTimeout  = 3 * time.Second
	observeSettle   = time.Second // between two observations without a model that together void an order of unknown end
	askInterval     = time.Second
	pollInterval    = 2 * time.Second  // the assigned host reads a record that it does not own that often
	ownedInterval   = 30 * time.Second // and the owner that often
	takeoverDelay   = 3 * time.Second  // an owner that is not listed for that long is succeeded
	handoverDelay   = 5 * time.Second  // the assigned owner must have been live for that long
	patience        = time.Minute      // a live owner that has not handed over for that long is succeeded
	goneDelay       = 2 * time.Minute  // a backend server that is neither listed nor answers for that long holds nothing
	sweepInterval   = 10 * time.Second
	forgetAfter     = 30 * time.Second
	intentTimeout   = 5 * time.Second
)

// backend is what a Host knows of one backend server. The maps are emptied when its owner or term changes.
type backend struct {
	name       string
	cell       cell
	record     model.BackendRecord
	assignment Assignment
	assigned   bool      // the assignment is current
	goneAt     time.Time // since when it has not been in the host list, zero when it is
	evictTerm  int64     // the term to raise to, because a slot has been without a reservation for long; 0 for none
	orphan     bool      // it holds a slot and is not in the host list
	usedAt     time.Time
	waitFor    model.Incarnation // the live owner that is to hand over
	waitAt     time.Time         // since when
	missingAt  time.Time         // since when the owner has not been listed, zero when it is

	epoch     int64 // raised with each change of the record
	observe   observeCall
	observeAt time.Time // when the next observation is due
	latest    model.Observation
	latestAt  time.Time // when the latest observation was asked for
	latestIn  int64     // the epoch that it was asked for in
	answered  bool      // observed since the owner or the term changed

	wants     map[model.ModelKey]want
	intents   map[model.ModelKey]*intent
	drains    map[model.ModelKey]*drain
	running   map[model.ModelKey]use // requests that the routers have running
	arrived   map[string]bool        // orders whose effect the engine has shown
	confirmed map[string]time.Time   // orders whose issuer will not send them
	absentAt  map[string]time.Time   // when the first observation without the model was asked for
	askedAt   map[string]time.Time
	reissues  map[string]string // new order for an old one
}

// observeCall is an observation under way.
type observeCall struct {
	token   int64
	epoch   int64
	askedAt time.Time
}

// backend returns the state for a backend server, which is created when needed.
func (h *Host) backend(now time.Time, name string) *backend {
	b, ok := h.backends[name]
	if !ok {
		b = &backend{name: name, cell: newCell("backend/" + name)}
		b.cell.readWanted = true
		b.reset()
		h.backends[name] = b
		h.byName = nil
	}
	b.usedAt = now
	return b
}

// reset forgets what is only true under one owner and term.
func (b *backend) reset() {
	b.answered = false
	b.observe = observeCall{}
	b.wants = map[model.ModelKey]want{}
	b.intents = map[model.ModelKey]*intent{}
	b.drains = map[model.ModelKey]*drain{}
	b.running = map[model.ModelKey]use{}
	b.arrived = map[string]bool{}
	b.confirmed = map[string]time.Time{}
	b.absentAt = map[string]time.Time{}
	b.askedAt = map[string]time.Time{}
	b.reissues = map[string]string{}
}

// owns reports whether the known record names this host as the owner.
func (h *Host) owns(b *backend) bool {
	return b.cell.known && b.record.Owner == h.Incarnation
}

// fresh reports whether the latest observation was made under the known record.
func (b *backend) fresh() bool {
	return b.answered && b.latestIn == b.epoch
}

// adoptBackend takes over a newer content of the record.
func (h *Host) adoptBackend(now time.Time, b *backend, content []byte) {
	record := model.BackendRecord{Backend: b.name, Zone: h.Zone}
	if content != nil {
		if err := json.Unmarshal(content, &record); err != nil {
			h.violate("record readable", "%s: %v", b.cell.key, err)
			return
		}
	}
	if record.Term < b.record.Term {
		h.violate("terms rise", "%s: from %d to %d", b.cell.key, b.record.Term, record.Term)
	}
	old := b.record
	b.record = record
	b.evictTerm = 0
	b.orphan = b.orphan && (old.Owner != h.Incarnation || record.Owner != "")
	b.epoch++
	if old.Owner != record.Owner || old.Term != record.Term {
		b.waitAt = time.Time{}
		h.loseBackend(b)
		b.observeAt = now
	}
	h.checkSlots(b, old, record)
	for key, i := range b.intents {
		if findOrder(record, i.orderID) >= 0 {
			delete(b.intents, key)
		}
	}
	maps.DeleteFunc(b.running, func(key model.ModelKey, _ use) bool { return findKey(record, key) < 0 })
	h.checkBackend(old, record)
}

// loseBackend closes every order that was not sent, because the owner or the term has changed.
func (h *Host) loseBackend(b *backend) {
	for key, i := range b.intents {
		h.orders.close(i.orderID)
		h.model(key).check = true
	}
	for _, d := range b.drains {
		h.orders.close(d.orderID)
	}
	for _, key := range sortedKeys(b.wants) {
		h.emit(LoadRefused{Key: key, Backend: b.name, Reason: RefusedNotOwner})
	}
	for _, r := range b.record.Reservations {
		h.orders.close(r.OrderID)
	}
	b.reset()
}

// checkBackend asserts what holds for every record and every change of it.
func (h *Host) checkBackend(old, record model.BackendRecord) {
	added := len(record.Reservations) > len(old.Reservations) && record.Term == old.Term
	if added && reservedBytes(record) > record.MemoryBytes {
		h.violate("memory", "%s: %d bytes reserved of %d", record.Backend, reservedBytes(record), record.MemoryBytes)
	}
	for i, r := range record.Reservations {
		if findKey(record, r.Key) != i {
			h.violate("one reservation a model", "%s: %s", record.Backend, r.Key)
		}
		if r.SlotID == noSlot && record.Owner == h.Incarnation && old.EngineIdentity != "" && findKey(old, r.Key) < 0 {
			h.violate("loaded models are reserved", "%s: %s", record.Backend, r.Key)
		}
	}
}

// reconcileBackend brings one backend server a step nearer to what is wanted.
func (h *Host) reconcileBackend(now time.Time, b *backend) {
	b.cell.expire(now)
	switch {
	case h.owns(b):
		h.workBackend(now, b)
	default:
		h.watchOwner(now, b)
	}
	h.actions = append(h.actions, b.cell.read(now, h.token)...)
}

// workBackend does an owner's work.
func (h *Host) workBackend(now time.Time, b *backend) {
	if now.Sub(b.cell.readAt) >= ownedInterval {
		b.cell.readWanted = true
	}
	h.planIntents(now, b)
	h.drainSurplus(now, b)
	h.send(b)
	h.observeBackend(now, b)
	h.askIssuers(now, b)
	if !b.cell.idle(now) {
		return
	}
	next := cloneBackend(b.record)
	if h.planRecord(now, b, &next) || b.cell.touchWanted {
		h.writeBackend(now, b, next)
	}
}

// planRecord changes the record as far as is due, and reports whether it did.
func (h *Host) planRecord(now time.Time, b *backend, next *model.BackendRecord) bool {
	if b.evictTerm > next.Term {
		next.Term = b.evictTerm
		return true
	}
	if h.planRelease(now, b, next) {
		return true
	}
	if h.isGone(now, b) {
		return h.planGone(now, b, next)
	}
	if !b.answered {
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

// planIdentity records what the engine says of itself.
func (h *Host) planIdentity(b *backend, next *model.BackendRecord) bool {
	checks := b.latest.Term >= b.record.Term
	if b.latest.Term > next.Term {
		next.Term = b.latest.Term + 1 // a restored store may have lost terms that the engine has seen
		return true
	}
	if next.EngineIdentity == b.latest.Incarnation && next.MemoryBytes == b.latest.MemoryBytes && next.ChecksFencing == checks {
		return false
	}
	next.EngineIdentity, next.MemoryBytes, next.ChecksFencing = b.latest.Incarnation, b.latest.MemoryBytes, checks
	return true
}

func (h *Host) writeBackend(now time.Time, b *backend, next model.BackendRecord) {
	next.Nonce = h.unique()
	value, err := json.Marshal(next)
	if err != nil {
		h.violate("record writable", "%s: %v", b.cell.key, err)
		return
	}
	h.emit(b.cell.write(now, h.token(), value))
}

// observeBackend asks for an observation when one is due.
func (h *Host) observeBackend(now time.Time, b *backend) {
	if b.observe.token != 0 && now.Sub(b.observe.askedAt) >= observeTimeout {
		b.observe = observeCall{}
	}
	if b.observe.token != 0 || now.Before(b.observeAt) {
		return
	}
	if b.latest.Term < b.record.Term && h.hasOlderOrder(b) {
		h.emit(FenceEngine{Backend: b.name, Term: b.record.Term})
	}
	b.observeAt = now.Add(observeInterval)
	b.observe = observeCall{token: h.token(), epoch: b.epoch, askedAt: now}
	h.emit(ObserveEngine{Token: b.observe.token, Backend: b.name})
}

// hasOlderOrder reports whether an order of an earlier term is not resolved.
func (h *Host) hasOlderOrder(b *backend) bool {
	return slices.ContainsFunc(b.record.Reservations, func(r model.Reservation) bool {
		return r.State != model.ReservationLoaded && r.Term < b.record.Term
	})
}

// observed takes in what an engine says.
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
	b.latest, b.latestAt, b.latestIn, b.answered = e.Observation, call.askedAt, call.epoch, true
	if !b.fresh() && h.unsettled(b) {
		b.observeAt = now
	}
}

// unsettled reports whether something waits for a fresh observation.
func (h *Host) unsettled(b *backend) bool {
	if len(b.intents) > 0 || len(b.drains) > 0 {
		return true
	}
	return slices.ContainsFunc(b.record.Reservations, func(r model.Reservation) bool {
		return r.State == model.ReservationLoading || r.State == model.ReservationUnloading
	})
}

// sortedKeys returns the keys of a map in a fixed order.
func sortedKeys[V any](m map[model.ModelKey]V) []model.ModelKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b model.ModelKey) int {
		return compareKeys(a, b)
	})
}
