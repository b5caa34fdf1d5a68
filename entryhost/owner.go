package entryhost

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/placement"
)

// Times of an owner's work.
const (
	loadReportPeriod = time.Second
	usageFreshness   = 3 * time.Second
	idleAfter        = 2 * time.Second // without requests, a replica counts as idle
	wantTime         = 30 * time.Second
	refusedTime      = 3 * time.Second
	keepAlivePeriod  = time.Second
	usualColdStart   = 5 * time.Second
)

// ownerState is what a host knows of the backend servers that it owns, beside the ledger.
type ownerState struct {
	backends  map[string]*ownedBackend
	arrivals  map[model.ModelKey]*placement.KeepAlive // outlives the replicas
	keepAlive time.Time
	adapters  adapterLoads
}

func newOwnerState() *ownerState {
	return &ownerState{
		backends: make(map[string]*ownedBackend),
		arrivals: make(map[model.ModelKey]*placement.KeepAlive),
	}
}

// ownedBackend is what the owner of a backend server gathers.
type ownedBackend struct {
	report    model.LoadReport
	reportDue time.Time
	version   int64
	published model.BackendStatus

	checkpoints        []model.Checkpoint // as last published
	checkpointsVersion int64
	replicas           map[model.ModelKey]*replicaUse
	wants              []wantedLoad
	refused            []model.RefusedLoad
}

// replicaUse is how a replica was used of late.
type replicaUse struct {
	since   time.Time // first seen loaded
	usedAt  time.Time
	reports []usageReport
}

type usageReport struct {
	from    string
	running int
	at      time.Time
}

// wantedLoad is a load that waits for memory.
type wantedLoad struct {
	key      model.ModelKey
	adapters []string
	until    time.Time
}

// loadAsked is a lead's wish that a model version be loaded on an owned backend server.
type loadAsked struct {
	key      model.ModelKey
	backend  string
	adapters []string
}

func (e loadAsked) apply(c *control, now time.Time) {
	if !c.isOwned(e.backend) || c.hosts.isLeaving(e.backend) {
		return
	}
	b := c.owner.get(e.backend)
	if slices.ContainsFunc(b.wants, func(w wantedLoad) bool { return w.key == e.key }) {
		return
	}
	b.wants = append(b.wants, wantedLoad{key: e.key, adapters: e.adapters, until: now.Add(wantTime)})
	c.serveWants(now)
}

func (s *ownerState) get(backend string) *ownedBackend {
	b, ok := s.backends[backend]
	if !ok {
		b = &ownedBackend{replicas: make(map[model.ModelKey]*replicaUse)}
		s.backends[backend] = b
	}
	return b
}

// loads returns the load reports that go with the heartbeat.
func (s *ownerState) loads(now time.Time) []membership.Load {
	var loads []membership.Load
	for name, b := range s.backends {
		if b.report.Running+b.report.Waiting == 0 {
			continue // a backend server that is not named is idle
		}
		loads = append(loads, membership.Load{
			Backend: membership.NewBackendID(name),
			Running: quantise(b.report.Running),
			Waiting: quantise(b.report.Waiting),
			Age:     membership.NewAgeTenths(now.Sub(b.report.TakenAt)),
		})
	}
	slices.SortFunc(loads, func(a, b membership.Load) int { return cmp.Compare(a.Backend, b.Backend) })
	return loads
}

// quantise rounds large counts so that small changes look alike.
func quantise(n int) int {
	const fine = 8
	if n <= fine {
		return n
	}
	return n / 4 * 4
}

func (c *control) isOwned(backend string) bool {
	return slices.ContainsFunc(c.ledger.Owned(), func(o ledger.OwnedBackend) bool { return o.Record.Backend == backend })
}

// ownerTick does the owner's periodic work.
func (c *control) ownerTick(now time.Time) {
	owned := c.ledger.Owned()
	c.dropUnowned(owned)
	for _, o := range owned {
		b := c.owner.get(o.Record.Backend)
		b.refused = slices.DeleteFunc(b.refused, func(r model.RefusedLoad) bool { return !now.Before(r.Until) })
		if isDue(now, &b.reportDue, loadReportPeriod) {
			c.edge.readLoad(o.Record.Backend)
		}
	}
	c.noteReplicas(now)
	c.forgetAdapters()
	c.serveWants(now)
	if isDue(now, &c.owner.keepAlive, keepAlivePeriod) {
		c.tellUse(now)
		c.unloadIdle(now)
		c.keepRoom(now)
	}
}

func (c *control) dropUnowned(owned []ledger.OwnedBackend) {
	for name := range c.owner.backends {
		if !slices.ContainsFunc(owned, func(o ledger.OwnedBackend) bool { return o.Record.Backend == name }) {
			delete(c.owner.backends, name)
		}
	}
}

// noteReplicas keeps a use entry for each loaded replica.
func (c *control) noteReplicas(now time.Time) {
	loaded := c.ledger.Replicas()
	for name, b := range c.owner.backends {
		for key := range b.replicas {
			if !slices.ContainsFunc(loaded, func(r ledger.LoadedReplica) bool { return r.Backend == name && r.Key == key }) {
				delete(b.replicas, key)
			}
		}
	}
	for _, r := range loaded {
		b := c.owner.get(r.Backend)
		if b.replicas[r.Key] == nil {
			b.replicas[r.Key] = &replicaUse{since: now, usedAt: now}
		}
	}
}

// loadReported is an engine's report of its load.
type loadReported struct {
	backend string
	report  model.LoadReport
}

func (e loadReported) apply(c *control, _ time.Time) {
	if b, ok := c.owner.backends[e.backend]; ok {
		b.report = e.report
	}
}

func (e *edge) readLoad(backend string) {
	found, ok := e.engine(backend)
	if !ok {
		return
	}
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, observeTimeout)
		defer cancel()
		report, err := found.Load(ctx)
		if err != nil {
			return
		}
		e.post(ctx, loadReported{backend: backend, report: report})
	})
}

// loadRefused notes a load that the ledger gave up, so that the lead tries another backend server.
func (c *control) loadRefused(now time.Time, refused ledger.LoadRefused) {
	c.log.Info("load refused", zap.String("Model", refused.Key.String()), zap.String("Backend", refused.Backend), zap.String("Reason", string(refused.Reason)))
	c.metrics.loadsRefused.Add(1)
	b, ok := c.owner.backends[refused.Backend]
	if !ok {
		return
	}
	b.refused = append(b.refused, model.RefusedLoad{Key: refused.Key, Reason: string(refused.Reason), Until: now.Add(refusedTime)})
}
