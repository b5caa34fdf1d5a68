package entryhost

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/model"
)

const adapterOrderTimeout = 10 * time.Second

// adapterID names an adapter on a replica.
type adapterID struct {
	backend string
	key     model.ModelKey
	adapter string
}

// adapterLoads holds the adapter loads of the owned backend servers. An adapter takes memory from the pool
// of its model's reservation, so that a repeated or late adapter order breaks nothing.
type adapterLoads struct {
	waiting  []adapterID
	inFlight []adapterID
	loaded   []adapterID
}

// adapterAsked is a lead's wish that an adapter be loaded into a replica.
type adapterAsked struct {
	id adapterID
}

func (e adapterAsked) apply(c *control, _ time.Time) {
	a := &c.owner.adapters
	if !c.isOwned(e.id.backend) || a.isKnown(e.id) {
		return
	}
	a.waiting = append(a.waiting, e.id)
	c.startAdapters()
}

func (a *adapterLoads) isKnown(id adapterID) bool {
	return slices.Contains(a.waiting, id) || slices.Contains(a.inFlight, id) || slices.Contains(a.loaded, id)
}

// startAdapters starts waiting adapter loads within this host's share of those in flight.
func (c *control) startAdapters() {
	a := &c.owner.adapters
	for len(a.waiting) > 0 && len(a.inFlight) < c.adapterShare() {
		id := a.waiting[0]
		a.waiting = a.waiting[1:]
		owned, ok := c.findOwned(id.backend)
		if !ok {
			continue
		}
		a.inFlight = append(a.inFlight, id)
		order := model.Order{ID: uuid.NewString(), Kind: model.OrderLoadAdapter, Key: id.key, Adapter: id.adapter, Term: owned.Record.Term}
		c.edge.sendAdapterOrder(id, order)
	}
}

// adapterShare is the host's even share of the adapter loads in flight.
func (c *control) adapterShare() int {
	hosts := len(c.hosts.entryHosts(c.self.Zone)) + len(c.hosts.entryHostsElsewhere(c.self.Zone))
	return max(1, c.policy.ParallelAdapters/max(1, hosts))
}

func (c *control) findOwned(backend string) (ledger.OwnedBackend, bool) {
	for _, o := range c.ledger.Owned() {
		if o.Record.Backend == backend {
			return o, true
		}
	}
	return ledger.OwnedBackend{}, false
}

func (e *edge) sendAdapterOrder(id adapterID, order model.Order) {
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, adapterOrderTimeout)
		defer cancel()
		outcome := e.order(ctx, id.backend, order)
		e.post(e.ctx, adapterAnswered{id: id, outcome: outcome})
	})
}

// adapterAnswered ends an adapter load.
type adapterAnswered struct {
	id      adapterID
	outcome ledger.OrderOutcome
}

func (e adapterAnswered) apply(c *control, now time.Time) {
	a := &c.owner.adapters
	a.inFlight = slices.DeleteFunc(a.inFlight, func(id adapterID) bool { return id == e.id })
	if e.outcome == ledger.OrderDone {
		a.loaded = append(a.loaded, e.id)
		c.publishStatus(now)
	} else {
		c.log.Warn("adapter not loaded", zap.String("Backend", e.id.backend), zap.String("Adapter", e.id.adapter), zap.String("Outcome", string(e.outcome)))
	}
	c.startAdapters()
}

// adaptersOf returns the adapters of a replica: those that the engine lists and those loaded since.
func (c *control) adaptersOf(o ledger.OwnedBackend, key model.ModelKey) []string {
	var adapters []string
	for _, m := range o.Observation.Models {
		if m.Key == key {
			adapters = append(adapters, m.Adapters...)
		}
	}
	for _, id := range c.owner.adapters.loaded {
		if id.backend == o.Record.Backend && id.key == key {
			adapters = append(adapters, id.adapter)
		}
	}
	slices.Sort(adapters)
	return slices.Compact(adapters)
}

// forgetAdapters drops the loaded adapters of replicas that are gone.
func (c *control) forgetAdapters() {
	a := &c.owner.adapters
	a.loaded = slices.DeleteFunc(a.loaded, func(id adapterID) bool {
		b, ok := c.owner.backends[id.backend]
		return !ok || b.replicas[id.key] == nil
	})
}
