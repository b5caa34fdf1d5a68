package entryhost

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/model"
)

// keepMemoryFree unloads one idle replica of each backend server without enough free memory for the next loads, so that
// a cold start does not wait for a drain. It selects the longest idle replica that is not kept warm.
func (c *control) keepMemoryFree(now time.Time) {
	if c.policy.FreeLoads == 0 {
		return
	}
	for _, o := range c.ledger.Owned() {
		required := int64(c.policy.FreeLoads) * c.largestUnloadedModel(o)
		if c.freeBytesAfterUnloads(o)+standingBytes(o.Record) >= required {
			continue
		}
		for _, idle := range c.idleReplicas(now, o) {
			declared, _ := c.configuration.find(idle.key)
			if c.isKeptWarm(idle.key, o.Record.Backend, declared.declaration.Warm) {
				continue
			}
			c.log.Info("unload ahead", zap.String("Backend", o.Record.Backend), zap.String("Model", idle.key.String()))
			c.metrics.unloadsAhead.Add(1)
			c.step(now, ledger.UnloadRequested{Key: idle.key, Backend: o.Record.Backend})
			break
		}
	}
}

// largestUnloadedModel returns the size in bytes of the largest model version that the backend server may have to load.
func (c *control) largestUnloadedModel(o ledger.OwnedBackend) int64 {
	host, _ := c.hosts.find(o.Record.Backend)
	counts := c.statuses()
	largest := int64(0)
	for _, m := range c.configuration.models {
		if m.service == host.Service && counts.count(m.declaration.Key) < m.declaration.Replicas && !hasReservation(o.Record, m.declaration.Key) {
			largest = max(largest, m.declaration.Bytes)
		}
	}
	return largest
}

func hasReservation(record model.BackendRecord, key model.ModelKey) bool {
	return slices.ContainsFunc(record.Reservations, func(r model.Reservation) bool { return r.Key == key })
}

// startPendingLoads starts the pending loads that fit and evicts idle replicas for the others. It drops loads that have
// been pending for pendingLoadTimeout.
func (c *control) startPendingLoads(now time.Time) {
	for _, o := range c.ledger.Owned() {
		b := c.owner.getOrCreate(o.Record.Backend)
		var remaining []pendingLoad
		for _, p := range b.pendingLoads {
			if !c.startPendingLoad(now, o, p) && now.Before(p.expiresAt) {
				remaining = append(remaining, p)
			}
		}
		b.pendingLoads = remaining
	}
}

// startPendingLoad starts a pending load if its memory is free, else it frees memory.
// It reports whether the load is no longer pending.
func (c *control) startPendingLoad(now time.Time, o ledger.OwnedBackend, p pendingLoad) bool {
	declared, known := c.configuration.find(p.key)
	if !known {
		return true
	}
	// An existing reservation is a standing one to use, or one of a draining replica whose drain is to be cancelled.
	if hasReservation(o.Record, p.key) || freeBytes(o.Record) >= declared.declaration.Bytes {
		c.step(now, ledger.LoadRequested{Key: p.key, Backend: o.Record.Backend, Adapters: p.adapters})
		return true
	}
	if standingBytes(o.Record) > 0 {
		c.step(now, ledger.StandingChanged{Backend: o.Record.Backend}) // release standing reservations before evicting replicas
		return false
	}
	c.evictIdle(now, o, declared.declaration.Bytes)
	return false
}

func standingBytes(record model.BackendRecord) int64 {
	var sum int64
	for _, r := range record.Reservations {
		if r.State == model.ReservationStanding {
			sum += r.Bytes
		}
	}
	return sum
}

func freeBytes(record model.BackendRecord) int64 {
	free := record.MemoryBytes
	for _, r := range record.Reservations {
		free -= r.Bytes
	}
	return free
}

// evictIdle unloads the longest idle replicas until the required bytes are free or being freed.
func (c *control) evictIdle(now time.Time, o ledger.OwnedBackend, required int64) {
	free := c.freeBytesAfterUnloads(o)
	for _, victim := range c.idleReplicas(now, o) {
		if free >= required {
			return
		}
		free += victim.bytes
		c.log.Info("unload for room", zap.String("Backend", o.Record.Backend), zap.String("Model", victim.key.String()))
		c.metrics.evictions.Add(1)
		c.step(now, ledger.UnloadRequested{Key: victim.key, Backend: o.Record.Backend})
	}
}

// freeBytesAfterUnloads returns the bytes that are free or being freed by drains and unloads.
func (c *control) freeBytesAfterUnloads(o ledger.OwnedBackend) int64 {
	free := freeBytes(o.Record)
	for _, r := range o.Record.Reservations {
		if r.State == model.ReservationUnloading || c.isDraining(o.Record.Backend, r.Key) {
			free += r.Bytes
		}
	}
	return free
}

func (c *control) isDraining(backend string, key model.ModelKey) bool {
	return slices.ContainsFunc(c.ledger.Replicas(), func(r ledger.LoadedReplica) bool {
		return r.Backend == backend && r.Key == key && r.Draining
	})
}

type idleReplica struct {
	key    model.ModelKey
	bytes  int64
	usedAt time.Time
}

// idleReplicas returns the idle replicas of a backend server, the longest idle first.
func (c *control) idleReplicas(now time.Time, o ledger.OwnedBackend) []idleReplica {
	var idle []idleReplica
	b := c.owner.getOrCreate(o.Record.Backend)
	for _, r := range o.Record.Reservations {
		use := b.replicas[r.Key]
		if r.State != model.ReservationLoaded || use == nil || !use.isIdle(now) || c.isDraining(o.Record.Backend, r.Key) {
			continue
		}
		idle = append(idle, idleReplica{key: r.Key, bytes: r.Bytes, usedAt: use.usedAt})
	}
	slices.SortFunc(idle, func(a, b idleReplica) int { return a.usedAt.Compare(b.usedAt) })
	return idle
}

func (u *replicaUse) isIdle(now time.Time) bool {
	return u.running(now) == 0 && now.Sub(u.usedAt) >= idleAfter
}

// running returns the number of running requests in the reports that have not expired.
func (u *replicaUse) running(now time.Time) int {
	running := 0
	for _, r := range u.reports {
		if now.Sub(r.at) < usageReportTTL {
			running += r.running
		}
	}
	return running
}
