package entryhost

import (
	"time"

	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/placement"
)

// usageReported is the usage of owned replicas by this host's router.
type usageReported struct {
	usages []model.Usage
}

func (e usageReported) apply(c *control, now time.Time) { c.recordUsage(now, c.self.Name, e.usages) }

// peerUsageReported is the usage of owned replicas by the router of another entry host.
type peerUsageReported struct {
	from   string
	usages []model.Usage
}

func (e peerUsageReported) apply(c *control, now time.Time) { c.recordUsage(now, e.from, e.usages) }

// recordUsage updates the use of owned replicas and the arrivals of their models.
func (c *control) recordUsage(now time.Time, from string, usages []model.Usage) {
	for _, u := range usages {
		b, ok := c.owner.backends[u.Backend]
		if !ok || b.replicas[u.Key] == nil {
			continue
		}
		b.replicas[u.Key].record(now, from, u)
		if u.Requests > 0 {
			c.keepAliveFor(u.Key).RecordRequest(now)
		}
	}
}

// reportUsage sends the owners of backend servers this host's usage of their replicas.
func (c *control) reportUsage() {
	if c.executor.usage == nil {
		return
	}
	statuses := c.statuses()
	c.executor.reportUsage(c.executor.usage.TakeUsage(), func(backend string) string {
		return statuses.entries[backend].status.OwnerAddress
	})
}

func (u *replicaUse) record(now time.Time, from string, usage model.Usage) {
	if usage.Requests > 0 || usage.Running > 0 {
		u.usedAt = now
	}
	report := usageReport{from: from, running: usage.Running, at: now}
	for i := range u.reports {
		if u.reports[i].from == from {
			u.reports[i] = report
			return
		}
	}
	u.reports = append(u.reports, report)
}

// reportUseToLedger sends the ledger how many requests routers have running on each replica. It also does so for
// replicas that no router reports any more, because a drain waits for counts that were taken after it began.
func (c *control) reportUseToLedger(now time.Time) {
	for _, r := range c.ledger.Replicas() {
		use := c.owner.getOrCreate(r.Backend).replicas[r.Key]
		if use == nil {
			continue
		}
		c.step(now, ledger.UsageReported{Backend: r.Backend, Key: r.Key, Running: use.running(now)})
	}
}

// keepAliveFor returns the keep-alive estimator of a model version and creates it if needed.
func (c *control) keepAliveFor(key model.ModelKey) *placement.KeepAlive {
	keepAlive, ok := c.owner.keepAlives[key]
	if !ok {
		keepAlive = &placement.KeepAlive{
			Weights:     c.policy.KeepAlive,
			Fixed:       c.policy.FixedKeepAlive,
			MinDuration: c.policy.MinKeepAlive,
			MaxDuration: c.policy.MaxKeepAlive,
		}
		c.owner.keepAlives[key] = keepAlive
	}
	return keepAlive
}

// unloadIdle unloads idle replicas whose keep-alive time has passed or that no record declares.
func (c *control) unloadIdle(now time.Time) {
	for _, o := range c.ledger.Owned() {
		for _, idle := range c.idleReplicas(now, o) {
			declared, known := c.configuration.find(idle.key)
			keepAlive := c.keepAliveFor(idle.key).Duration(typicalColdStart)
			if known && (now.Sub(idle.usedAt) < keepAlive || c.isKeptWarm(idle.key, o.Record.Backend, declared.declaration.Warm)) {
				continue
			}
			c.log.Info("unload idle", zap.String("Backend", o.Record.Backend), zap.String("Model", idle.key.String()), zap.Duration("KeepAlive", keepAlive))
			c.metrics.idleUnloads.Add(1)
			c.step(now, ledger.UnloadRequested{Key: idle.key, Backend: o.Record.Backend})
		}
	}
}

// isKeptWarm reports whether a replica stays loaded when idle. Of the backend servers that have the model version
// loaded, the highest-ranked ones keep it, as many as warm states.
func (c *control) isKeptWarm(key model.ModelKey, backend string, warm int) bool {
	if warm == 0 {
		return false
	}
	var loadedOn []model.Peer
	for _, s := range c.statuses().sorted {
		for _, r := range s.Replicas {
			if r.Key == key && r.State == model.ReservationLoaded && !r.Draining {
				loadedOn = append(loadedOn, model.Peer{Name: s.Backend})
			}
		}
	}
	ranked := membership.Ranked(loadedOn, key.String())
	for _, p := range ranked[:min(warm, len(ranked))] {
		if p.Name == backend {
			return true
		}
	}
	return false
}
