package placement

import (
	"slices"
	"time"

	"citronspread/membership"
	"citronspread/model"
)

// Times of the lead's decisions.
const (
	// askPeriod is how long a load that was asked of an owner counts as under way without a sign of it.
	askPeriod = 3 * time.Second
	// demandPeriod is how long a wake counts.
	demandPeriod = 2 * time.Second
)

// LoadChoice names the backend server that is to load a model version.
type LoadChoice struct {
	Key      model.ModelKey
	Backend  string
	Owner    string // peer address of the backend server's owner
	Tier     model.Tier
	Bytes    int64
	Adapters []string
	Wake     model.Wake
}

// Lead decides the loads of the model versions that one entry host leads in its zone.
// It is used by the control thread alone.
type Lead struct {
	demands map[model.ModelKey]demand
	asked   map[loadID]askedLoad
	forward map[model.ModelKey]time.Time
}

type demand struct {
	wake model.Wake
	at   time.Time
}

// askedLoad is a load that was asked of an owner and does not show yet.
type askedLoad struct {
	at    time.Time
	bytes int64
}

type loadID struct {
	key     model.ModelKey
	backend string
}

// NewLead returns a lead without demand.
func NewLead() *Lead {
	return &Lead{
		demands: make(map[model.ModelKey]demand),
		asked:   make(map[loadID]askedLoad),
		forward: make(map[model.ModelKey]time.Time),
	}
}

// Want adds the demand of a wake. The most urgent of several counts.
func (l *Lead) Want(now time.Time, wake model.Wake) {
	held, ok := l.demands[wake.Key]
	if ok && now.Sub(held.at) < demandPeriod {
		wake = mergeWakes(held.wake, wake)
	}
	l.demands[wake.Key] = demand{wake: wake, at: now}
}

// Asked notes that the owner of a backend server was asked to load.
func (l *Lead) Asked(now time.Time, choice LoadChoice) {
	l.asked[loadID{choice.Key, choice.Backend}] = askedLoad{at: now, bytes: choice.Bytes}
}

// Unasked takes back Asked, because the load was not allowed yet.
func (l *Lead) Unasked(choice LoadChoice) {
	delete(l.asked, loadID{choice.Key, choice.Backend})
}

// MayForward reports whether a demand may be passed on to other zones again, at most once in each period.
func (l *Lead) MayForward(now time.Time, key model.ModelKey, period time.Duration) bool {
	if now.Sub(l.forward[key]) < period {
		return false
	}
	l.forward[key] = now
	return true
}

// HoldForward keeps a demand that came from another zone from being passed back.
func (l *Lead) HoldForward(now time.Time, key model.ModelKey) { l.forward[key] = now.Add(demandPeriod) }

// Demands returns the wakes that still count, most urgent first.
func (l *Lead) Demands(now time.Time) []model.Wake {
	var wakes []model.Wake
	for key, d := range l.demands {
		if now.Sub(d.at) >= demandPeriod || !now.Before(d.wake.Deadline) {
			delete(l.demands, key)
			continue
		}
		wakes = append(wakes, d.wake)
	}
	sortWakes(wakes)
	return wakes
}

// Outcome tells why a demand leads to no load here.
type Outcome string

// Outcomes of Choose.
const (
	OutcomeLoad       Outcome = "Load"       // the choice is to be asked of the owner
	OutcomeUnderWay   Outcome = "UnderWay"   // a load that answers the demand is under way
	OutcomeServed     Outcome = "Served"     // the loaded replicas carry the demand
	OutcomeLimit      Outcome = "Limit"      // the decided number is loaded
	OutcomeNoCapacity Outcome = "NoCapacity" // no backend server of the zone can hold it
)

// View is what a lead knows when it decides.
type View struct {
	Zone        string
	Backends    []model.BackendStatus                         // of all zones
	Loads       map[membership.BackendID]membership.DatedLoad // of the own zone
	Leaving     []string                                      // backend servers that get no new work
	Declaration model.ModelDeclaration
	Service     string
}

// Choose decides whether and where a model version is loaded.
func (l *Lead) Choose(now time.Time, wake model.Wake, view View) (LoadChoice, Outcome) {
	count := countReplicas(view, wake.Key)
	underWay := count.loading + l.countAsked(now, wake.Key, view)
	if underWay > 0 {
		return LoadChoice{}, OutcomeUnderWay
	}
	if kept, found := drainingReplica(wake, view); found && count.ready == 0 {
		return kept, OutcomeLoad
	}
	switch {
	case count.ready > 0 && !isCrowded(wake, count, view):
		return LoadChoice{}, OutcomeServed
	case count.ready+count.loading >= view.Declaration.Replicas:
		return LoadChoice{}, OutcomeLimit
	}
	choice, found := l.best(now, wake, view)
	if !found {
		return LoadChoice{}, OutcomeNoCapacity
	}
	return choice, OutcomeLoad
}

// drainingReplica finds a replica of the own zone that is about to be unloaded. Asking its owner for a load
// ends the drain, which is faster than any load.
func drainingReplica(wake model.Wake, view View) (LoadChoice, bool) {
	for _, b := range view.Backends {
		r, held := findReplica(b, wake.Key)
		isKept := held && r.Draining && r.State == model.ReservationLoaded
		if !isKept || b.Zone != view.Zone || slices.Contains(view.Leaving, b.Backend) {
			continue
		}
		return LoadChoice{Key: wake.Key, Backend: b.Backend, Owner: b.OwnerAddress, Tier: model.TierMemory, Wake: wake}, true
	}
	return LoadChoice{}, false
}

// askedOf returns the memory and the number of the loads that were asked of a backend server and do not show yet.
func (l *Lead) askedOf(backend string) (bytes int64, loads int) {
	for id, load := range l.asked {
		if id.backend == backend {
			bytes += load.bytes
			loads++
		}
	}
	return bytes, loads
}

// countAsked counts the asked loads that do not show yet.
func (l *Lead) countAsked(now time.Time, key model.ModelKey, view View) int {
	count := 0
	for id, load := range l.asked {
		if now.Sub(load.at) >= askPeriod || isAnswered(now, view.Backends, id) {
			delete(l.asked, id)
			continue
		}
		if id.key == key {
			count++
		}
	}
	return count
}

// isAnswered reports whether the owner's status shows the asked load, or that it was refused.
func isAnswered(now time.Time, backends []model.BackendStatus, id loadID) bool {
	for _, b := range backends {
		if b.Backend == id.backend {
			r, held := findReplica(b, id.key)
			return held && !r.Draining || isRefused(now, b, id.key)
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
	loading  int
	capacity int // requests that the ready replicas can hold
	running  int
	waiting  int
}

func countReplicas(view View, key model.ModelKey) replicaCount {
	var count replicaCount
	for _, b := range view.Backends {
		r, held := findReplica(b, key)
		if !held || r.Draining {
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

// isCrowded reports whether the ready replicas can't carry the demand.
func isCrowded(wake model.Wake, count replicaCount, view View) bool {
	if wake.Waiting == 0 || count.capacity == 0 {
		return wake.Waiting > 0
	}
	return count.running+count.waiting+wake.Waiting > count.capacity
}
