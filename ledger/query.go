package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronspread/model"
)

// OwnedBackend is a backend server that this host owns, with its latest observation.
type OwnedBackend struct {
	Record      model.BackendRecord
	Observation model.Observation
	ObservedAt  time.Time // when the observation was requested; zero if there is none
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
	Term     int64 // if two hosts report on a backend server, the report with the higher term is valid
	Adapters []string
	Draining bool // routers send no new requests to it
	Running  int
}

// Replicas returns the replicas on owned backend servers that are ready, sorted by model version and backend server.
func (h *Host) Replicas() []LoadedReplica {
	var replicas []LoadedReplica
	for _, b := range h.sortedBackends() {
		if !h.owns(b) || !b.observed {
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
