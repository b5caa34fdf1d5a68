package placement

import (
	"slices"
	"time"

	"citronspread/membership"
	"citronspread/model"
)

const (
	// loadRequestTTL is how long a load request counts as in progress while the owner's status does not show it.
	loadRequestTTL = 3 * time.Second
	// demandTTL is how long a load demand counts unless it is repeated.
	demandTTL = 2 * time.Second
)

// LoadChoice is the decision to load a model version on a backend server.
type LoadChoice struct {
	Key      model.ModelKey
	Backend  string
	Owner    string // peer address of the backend server's owner
	Tier     model.Tier
	Bytes    int64
	Adapters []string
	Demand   model.LoadDemand
}

// Leader decides the loads of those model versions for which this entry host is the leader in its zone.
// It is not safe for concurrent use; only the control thread uses it.
type Leader struct {
	demands   map[model.ModelKey]receivedDemand
	requested map[loadID]requestedLoad
	forwarded map[model.ModelKey]time.Time
}

type receivedDemand struct {
	demand model.LoadDemand
	at     time.Time
}

// requestedLoad is a load that was requested from an owner and that the owner's status does not show yet.
type requestedLoad struct {
	at    time.Time
	bytes int64
}

type loadID struct {
	key     model.ModelKey
	backend string
}

// NewLeader returns a Leader without demands.
func NewLeader() *Leader {
	return &Leader{
		demands:   make(map[model.ModelKey]receivedDemand),
		requested: make(map[loadID]requestedLoad),
		forwarded: make(map[model.ModelKey]time.Time),
	}
}

// AddDemand adds a load demand. Recent demands for a model version are merged: the highest priority and number of
// waiting requests count, and the earlier of two similar deadlines.
func (l *Leader) AddDemand(now time.Time, demand model.LoadDemand) {
	existing, ok := l.demands[demand.Key]
	if ok && now.Sub(existing.at) < demandTTL {
		demand = mergeDemands(existing.demand, demand)
	}
	l.demands[demand.Key] = receivedDemand{demand: demand, at: now}
}

// RecordLoadRequest records that a load was requested from the owner of a backend server.
func (l *Leader) RecordLoadRequest(now time.Time, choice LoadChoice) {
	l.requested[loadID{choice.Key, choice.Backend}] = requestedLoad{at: now, bytes: choice.Bytes}
}

// RemoveLoadRequest removes a load recorded by RecordLoadRequest, because the load was not permitted yet.
func (l *Leader) RemoveLoadRequest(choice LoadChoice) {
	delete(l.requested, loadID{choice.Key, choice.Backend})
}

// MayForward reports whether a demand may be forwarded to other zones now, at most once per period. If so, it records
// the time.
func (l *Leader) MayForward(now time.Time, key model.ModelKey, period time.Duration) bool {
	if now.Sub(l.forwarded[key]) < period {
		return false
	}
	l.forwarded[key] = now
	return true
}

// DelayForward delays forwarding of a demand that another zone has forwarded, so that it is not sent back.
func (l *Leader) DelayForward(now time.Time, key model.ModelKey) {
	l.forwarded[key] = now.Add(demandTTL)
}

// Demands returns the demands that have not expired, most urgent first.
func (l *Leader) Demands(now time.Time) []model.LoadDemand {
	var demands []model.LoadDemand
	for key, d := range l.demands {
		if now.Sub(d.at) >= demandTTL || !now.Before(d.demand.Deadline) {
			delete(l.demands, key)
			continue
		}
		demands = append(demands, d.demand)
	}
	sortDemands(demands)
	return demands
}

// Outcome is the result of Choose: whether a demand leads to a load, and why not.
type Outcome string

// Outcomes of Choose.
const (
	OutcomeLoad       Outcome = "Load"       // the chosen load should be requested from the owner
	OutcomeInProgress Outcome = "UnderWay"   // the model version is being loaded or unloaded, or a load of it has been requested
	OutcomeServed     Outcome = "Served"     // the loaded replicas have capacity for the demand
	OutcomeLimit      Outcome = "Limit"      // the declared number of replicas is loaded or loading
	OutcomeNoCapacity Outcome = "NoCapacity" // no backend server of the zone can load it
)

// View is the state on which Choose decides.
type View struct {
	Zone        string
	Backends    []model.BackendStatus                         // of all zones
	Loads       map[membership.BackendID]membership.DatedLoad // of this zone
	Leaving     []string                                      // backend servers that get no new work
	Declaration model.ModelDeclaration
	Service     string
}

