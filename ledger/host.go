// Package ledger decides which entry host owns a backend server and which models the owner loads there.
//
// The ledger consists of records in the platform's store, each changed by compare-and-swap. A backend record
// names the owner of a backend server and lists its reservations: memory for a model version, together with
// the order to load or unload it. The term of the record is the fencing token of the owner's orders. It rises with each
// takeover.
// A model record lists the slots of a model version. A slot is the right to one replica; there are as many as the
// operators' configuration records decide.
//
// An order is sent only after its reservation is recorded, and a reservation is removed only after its order
// has been resolved. So memory is never overcommitted, and no replica is loaded beyond the decided number.
//
// A Host does no input or output and reads no clock: Step takes an event and returns the actions to carry out.
package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"citronspread/model"
)

// Host is the ledger's state machine in one entry host. It is not safe for concurrent use.
type Host struct {
	Name          string
	Zone          string
	Address       string // peer address, IP:port
	Incarnation   model.Incarnation
	MaxOrderDelay time.Duration // maximum time in which an order can still reach its engine after its sender stopped or closed the connection
	TrustsFencing bool          // engines that check fencing tokens keep them across a restart

	lastToken      int64
	actions        []Action
	orders         orderTable
	backends       map[string]*backend
	models         map[model.ModelKey]*modelState
	backendsByName []*backend    // backend servers sorted by name; nil if it has to be rebuilt
	modelsByKey    []*modelState // models sorted by store key
	standing       map[string][]model.ModelKey
	records        []RecordGeneration
	peers          map[model.Incarnation]livePeer
	stopped        map[model.Incarnation]time.Time // incarnations known to have stopped, and since when this is known
	listed         map[string]bool                 // whether a backend server of the zone is in the host list; nil if unknown
	shuttingDown   bool
	nextSweep      time.Time
}

// livePeer is an entry host of the zone, and since when it has been live without interruption.
type livePeer struct {
	model.Peer
	since time.Time
}

// Step applies an event and returns the actions to carry out.
func (h *Host) Step(now time.Time, e Event) []Action {
	h.init()
	h.apply(now, e)
	for _, b := range h.sortedBackends() {
		h.reconcileBackend(now, b)
	}
	h.markOwnedReplicas()
	for _, m := range h.sortedModels() {
		h.reconcileModel(now, m)
	}
	h.sweep(now)
	actions := h.actions
	h.actions = nil
	return actions
}

func (h *Host) init() {
	if h.orders != nil {
		return
	}
	h.orders = orderTable{}
	h.backends = map[string]*backend{}
	h.models = map[model.ModelKey]*modelState{}
	h.standing = map[string][]model.ModelKey{}
	h.stopped = map[model.Incarnation]time.Time{}
}

// apply updates the state with an event.
func (h *Host) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case PeersChanged:
		h.peersChanged(now, e)
	case BackendsChanged:
		h.backendsChanged(now, e)
	case SourcesChanged:
		h.sourcesChanged(now, e)
	case StoreAnswered:
		h.storeAnswered(now, e)
	case RecordReceived:
		h.recordReceived(now, e)
	case OrderAnswered:
		h.orderAnswered(now, e)
	case Observed:
		h.observed(now, e)
	case UnsentAnswered:
		h.unsentAnswered(now, e)
	case UnsentQueried:
		h.unsentQueried(now, e)
	case LoadRequested:
		h.loadRequested(now, e)
	case UnloadRequested:
		h.unloadRequested(now, e)
	case UsageReported:
		h.usageReported(now, e)
	case StandingChanged:
		h.standing[e.Backend] = slices.Clone(e.Keys)
	case ReleaseAll:
		h.shuttingDown = true
	}
}

func (h *Host) emit(a Action) {
	h.actions = append(h.actions, a)
}

