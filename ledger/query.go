package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronspread/model"
)

// OwnedBackend is a backend server that this host owns.
type OwnedBackend struct {
	Record      model.BackendRecord
	Observation model.Observation // the latest one
	ObservedAt  time.Time
}

// Owned returns the backend servers that this host owns, sorted by name.
func (h *Host) Owned() []OwnedBackend {
	var owned []OwnedBackend
	for _, b := range h.sortedBackends() {
		if h.owns(b) {
			owned = append(owned, OwnedBackend{Record: b.record, Observation: b.latest, ObservedAt: b.latestAt})
		}
	}
	return owned
}

// LoadedReplica is a replica on an owned backend server, ready to serve.
type LoadedReplica struct {
	Key      model.ModelKey
	Backend  string
	Term     int64 // of two reports on a backend server, the one with the higher term counts
	Adapters []string
	Draining bool // gets no new work
	Running  int
}

// Replicas returns the replicas on owned backend servers that are loaded, sorted.
func (h *Host) Replicas() []LoadedReplica {
	var replicas []LoadedReplica
	for _, b := range h.sortedBackends() {
		if !h.owns(b) || !b.answered {
			continue
		}
		for _, r := range b.record.Reservations {
			m, found := findLoaded(b.latest, r.Key)
			if !found || !m.Ready {
				continue
			}
			draining := b.drains[r.Key] != nil || r.State == model.ReservationUnloading
			replicas = append(replicas, LoadedReplica{
				Key: r.Key, Backend: b.name, Term: b.record.Term, Adapters: m.Adapters, Draining: draining, Running: max(m.Running, b.running[r.Key].count),
			})
		}
	}
	slices.SortFunc(replicas, func(a, b LoadedReplica) int {
		return cmp.Or(compareKeys(a.Key, b.Key), cmp.Compare(a.Backend, b.Backend))
	})
	return replicas
}
