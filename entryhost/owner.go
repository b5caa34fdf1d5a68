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

// Timing of an owner's tasks.
const (
	loadReportPeriod   = time.Second
	usageReportTTL     = 3 * time.Second  // running requests in older reports are not counted
	idleAfter          = 2 * time.Second  // a replica without requests for this long is idle
	pendingLoadTimeout = 30 * time.Second // of the wait for memory
	refusalTTL         = 3 * time.Second  // time for which a refused load is published
	keepAlivePeriod    = time.Second
	typicalColdStart   = 5 * time.Second // assumed for the keep-alive time
)

// ownerState holds the state of the owned backend servers that is not in the ledger.
type ownerState struct {
	backends      map[string]*ownedBackend
	keepAlives    map[model.ModelKey]*placement.KeepAlive // retained after the replicas are unloaded
	lastKeepAlive time.Time
	adapters      adapterLoads
}

func newOwnerState() *ownerState {
	return &ownerState{
		backends:   make(map[string]*ownedBackend),
		keepAlives: make(map[model.ModelKey]*placement.KeepAlive),
	}
}

// ownedBackend is the owner's state of one backend server.
type ownedBackend struct {
	report            model.LoadReport
	lastReportRequest time.Time
	version           int64 // of the published status
	published         model.BackendStatus

	checkpoints        []model.Checkpoint // as last published
	checkpointsVersion int64
	replicas           map[model.ModelKey]*replicaUse
	pendingLoads       []pendingLoad
	refused            []model.RefusedLoad
}

// replicaUse is the recent use of a replica.
type replicaUse struct {
	since   time.Time // when it was first observed as loaded
	usedAt  time.Time
	reports []usageReport
}

// usageReport is the latest number of running requests that one entry host reported.
type usageReport struct {
	from    string
	running int
	at      time.Time
}

// pendingLoad is a load that waits for memory.
type pendingLoad struct {
	key       model.ModelKey
	adapters  []string
	expiresAt time.Time
}

// loadRequested is a request of a model's leader to load the model version on an owned backend server.
type loadRequested struct {
	key      model.ModelKey
	backend  string
	adapters []string
}

func (e loadRequested) apply(c *control, now time.Time) {
	if !c.isOwned(e.backend) || c.hosts.isLeaving(e.backend) {
		return
	}
	b := c.owner.getOrCreate(e.backend)
	if slices.ContainsFunc(b.pendingLoads, func(p pendingLoad) bool { return p.key == e.key }) {
		return
	}
	b.pendingLoads = append(b.pendingLoads, pendingLoad{key: e.key, adapters: e.adapters, expiresAt: now.Add(pendingLoadTimeout)})
	c.startPendingLoads(now)
}

func (s *ownerState) getOrCreate(backend string) *ownedBackend {
	b, ok := s.backends[backend]
	if !ok {
		b = &ownedBackend{replicas: make(map[model.ModelKey]*replicaUse)}
		s.backends[backend] = b
	}
	return b
}

// loads returns the load reports to send with the heartbeat.
func (s *ownerState) loads(now time.Time) []membership.Load {
	var loads []membership.Load
	for name, b := range s.backends {
		if b.report.Running+b.report.Waiting == 0 {
			continue // a backend server without a report is treated as idle
		}
		loads = append(loads, membership.Load{
			Backend: membership.NewBackendID(name),
			Running: quantize(b.report.Running),
			Waiting: quantize(b.report.Waiting),
			Age:     membership.NewAgeTenths(now.Sub(b.report.TakenAt)),
		})
	}
	slices.SortFunc(loads, func(a, b membership.Load) int { return cmp.Compare(a.Backend, b.Backend) })
	return loads
}

// quantize rounds counts above 8 down to a multiple of 4, so that small changes do not produce new reports.
func quantize(n int) int {
	const fine = 8
	if n <= fine {
		return n
	}
	return n / 4 * 4
}

func (c *control) isOwned(backend string) bool {
	return slices.ContainsFunc(c.ledger.Owned(), func(o ledger.OwnedBackend) bool { return o.Record.Backend == backend })
}

// ownerTick runs the owner's periodic tasks.
func (c *control) ownerTick(now time.Time) {
	owned := c.ledger.Owned()
	c.dropUnowned(owned)
	for _, o := range owned {
		b := c.owner.getOrCreate(o.Record.Backend)
		b.refused = slices.DeleteFunc(b.refused, func(r model.RefusedLoad) bool { return !now.Before(r.Until) })
		if isDue(now, &b.lastReportRequest, loadReportPeriod) {
			c.executor.readLoad(o.Record.Backend)
		}
	}
	c.updateReplicaUses(now)
	c.removeUnloadedAdapters()
	c.startPendingLoads(now)
	if isDue(now, &c.owner.lastKeepAlive, keepAlivePeriod) {
		c.reportUseToLedger(now)
		c.unloadIdle(now)
		c.keepMemoryFree(now)
	}
}

func (c *control) dropUnowned(owned []ledger.OwnedBackend) {
	for name := range c.owner.backends {
		if !slices.ContainsFunc(owned, func(o ledger.OwnedBackend) bool { return o.Record.Backend == name }) {
			delete(c.owner.backends, name)
		}
	}
}

// updateReplicaUses adds entries for newly loaded replicas and removes those of replicas that are no longer loaded.
func (c *control) updateReplicaUses(now time.Time) {
	loaded := c.ledger.Replicas()
	for name, b := range c.owner.backends {
		for key := range b.replicas {
			if !slices.ContainsFunc(loaded, func(r ledger.LoadedReplica) bool { return r.Backend == name && r.Key == key }) {
				delete(b.replicas, key)
			}
		}
	}
	for _, r := range loaded {
		b := c.owner.getOrCreate(r.Backend)
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

func (e *executor) readLoad(backend string) {
	found, ok := e.engine(backend)
	if !ok {
		return
	}
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, observeTimeout)
		defer cancel()
		report, err := found.ReadLoadReport(ctx)
		if err != nil {
			return
		}
		e.post(ctx, loadReported{backend: backend, report: report})
	})
}

// recordLoadRefused adds a load that the ledger refused to the published status, so that the model's leader
// tries another backend server.
func (c *control) recordLoadRefused(now time.Time, refused ledger.LoadRefused) {
	c.log.Info("load refused", zap.String("Model", refused.Key.String()), zap.String("Backend", refused.Backend), zap.String("Reason", string(refused.Reason)))
	c.metrics.loadsRefused.Add(1)
	b, ok := c.owner.backends[refused.Backend]
	if !ok {
		return
	}
	b.refused = append(b.refused, model.RefusedLoad{Key: refused.Key, Reason: string(refused.Reason), Until: now.Add(refusalTTL)})
}