func (h *Host) reportViolation(invariant, format string, args ...any) {
	h.emit(Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// uniqueID returns a value that is unique across incarnations and calls.
func (h *Host) uniqueID() string {
	return string(h.Incarnation) + "/" + strconv.FormatInt(h.nextToken(), 36)
}

func (h *Host) nextToken() int64 {
	h.lastToken++
	return h.lastToken
}

func (h *Host) peersChanged(now time.Time, e PeersChanged) {
	peers := map[model.Incarnation]livePeer{}
	for _, p := range e.Peers {
		since := now
		if old, ok := h.peers[p.Incarnation]; ok {
			since = old.since
		}
		peers[p.Incarnation] = livePeer{Peer: p, since: since}
	}
	h.peers = peers
	for _, i := range e.Stopped {
		h.markStopped(now, i)
	}
}

func (h *Host) markStopped(now time.Time, i model.Incarnation) {
	if _, ok := h.stopped[i]; !ok && i != h.Incarnation {
		h.stopped[i] = now
	}
}

func (h *Host) backendsChanged(now time.Time, e BackendsChanged) {
	h.listed = map[string]bool{}
	for _, b := range h.backends {
		b.assigned = false
	}
	for _, a := range e.Backends {
		if _, ok := h.backends[a.Backend]; !ok && a.Owner != h.Name {
			continue
		}
		b := h.backend(now, a.Backend)
		b.assigned, b.assignment = true, a
		if a.Owner != h.Name {
			b.handoverSince = time.Time{}
		}
	}
	for _, a := range e.Backends {
		h.listed[a.Backend] = !a.Unlisted
	}
	for _, b := range h.backends {
		b.setListed(now, h.listed[b.name])
	}
}

func (h *Host) sourcesChanged(now time.Time, e SourcesChanged) {
	h.records = e.Records
	for _, m := range h.models {
		m.sources, m.leader = nil, false
	}
	for _, s := range e.Models {
		m := h.model(s.Key)
		m.sources, m.bytes, m.adapters, m.leader = s.Sources, s.Bytes, s.Adapters, s.Leader
	}
	for _, m := range h.models {
		m.sourcesChangedAt, m.slotCheckDue, m.surplusKnown = now, true, false
	}
}

// storeAnswered applies the result of a call to the record that it was for.
func (h *Host) storeAnswered(now time.Time, e StoreAnswered) {
	for _, b := range h.backends {
		if b.sync.key != e.Key {
			continue
		}
		if content, changed := b.sync.complete(now, e); changed {
			h.adoptBackend(now, b, content)
		}
		return
	}
	for _, m := range h.models {
		if m.sync.key != e.Key {
			continue
		}
		if content, changed := m.sync.complete(now, e); changed {
			h.adoptModel(m, content)
		}
		return
	}
}

// recordReceived applies a record received from a watch, if this host tracks the record.
func (h *Host) recordReceived(now time.Time, e RecordReceived) {
	for _, b := range h.backends {
		if b.sync.key == e.Key && b.sync.applyWatch(now, e.Revision, e.Value) {
			h.adoptBackend(now, b, e.Value)
		}
	}
	for _, m := range h.models {
		if m.sync.key == e.Key && m.sync.applyWatch(now, e.Revision, e.Value) {
			h.adoptModel(m, e.Value)
		}
	}
}

// sortedModels returns the models in a fixed order. The slice is shared and only valid until a model is added.
func (h *Host) sortedModels() []*modelState {
	if len(h.modelsByKey) != len(h.models) {
		h.modelsByKey = slices.SortedFunc(maps.Values(h.models), func(a, b *modelState) int {
			return cmp.Compare(a.sync.key, b.sync.key)
		})
	}
	return h.modelsByKey
}

// sortedBackends returns the backend servers in a fixed order.
// The slice is shared and only valid until a backend server is added or removed.
func (h *Host) sortedBackends() []*backend {
	if h.backendsByName == nil {
		h.backendsByName = slices.SortedFunc(maps.Values(h.backends), func(a, b *backend) int { return cmp.Compare(a.name, b.name) })
	}
	return h.backendsByName
}

// sweep removes orders and backend servers that are no longer needed.
func (h *Host) sweep(now time.Time) {
	if now.Before(h.nextSweep) {
		return
	}
	h.nextSweep = now.Add(sweepInterval)
	used := map[string]bool{}
	for _, b := range h.backends {
		h.markUsedOrders(b, used)
	}
	for id, o := range h.orders {
		removable := o.state == orderOpen || o.state == orderEnded && now.After(o.endsAt)
		if !used[id] && removable {
			delete(h.orders, id)
		}
	}
	for name, b := range h.backends {
		idle := b.sync.token == 0 && b.sync.ambiguousRevision < b.sync.revision && now.Sub(b.usedAt) > unusedRetention
		if !b.assigned && !b.orphan && !h.owns(b) && idle {
			delete(h.backends, name)
			h.backendsByName = nil
		}
	}
}

// markUsedOrders adds the orders that a backend server's state refers to.
func (h *Host) markUsedOrders(b *backend, used map[string]bool) {
	for _, r := range b.record.Reservations {
		used[r.OrderID] = true
	}
	for _, i := range b.intents {
		used[i.orderID] = true
	}
	for _, d := range b.drains {
		used[d.orderID] = true
	}
	for _, id := range b.reissues {
		used[id] = true
	}
}