// Choose decides whether and where to load a model version.
func (l *Leader) Choose(now time.Time, demand model.LoadDemand, view View) (LoadChoice, Outcome) {
	count := countReplicas(view, demand.Key)
	inProgress := count.loading + l.countRequested(now, demand.Key, view)
	if inProgress > 0 {
		return LoadChoice{}, OutcomeInProgress
	}
	if draining, found := drainingReplica(demand, view); found && count.ready == 0 {
		return draining, OutcomeLoad
	}
	switch {
	case count.ready > 0 && !exceedsCapacity(demand, count, view):
		return LoadChoice{}, OutcomeServed
	case count.ready+count.loading >= view.Declaration.Replicas:
		return LoadChoice{}, OutcomeLimit
	}
	choice, found := l.best(now, demand, view)
	if !found {
		return LoadChoice{}, OutcomeNoCapacity
	}
	return choice, OutcomeLoad
}

// drainingReplica returns a replica in this zone that is being drained before it is unloaded. A load request to its
// owner cancels the drain, which is faster than any load.
func drainingReplica(demand model.LoadDemand, view View) (LoadChoice, bool) {
	for _, b := range view.Backends {
		r, found := findReplica(b, demand.Key)
		canStay := found && r.Draining && r.State == model.ReservationLoaded
		if !canStay || b.Zone != view.Zone || slices.Contains(view.Leaving, b.Backend) {
			continue
		}
		return LoadChoice{Key: demand.Key, Backend: b.Backend, Owner: b.OwnerAddress, Tier: model.TierMemory, Demand: demand}, true
	}
	return LoadChoice{}, false
}

// requestedFrom returns the total size in bytes and the number of the loads that were requested for a backend server
// and that its status does not show yet.
func (l *Leader) requestedFrom(backend string) (bytes int64, loads int) {
	for id, load := range l.requested {
		if id.backend == backend {
			bytes += load.bytes
			loads++
		}
	}
	return bytes, loads
}

// countRequested returns the number of requested loads of key that no status shows yet, and drops expired or resolved
// ones.
func (l *Leader) countRequested(now time.Time, key model.ModelKey, view View) int {
	count := 0
	for id, load := range l.requested {
		if now.Sub(load.at) >= loadRequestTTL || isResolved(now, view.Backends, id) {
			delete(l.requested, id)
			continue
		}
		if id.key == key {
			count++
		}
	}
	return count
}

// isResolved reports whether the owner's status shows the requested load or its refusal.
func isResolved(now time.Time, backends []model.BackendStatus, id loadID) bool {
	for _, b := range backends {
		if b.Backend == id.backend {
			r, found := findReplica(b, id.key)
			return found && !r.Draining || isRefused(now, b, id.key)
		}
	}
	return false
}

func isRefused(now time.Time, backend model.BackendStatus, key model.ModelKey) bool {
	return slices.ContainsFunc(backend.Refused, func(r model.RefusedLoad) bool {
		return r.Key == key && now.Before(r.Until)
	})
}

func findReplica(backend model.BackendStatus, key model.ModelKey) (model.ReplicaStatus, bool) {
	for _, r := range backend.Replicas {
		if r.Key == key {
			return r, true
		}
	}
	return model.ReplicaStatus{}, false
}

type replicaCount struct {
	ready    int
	loading  int // replicas that are being loaded or unloaded
	capacity int // requests that the ready replicas can run
	running  int
	waiting  int
}

func countReplicas(view View, key model.ModelKey) replicaCount {
	var count replicaCount
	for _, b := range view.Backends {
		r, found := findReplica(b, key)
		if !found || r.Draining {
			continue
		}
		switch r.State {
		case model.ReservationLoading, model.ReservationUnloading:
			count.loading++
		case model.ReservationLoaded:
			count.ready++
			count.capacity += b.Capacity
			load := view.Loads[membership.NewBackendID(b.Backend)]
			count.running += load.Running
			count.waiting += load.Waiting
		}
	}
	return count
}

// exceedsCapacity reports whether the demand exceeds the capacity of the ready replicas.
func exceedsCapacity(demand model.LoadDemand, count replicaCount, view View) bool {
	if demand.Waiting == 0 || count.capacity == 0 {
		return demand.Waiting > 0
	}
	return count.running+count.waiting+demand.Waiting > count.capacity
}
