// Package ledger decides ownership of backend servers, replica slots, reservations and orders.
package ledger

import (
	"time"

	"citronspread/model"
)

// Host is the state of one entry host's part in the ledger. It is not safe for concurrent use.
type Host struct {
	Name             string
	Zone             string
	Address          string // peer address, IP:port
	Incarnation      model.Incarnation
	LongestOrderTime time.Duration // an order reaches its engine within this time after its sender died or closed the connection
	TrustsFencing    bool          // fencing numbers of engines that check them outlive a restart of the engine
}

// Step takes in one event and returns what is to be done.
func (h *Host) Step(now time.Time, e Event) []Action {
	return nil
}

// OwnedBackend is a backend server that this host owns.
type OwnedBackend struct {
	Record      model.BackendRecord
	Observation model.Observation // the latest one
	ObservedAt  time.Time
}

// Owned returns the backend servers that this host owns, sorted by name.
func (h *Host) Owned() []OwnedBackend { return nil }

// LoadedReplica is a replica on an owned backend server, ready to serve.
type LoadedReplica struct {
	Key      model.ModelKey
	Backend  string
	Adapters []string
	Draining bool // gets no new work
	Running  int
}

// Replicas returns the replicas on owned backend servers that are loaded, sorted.
func (h *Host) Replicas() []LoadedReplica { return nil }

// Released reports whether a planned stop has handed over every owned backend server.
func (h *Host) Released() bool { return false }
