package placement

import (
	"slices"
	"time"
)

// Bounds of what is remembered of a model's arrivals.
const (
	gapMemory = 64 // arrivals
	minGaps   = 4  // arrivals
)

// Weights state what an idle accelerator second and a second of a cold start cost a deployment.
type Weights struct {
	IdleSecond      float64
	ColdStartSecond float64
}

// KeepAlive chooses how long a replica stays loaded without requests, from its own arrivals.
type KeepAlive struct {
	Weights  Weights
	Fixed    time.Duration // when positive, the same time for every model
	Shortest time.Duration
	Longest  time.Duration

	gaps []time.Duration
	last time.Time
}

// Arrive notes a request.
func (k *KeepAlive) Arrive(now time.Time) {
	if !k.last.IsZero() && now.After(k.last) {
		k.gaps = append(k.gaps, now.Sub(k.last))
	}
	if len(k.gaps) > gapMemory {
		k.gaps = k.gaps[1:]
	}
	k.last = now
}

// Duration returns the keep-alive time for a model whose cold start takes coldStart.
func (k *KeepAlive) Duration(coldStart time.Duration) time.Duration {
	if k.Fixed > 0 {
		return k.Fixed
	}
	if len(k.gaps) < minGaps {
		return k.clamp(k.breakEven(coldStart))
	}
	return k.clamp(k.cheapest(coldStart))
}

// breakEven returns the idle time that costs as much as one cold start.
func (k *KeepAlive) breakEven(coldStart time.Duration) time.Duration {
	if k.Weights.IdleSecond <= 0 {
		return k.Longest
	}
	seconds := coldStart.Seconds() * k.Weights.ColdStartSecond / k.Weights.IdleSecond
	return time.Duration(seconds * float64(time.Second))
}

// cheapest returns the time with the lowest cost over the remembered gaps.
func (k *KeepAlive) cheapest(coldStart time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(k.gaps))
	best, bestCost := k.Shortest, k.cost(sorted, k.Shortest, coldStart)
	for _, gap := range sorted {
		keep := gap + gap/8
		if cost := k.cost(sorted, keep, coldStart); cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return best
}

// cost returns what the gaps would have cost with the given keep-alive time.
func (k *KeepAlive) cost(gaps []time.Duration, keep, coldStart time.Duration) float64 {
	cost := 0.0
	for _, gap := range gaps {
		cost += min(gap, keep).Seconds() * k.Weights.IdleSecond
		if gap > keep {
			cost += coldStart.Seconds() * k.Weights.ColdStartSecond
		}
	}
	return cost
}

func (k *KeepAlive) clamp(d time.Duration) time.Duration {
	return min(max(d, k.Shortest), k.Longest)
}
