package entryhost

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/model"
)

// publishStatus publishes the statuses of owned backend servers that changed to all entry hosts.
func (c *control) publishStatus(now time.Time) {
	loaded := c.ledger.Replicas()
	for _, o := range c.ledger.Owned() {
		b := c.owner.getOrCreate(o.Record.Backend)
		c.publishCheckpoints(now, o, b)
		status := c.statusOf(now, o, loaded)
		status.Version = b.version
		if reflect.DeepEqual(status, b.published) {
			continue
		}
		b.version++
		status.Version = b.version
		b.published = status
		c.put(now, gossip.Item{
			ID:    gossip.ItemID{Kind: gossip.KindBackend, Key: status.Backend},
			Rank:  gossip.Rank{Major: status.Term, Minor: status.Version},
			Value: c.encode(status),
		})
	}
}

// publishCheckpoints publishes the checkpoints that a backend server has cached, when they changed.
func (c *control) publishCheckpoints(now time.Time, o ledger.OwnedBackend, b *ownedBackend) {
	found := o.Observation.Checkpoints
	if slices.Equal(found, b.checkpoints) {
		return
	}
	b.checkpoints = slices.Clone(found)
	b.checkpointsVersion++
	c.put(now, gossip.Item{
		ID:    gossip.ItemID{Kind: gossip.KindCheckpoints, Key: o.Record.Backend},
		Rank:  gossip.Rank{Major: o.Record.Term, Minor: b.checkpointsVersion},
		Value: c.encode(found),
	})
}

func (c *control) statusOf(now time.Time, o ledger.OwnedBackend, loaded []ledger.LoadedReplica) model.BackendStatus {
	record := o.Record
	host, _ := c.hosts.find(record.Backend)
	b := c.owner.getOrCreate(record.Backend)
	status := model.BackendStatus{
		Backend:      record.Backend,
		Zone:         record.Zone,
		Service:      host.Service,
		Address:      host.Address,
		OwnerName:    c.self.Name,
		OwnerAddress: c.self.Address,
		Term:         record.Term,
		MemoryBytes:  record.MemoryBytes,
		FreeBytes:    freeBytes(record),
		Capacity:     b.report.Capacity,
		Software:     b.report.Software,
		Refused:      slices.Clone(b.refused),
	}
	for _, r := range record.Reservations {
		if r.State == model.ReservationStanding && !isLoaded(loaded, record.Backend, r.Key) {
			status.Standing = append(status.Standing, r.Key)
			continue
		}
		status.Replicas = append(status.Replicas, c.replicaStatus(now, o, r, loaded))
	}
	slices.SortFunc(status.Replicas, func(x, y model.ReplicaStatus) int { return strings.Compare(x.Key.String(), y.Key.String()) })
	return status
}

// replicaStatus returns the published status of one reservation. A replica is published as loaded as soon as
// the engine reports it, even before the record does.
func (c *control) replicaStatus(now time.Time, o ledger.OwnedBackend, r model.Reservation, loaded []ledger.LoadedReplica) model.ReplicaStatus {
	status := model.ReplicaStatus{Key: r.Key, State: r.State}
	i := findLoaded(loaded, o.Record.Backend, r.Key)
	if i < 0 {
		if status.State == model.ReservationLoaded {
			status.State = model.ReservationUnloading
		}
		return status
	}
	status.State = model.ReservationLoaded
	status.Draining = loaded[i].Draining || c.hosts.isLeaving(o.Record.Backend)
	status.Adapters = c.loadedAdapters(o, r.Key)
	if use := c.owner.getOrCreate(o.Record.Backend).replicas[r.Key]; use != nil && use.isIdle(now) {
		status.IdleSince = use.usedAt
	}
	return status
}

// isLoaded reports whether the engine of a backend server has a replica loaded, whether or not the record shows it.
func isLoaded(loaded []ledger.LoadedReplica, backend string, key model.ModelKey) bool {
	return findLoaded(loaded, backend, key) >= 0
}

func findLoaded(loaded []ledger.LoadedReplica, backend string, key model.ModelKey) int {
	return slices.IndexFunc(loaded, func(l ledger.LoadedReplica) bool {
		return l.Backend == backend && l.Key == key
	})
}
