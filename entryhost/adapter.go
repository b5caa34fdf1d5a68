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

// adapterID identifies an adapter of a model version on one backend server.
type adapterID struct {
	backend string
	key     model.ModelKey
	adapter string
}

// adapterLoads tracks the adapter loads of the owned backend servers. Adapters use memory that their model's
// reservation already includes, so a repeated or late adapter order can't overcommit a backend server.
type adapterLoads struct {
	waiting  []adapterID
	inFlight []adapterID
	loaded   []adapterID
}

// adapterLoadRequested is a request of a model's leader to load an adapter into a replica.
type adapterLoadRequested struct {
	id adapterID
}

func (e adapterLoadRequested) apply(c *control, _ time.Time) {
	a := &c.owner.adapters
	if !c.isOwned(e.id.backend) || a.contains(e.id) {
		return
	}
	a.waiting = append(a.waiting, e.id)
	c.startAdapterLoads()
}

func (a *adapterLoads) contains(id adapterID) bool {
	return slices.Contains(a.waiting, id) || slices.Contains(a.inFlight, id) || slices.Contains(a.loaded, id)
}

// startAdapterLoads starts waiting adapter loads, up to maxAdapterLoads in flight.
func (c *control) startAdapterLoads() {
	a := &c.owner.adapters
	for len(a.waiting) > 0 && len(a.inFlight) < c.maxAdapterLoads() {
		id := a.waiting[0]
		a.waiting = a.waiting[1:]
		owned, ok := c.findOwned(id.backend)
		if !ok {
			continue
		}
		a.inFlight = append(a.inFlight, id)
		order := model.Order{ID: uuid.NewString(), Kind: model.OrderLoadAdapter, Key: id.key, Adapter: id.adapter, Term: owned.Record.Term}
		c.executor.sendAdapterOrder(id, order)
	}
}

// maxAdapterLoads returns how many adapter loads this host may have in flight:
// an equal share of Policy.MaxParallelAdapterLoads, but at least one.
func (c *control) maxAdapterLoads() int {
	hosts := len(c.hosts.entryHosts(c.self.Zone)) + len(c.hosts.entryHostsElsewhere(c.self.Zone))
	return max(1, c.policy.MaxParallelAdapterLoads/max(1, hosts))
}

func (c *control) findOwned(backend string) (ledger.OwnedBackend, bool) {
	for _, o := range c.ledger.Owned() {
		if o.Record.Backend == backend {
			return o, true
		}
	}
	return ledger.OwnedBackend{}, false
}

func (e *executor) sendAdapterOrder(id adapterID, order model.Order) {
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, adapterOrderTimeout)
		defer cancel()
		outcome := e.executeOrder(ctx, id.backend, order)
		e.post(e.ctx, adapterOrderAnswered{id: id, outcome: outcome})
	})
}

// adapterOrderAnswered is the outcome of an adapter order.
type adapterOrderAnswered struct {
	id      adapterID
	outcome ledger.OrderOutcome
}

func (e adapterOrderAnswered) apply(c *control, now time.Time) {
	a := &c.owner.adapters
	a.inFlight = slices.DeleteFunc(a.inFlight, func(id adapterID) bool { return id == e.id })
	if e.outcome == ledger.OrderDone {
		a.loaded = append(a.loaded, e.id)
		c.publishStatus(now)
	} else {
		c.log.Warn("adapter not loaded", zap.String("Backend", e.id.backend), zap.String("Adapter", e.id.adapter), zap.String("Outcome", string(e.outcome)))
	}
	c.startAdapterLoads()
}

// loadedAdapters returns the sorted adapters of a replica: those in the engine's last observation and those loaded since.
func (c *control) loadedAdapters(o ledger.OwnedBackend, key model.ModelKey) []string {
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

// removeUnloadedAdapters removes the adapters of replicas that are no longer loaded.
func (c *control) removeUnloadedAdapters() {
	a := &c.owner.adapters
	a.loaded = slices.DeleteFunc(a.loaded, func(id adapterID) bool {
		b, ok := c.owner.backends[id.backend]
		return !ok || b.replicas[id.key] == nil
	})
}
