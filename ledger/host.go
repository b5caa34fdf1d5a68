// Package ledger decides ownership of backend servers, replica slots, reservations and orders.
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

// Host is the state of one entry host's part in the ledger. It is not safe for concurrent use.
type Host struct {
	Name             string
	Zone             string
	Address          string // peer address, IP:port
	Incarnation      model.Incarnation
	LongestOrderTime time.Duration // an order reaches its engine within this time after its sender died or closed the connection
	TrustsFencing    bool          // fencing numbers of engines that check them outlive a restart of the engine

	counter  int64
	actions  []Action
	orders   orderTable
	backends map[string]*backend
	models   map[model.ModelKey]*modelState
	byName   []*backend    // the backend servers, sorted
	byKey    []*modelState // the models, sorted
	standing map[string][]model.ModelKey
	records  []RecordGeneration
	peers    map[model.Incarnation]livePeer
	dead     map[model.Incarnation]time.Time
	listed   map[string]bool // backend servers of the zone in the host list, nil when unknown
	stopping bool
	sweepAt  time.Time
}

// livePeer is an entry host of the zone, and since when it has been listed without a break.
type livePeer struct {
	model.Peer
	since time.Time
}

// Step takes in one event and returns what is to be done.
func (h *Host) Step(now time.Time, e Event) []Action {
	h.init()
	h.take(now, e)
	for _, b := range h.sortedBackends() {
		h.reconcileBackend(now, b)
	}
	h.noteInvolved()
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
	h.dead = map[model.Incarnation]time.Time{}
}

// take changes the state by one event.
func (h *Host) take(now time.Time, e Event) {
	switch e := e.(type) {
	case PeersChanged:
		h.peersChanged(now, e)
	case BackendsChanged:
		h.backendsChanged(now, e)
	case SourcesChanged:
		h.sourcesChanged(now, e)
	case StoreAnswered:
		h.storeAnswered(now, e)
	case RecordSeen:
		h.recordSeen(now, e)
	case OrderAnswered:
		h.orderAnswered(now, e)
	case Observed:
		h.observed(now, e)
	case UnsentAnswered:
		h.unsentAnswered(now, e)
	case UnsentAsked:
		h.unsentAsked(now, e)
	case LoadWanted:
		h.loadWanted(now, e)
	case UnloadWanted:
		h.unloadWanted(now, e)
	case ReplicaUsed:
		h.replicaUsed(now, e)
	case StandingWanted:
		h.standing[e.Backend] = slices.Clone(e.Keys)
	case ReleaseAll:
		h.stopping = true
	}
}

func (h *Host) emit(a Action) {
	h.actions = append(h.actions, a)
}

func (h *Host) violate(invariant, format string, args ...any) {
	h.emit(Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// unique returns a value that no other incarnation and no earlier call returns.
func (h *Host) unique() string {
	return string(h.Incarnation) + "/" + strconv.FormatInt(h.token(), 36)
}

func (h *Host) token() int64 {
	h.counter++
	return h.counter
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
	for _, i := range e.Dead {
		h.markDead(now, i)
	}
}

func (h *Host) markDead(now time.Time, i model.Incarnation) {
	if _, ok := h.dead[i]; !ok && i != h.Incarnation {
		h.dead[i] = now
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
			b.waitAt = time.Time{}
		}
	}
	for _, a := range e.Backends {
		h.listed[a.Backend] = !a.Gone
	}
	for _, b := range h.backends {
		b.noteListed(now, h.listed[b.name])
	}
}

func (h *Host) sourcesChanged(now time.Time, e SourcesChanged) {
	h.records = e.Records
	for _, m := range h.models {
		m.sources, m.lead = nil, false
	}
	for _, s := range e.Models {
		m := h.model(s.Key)
		m.sources, m.bytes, m.adapters, m.lead = s.Sources, s.Bytes, s.Adapters, s.Lead
	}
	for _, m := range h.models {
		m.changedAt, m.check, m.surplusKnown = now, true, false
	}
}

// storeAnswered hands the end of a call to the record that it was for.
func (h *Host) storeAnswered(now time.Time, e StoreAnswered) {
	for _, b := range h.backends {
		if b.cell.key != e.Key {
			continue
		}
		if content, news := b.cell.answer(now, e); news {
			h.adoptBackend(now, b, content)
		}
		return
	}
	for _, m := range h.models {
		if m.cell.key != e.Key {
			continue
		}
		if content, news := m.cell.answer(now, e); news {
			h.adoptModel(m, content)
		}
		return
	}
}

// recordSeen takes in a record that a watch has shown, when this host deals with it.
func (h *Host) recordSeen(now time.Time, e RecordSeen) {
	for _, b := range h.backends {
		if b.cell.key == e.Key && b.cell.seen(now, e.Revision, e.Value) {
			h.adoptBackend(now, b, e.Value)
		}
	}
	for _, m := range h.models {
		if m.cell.key == e.Key && m.cell.seen(now, e.Revision, e.Value) {
			h.adoptModel(m, e.Value)
		}
	}
}

// sortedModels returns the models in a fixed order. It must not be kept.
func (h *Host) sortedModels() []*modelState {
	if len(h.byKey) != len(h.models) {
		h.byKey = slices.SortedFunc(maps.Values(h.models), func(a, b *modelState) int {
			return cmp.Compare(a.cell.key, b.cell.key)
		})
	}
	return h.byKey
}

// sortedBackends returns the backend servers in a fixed order. It must not be kept.
func (h *Host) sortedBackends() []*backend {
	if h.byName == nil {
		h.byName = slices.SortedFunc(maps.Values(h.backends), func(a, b *backend) int { return cmp.Compare(a.name, b.name) })
	}
	return h.byName
}

// sweep forgets what is of no more use.
func (h *Host) sweep(now time.Time) {
	if now.Before(h.sweepAt) {
		return
	}
	h.sweepAt = now.Add(sweepInterval)
	used := map[string]bool{}
	for _, b := range h.backends {
		h.markOrders(b, used)
	}
	for id, o := range h.orders {
		gone := o.state == orderOpen || o.state == orderEnded && now.After(o.endsAt)
		if !used[id] && gone {
			delete(h.orders, id)
		}
	}
	for name, b := range h.backends {
		idle := b.cell.token == 0 && b.cell.wroteAt < b.cell.revision && now.Sub(b.usedAt) > forgetAfter
		if !b.assigned && !b.orphan && !h.owns(b) && idle {
			delete(h.backends, name)
			h.byName = nil
		}
	}
}

// markOrders notes the orders that a backend server's state mentions.
func (h *Host) markOrders(b *backend, used map[string]bool) {
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
