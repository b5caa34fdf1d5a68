// Package placement decides which backend server loads a model version, in which order loads may start, and how long an
// idle replica stays loaded.
package placement

import (
	"cmp"
	"slices"
	"time"

	"citronspread/membership"
	"citronspread/model"
)

// candidate is a backend server that could load a model version.
type candidate struct {
	status        model.BackendStatus
	tier          model.Tier
	standing      bool // memory and a slot are reserved for this load
	needsEviction bool // idle replicas must be evicted first
	requests      int  // running and waiting requests
	loading       int  // loads in progress
}

// evictionDelay is the cost of an eviction, in steps from one tier to the next. A replica is drained before it is
// unloaded, which takes longer than reading a checkpoint from the next slower tier.
const evictionDelay = 1.5

// delay returns the estimated duration of a load, in steps from one tier to the next.
func (c candidate) delay() float64 {
	delay := float64(tierOrder(c.tier))
	if c.needsEviction {
		delay += evictionDelay
	}
	return delay
}

// compareStanding orders backend servers with a standing reservation first, because they can load while the store is
// unavailable.
func compareStanding(a, b candidate) int {
	switch {
	case a.standing == b.standing:
		return 0
	case a.standing:
		return -1
	default:
		return 1
	}
}

// best chooses the backend server for a load: one with a standing reservation first, then the one with the shortest
// estimated delay by tier and eviction, then the one with the fewest loads in progress and the fewest requests.
func (l *Leader) best(now time.Time, demand model.LoadDemand, view View) (LoadChoice, bool) {
	candidates := l.candidates(now, demand, view)
	if len(candidates) == 0 {
		return LoadChoice{}, false
	}
	first := slices.MinFunc(candidates, compareCandidates)
	adapters := view.Declaration.Adapters
	return LoadChoice{
		Key:      demand.Key,
		Backend:  first.status.Backend,
		Owner:    first.status.OwnerAddress,
		Tier:     first.tier,
		Bytes:    view.Declaration.Bytes,
		Adapters: adapters,
		Demand:   demand,
	}, true
}

func (l *Leader) candidates(now time.Time, demand model.LoadDemand, view View) []candidate {
	var candidates []candidate
	for _, b := range view.Backends {
		if b.Zone != view.Zone || b.Service != view.Service || slices.Contains(view.Leaving, b.Backend) {
			continue
		}
		if _, found := findReplica(b, demand.Key); found || b.OwnerAddress == "" {
			continue
		}
		if isRefused(now, b, demand.Key) {
			continue
		}
		requestedBytes, requested := l.requestedFrom(b.Backend)
		standing := slices.Contains(b.Standing, demand.Key)
		fits := standing || b.FreeBytes-requestedBytes >= view.Declaration.Bytes
		if !fits && !hasIdleReplica(b) {
			continue
		}
		load := view.Loads[membership.NewBackendID(b.Backend)]
		candidates = append(candidates, candidate{
			status:        b,
			tier:          TierOf(b.Checkpoints, demand.Key),
			standing:      standing,
			needsEviction: !fits,
			requests:      load.Running + load.Waiting,
			loading:       countLoading(b) + requested,
		})
	}
	return candidates
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareStanding(a, b),
		cmp.Compare(a.delay(), b.delay()),
		cmp.Compare(tierOrder(a.tier), tierOrder(b.tier)),
		cmp.Compare(a.loading, b.loading),
		cmp.Compare(a.requests, b.requests),
		cmp.Compare(a.status.Backend, b.status.Backend),
	)
}

// TierOf returns the storage tier from which a backend server reads the checkpoint of a model version.
func TierOf(checkpoints []model.Checkpoint, key model.ModelKey) model.Tier {
	for _, c := range checkpoints {
		if c.Key == key {
			return c.Tier
		}
	}
	return model.TierRemote
}

func tierOrder(tier model.Tier) int {
	return slices.Index([]model.Tier{model.TierMemory, model.TierDisk, model.TierRemote}, tier)
}

func countLoading(backend model.BackendStatus) int {
	count := 0
	for _, r := range backend.Replicas {
		if r.State == model.ReservationLoading {
			count++
		}
	}
	return count
}

func hasIdleReplica(backend model.BackendStatus) bool {
	return slices.ContainsFunc(backend.Replicas, func(r model.ReplicaStatus) bool {
		return r.State == model.ReservationLoaded && !r.IdleSince.IsZero() && !r.Draining
	})
}

func mergeDemands(a, b model.LoadDemand) model.LoadDemand {
	merged := b
	merged.Priority = max(a.Priority, b.Priority)
	merged.Waiting = max(a.Waiting, b.Waiting)
	if a.Deadline.After(time.Time{}) && a.Deadline.Before(b.Deadline) && a.Deadline.After(b.Deadline.Add(-demandTTL)) {
		merged.Deadline = a.Deadline
	}
	return merged
}

// sortDemands sorts by descending priority, then by deadline.
func sortDemands(demands []model.LoadDemand) {
	slices.SortFunc(demands, compareDemands)
}

func compareDemands(a, b model.LoadDemand) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Key.String(), b.Key.String()),
	)
}
