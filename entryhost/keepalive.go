package entryhost

import (
	"time"

	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/placement"
)

// usageReported is a router's report of what it sent to the replicas of owned backend servers.
type usageReported struct {
	usages []model.Usage
}

func (e usageReported) apply(c *control, now time.Time) { c.noteUsage(now, c.self.Name, e.usages) }

// peerUsageReported is the same from another entry host.
type peerUsageReported struct {
	from   string
	usages []model.Usage
}

func (e peerUsageReported) apply(c *control, now time.Time) { c.noteUsage(now, e.from, e.usages) }

func (c *control) noteUsage(now time.Time, from string, usages []model.Usage) {
	for _, u := range usages {
		b, ok := c.owner.backends[u.Backend]
		if !ok || b.replicas[u.Key] == nil {
			continue
		}
		b.replicas[u.Key].note(now, from, u)
		if u.Requests > 0 {
			c.arrivalsOf(u.Key).Arrive(now)
		}
	}
}

// reportUsage tells the owners of backend servers what this host's routers sent to their replicas.
func (c *control) reportUsage() {
	if c.edge.usage == nil {
		return
	}
	statuses := c.statuses()
	c.edge.reportUsage(c.edge.usage.TakeUsage(), func(backend string) string {
		return statuses.entries[backend].status.OwnerAddress
	})
}

func (u *replicaUse) note(now time.Time, from string, usage model.Usage) {
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

// tellUse tells the ledger what routers have running on each replica, also when no router reports any more:
// a drain waits for counts that were taken after it began.
func (c *control) tellUse(now time.Time) {
	for _, r := range c.ledger.Replicas() {
		use := c.owner.get(r.Backend).replicas[r.Key]
		if use == nil {
			continue
		}
		c.step(now, ledger.ReplicaUsed{Backend: r.Backend, Key: r.Key, Running: use.running(now)})
	}
}

func (c *control) arrivalsOf(key model.ModelKey) *placement.KeepAlive {
	arrivals, ok := c.owner.arrivals[key]
	if !ok {
		arrivals = &placement.KeepAlive{
			Weights:  c.policy.KeepAlive,
			Fixed:    c.policy.FixedKeepAlive,
			Shortest: c.policy.ShortestKeepAlive,
			Longest:  c.policy.LongestKeepAlive,
		}
		c.owner.arrivals[key] = arrivals
	}
	return arrivals
}

// unloadIdle unloads the replicas whose keep-alive time has passed, and those that no record declares.
func (c *control) unloadIdle(now time.Time) {
	for _, o := range c.ledger.Owned() {
		for _, idle := range c.idleReplicas(now, o) {
			declared, known := c.configuration.find(idle.key)
			keep := c.arrivalsOf(idle.key).Duration(usualColdStart)
			if known && (now.Sub(idle.usedAt) < keep || c.isKeptWarm(idle.key, o.Record.Backend, declared.declaration.Warm)) {
				continue
			}
			c.log.Info("unload idle", zap.String("Backend", o.Record.Backend), zap.String("Model", idle.key.String()), zap.Duration("KeepAlive", keep))
			c.metrics.idleUnloads.Add(1)
			c.step(now, ledger.UnloadWanted{Key: idle.key, Backend: o.Record.Backend})
		}
	}
}

// isKeptWarm reports whether a replica is among those that stay loaded when idle: the highest ranked ones.
func (c *control) isKeptWarm(key model.ModelKey, backend string, warm int) bool {
	if warm == 0 {
		return false
	}
	var holders []model.Peer
	for _, s := range c.statuses().sorted {
		for _, r := range s.Replicas {
			if r.Key == key && r.State == model.ReservationLoaded && !r.Draining {
				holders = append(holders, model.Peer{Name: s.Backend})
			}
		}
	}
	ranked := membership.Ranked(holders, key.String())
	for _, p := range ranked[:min(warm, len(ranked))] {
		if p.Name == backend {
			return true
		}
	}
	return false
}
