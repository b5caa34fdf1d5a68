// Package placement decides which backend server loads a model version, in which order, and how long it stays.
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
	status   model.BackendStatus
	tier     model.Tier
	standing bool // memory and slot are kept for this load
	evict    bool // idle replicas have to go first
	load     int
	busy     int // loads under way
}

// evictionDelay is how long an eviction takes, in steps from one tier to the next: a replica is drained before
// it is unloaded, which takes longer than reading a checkpoint from one tier further away.
const evictionDelay = 1.5

// delay returns how long a load is likely to take, in steps from one tier to the next.
func (c candidate) delay() float64 {
	delay := float64(tierOrder(c.tier))
	if c.evict {
		delay += evictionDelay
	}
	return delay
}

// compareStanding puts a backend server with a standing reservation first: it can load while the store is down.
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

// best returns the backend server that keeps room for the load, or is likely to serve first by tier and eviction,
// then the one with the fewest loads under way and the lowest load.
func (l *Lead) best(now time.Time, wake model.Wake, view View) (LoadChoice, bool) {
	possible := l.candidates(now, wake, view)
	if len(possible) == 0 {
		return LoadChoice{}, false
	}
	first := slices.MinFunc(possible, compareCandidates)
	adapters := view.Declaration.Adapters
	return LoadChoice{
		Key:      wake.Key,
		Backend:  first.status.Backend,
		Owner:    first.status.OwnerAddress,
		Tier:     first.tier,
		Bytes:    view.Declaration.Bytes,
		Adapters: adapters,
		Wake:     wake,
	}, true
}

func (l *Lead) candidates(now time.Time, wake model.Wake, view View) []candidate {
	var candidates []candidate
	for _, b := range view.Backends {
		if b.Zone != view.Zone || b.Service != view.Service || slices.Contains(view.Leaving, b.Backend) {
			continue
		}
		if _, held := findReplica(b, wake.Key); held || b.OwnerAddress == "" {
			continue
		}
		if isRefused(now, b, wake.Key) {
			continue
		}
		askedBytes, asked := l.askedOf(b.Backend)
		standing := slices.Contains(b.Standing, wake.Key)
		fits := standing || b.FreeBytes-askedBytes >= view.Declaration.Bytes
		if !fits && !hasIdleReplica(b) {
			continue
		}
		load := view.Loads[membership.NewBackendID(b.Backend)]
		candidates = append(candidates, candidate{
			status:   b,
			tier:     TierOf(b.Checkpoints, wake.Key),
			standing: standing,
			evict:    !fits,
			load:     load.Running + load.Waiting,
			busy:     countLoading(b) + asked,
		})
	}
	return candidates
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareStanding(a, b),
		cmp.Compare(a.delay(), b.delay()),
		cmp.Compare(tierOrder(a.tier), tierOrder(b.tier)),
		cmp.Compare(a.busy, b.busy),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.status.Backend, b.status.Backend),
	)
}

// TierOf returns where a backend server finds the checkpoint of a model version.
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

func mergeWakes(a, b model.Wake) model.Wake {
	merged := b
	merged.Priority = max(a.Priority, b.Priority)
	merged.Waiting = max(a.Waiting, b.Waiting)
	if a.Deadline.After(time.Time{}) && a.Deadline.Before(b.Deadline) && a.Deadline.After(b.Deadline.Add(-demandPeriod)) {
		merged.Deadline = a.Deadline
	}
	return merged
}

// sortWakes sorts by falling priority, then by deadline.
func sortWakes(wakes []model.Wake) {
	slices.SortFunc(wakes, compareWakes)
}

func compareWakes(a, b model.Wake) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Key.String(), b.Key.String()),
	)
}
