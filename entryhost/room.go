package entryhost

import (
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
		wanted := int64(c.policy.FreeLoads) * c.largestAbsent(now, o)
		if c.freeBytesSoon(o)+standingBytes(o.Record) >= wanted {
			continue
		}
		for _, idle := range c.idleReplicas(now, o) {
			declared, _ := c.configuration.find(idle.key)
			if c.isKeptWarm(now, idle.key, o.Record.Backend, declared.declaration.Warm) {
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
func (c *control) largestAbsent(now time.Time, o ledger.OwnedBackend) int64 {
	host, _ := c.hosts.find(o.Record.Backend)
	counts := c.statuses(now)
	largest := int64(0)
	for _, m := range c.configuration.models {
		if m.service == host.Service && counts.count(m.declaration.Key) < m.declaration.Replicas && !holdsModel(o.Record, m.declaration.Key) {
			largest = max(largest, m.declaration.Bytes)
		}
	}
	return largest
}

func holdsModel(record model.BackendRecord, key model.ModelKey) bool {
	for _, r := range record.Reservations {
		if r.Key == key {
			return true
		}
	}
	return false
}
