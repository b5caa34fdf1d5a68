package entryhost

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/model"
)

// keepRoom unloads the longest idle replica of a backend server that has no room for the next loads,
// so that a cold start does not wait for a drain.
func (c *control) keepRoom(now time.Time) {
	if c.policy.FreeLoads == 0 {
		return
	}
	for _, o := range c.ledger.Owned() {
		wanted := int64(c.policy.FreeLoads) * c.largestAbsent(o)
		if c.freeBytesSoon(o)+standingBytes(o.Record) >= wanted {
			continue
		}
		for _, idle := range c.idleReplicas(now, o) {
			declared, _ := c.configuration.find(idle.key)
			if c.isKeptWarm(idle.key, o.Record.Backend, declared.declaration.Warm) {
				continue
			}
			c.log.Info("unload ahead", zap.String("Backend", o.Record.Backend), zap.String("Model", idle.key.String()))
			c.metrics.unloadsAhead.Add(1)
			c.step(now, ledger.UnloadWanted{Key: idle.key, Backend: o.Record.Backend})
			break
		}
	}
}

// largestAbsent returns the memory of the largest model version that the backend server may have to load.
func (c *control) largestAbsent(o ledger.OwnedBackend) int64 {
	host, _ := c.hosts.find(o.Record.Backend)
	counts := c.statuses()
	largest := int64(0)
	for _, m := range c.configuration.models {
		if m.service == host.Service && counts.count(m.declaration.Key) < m.declaration.Replicas && !holdsModel(o.Record, m.declaration.Key) {
			largest = max(largest, m.declaration.Bytes)
		}
	}
	return largest
}

func holdsModel(record model.BackendRecord, key model.ModelKey) bool {
	return slices.ContainsFunc(record.Reservations, func(r model.Reservation) bool { return r.Key == key })
}

// serveWants starts the wanted loads that fit, and makes room for the others by unloading idle replicas.
func (c *control) serveWants(now time.Time) {
	for _, o := range c.ledger.Owned() {
		b := c.owner.get(o.Record.Backend)
		var kept []wantedLoad
		for _, w := range b.wants {
			if !c.serveWant(now, o, w) && now.Before(w.until) {
				kept = append(kept, w)
			}
		}
		b.wants = kept
	}
}

// serveWant reports whether the wanted load needs no more attention.
func (c *control) serveWant(now time.Time, o ledger.OwnedBackend, w wantedLoad) bool {
	declared, known := c.configuration.find(w.key)
	if !known {
		return true
	}
	// A reservation that is there is a standing one to be used, or a replica whose drain is to end.
	if holdsModel(o.Record, w.key) || freeBytes(o.Record) >= declared.declaration.Bytes {
		c.step(now, ledger.LoadWanted{Key: w.key, Backend: o.Record.Backend, Adapters: w.adapters})
		return true
	}
	if standingBytes(o.Record) > 0 {
		c.step(now, ledger.StandingWanted{Backend: o.Record.Backend}) // memory kept in advance goes first
		return false
	}
	c.makeRoom(now, o, declared.declaration.Bytes)
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

// makeRoom unloads the replicas that have been idle longest until the wanted bytes will be free.
func (c *control) makeRoom(now time.Time, o ledger.OwnedBackend, wanted int64) {
	free := c.freeBytesSoon(o)
	for _, victim := range c.idleReplicas(now, o) {
		if free >= wanted {
			return
		}
		free += victim.bytes
		c.log.Info("unload for room", zap.String("Backend", o.Record.Backend), zap.String("Model", victim.key.String()))
		c.metrics.evictions.Add(1)
		c.step(now, ledger.UnloadWanted{Key: victim.key, Backend: o.Record.Backend})
	}
}

// freeBytesSoon returns the memory that is free or is being freed.
func (c *control) freeBytesSoon(o ledger.OwnedBackend) int64 {
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
	b := c.owner.get(o.Record.Backend)
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

func (u *replicaUse) running(now time.Time) int {
	running := 0
	for _, r := range u.reports {
		if now.Sub(r.at) < usageFreshness {
			running += r.running
		}
	}
	return running
}
