package placement

import (
	"slices"
	"time"
)

const (
	maxGaps = 64 // number of recent gaps between requests that are stored
	minGaps = 4  // minimum number of gaps to choose by cost; with fewer, the break-even time is used
)

// Weights are the relative costs of one second of an idle accelerator and of one second of a cold start.
type Weights struct {
	IdleSecond      float64
	ColdStartSecond float64
}

// KeepAlive chooses how long a model stays loaded without requests, from the gaps between its recent requests.
type KeepAlive struct {
	Weights     Weights
	Fixed       time.Duration // when positive, the same time for every model
	MinDuration time.Duration
	MaxDuration time.Duration

	gaps        []time.Duration
	lastArrival time.Time
}

// RecordRequest records a request.
func (k *KeepAlive) RecordRequest(now time.Time) {
	if !k.lastArrival.IsZero() && now.After(k.lastArrival) {
		k.gaps = append(k.gaps, now.Sub(k.lastArrival))
	}
	if len(k.gaps) > maxGaps {
		k.gaps = k.gaps[1:]
	}
	k.lastArrival = now
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
		return k.MaxDuration
	}
	seconds := coldStart.Seconds() * k.Weights.ColdStartSecond / k.Weights.IdleSecond
	return time.Duration(seconds * float64(time.Second))
}

// cheapest returns the keep-alive time with the lowest cost over the recent gaps.
func (k *KeepAlive) cheapest(coldStart time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(k.gaps))
	best, bestCost := k.MinDuration, k.cost(sorted, k.MinDuration, coldStart)
	for _, gap := range sorted {
		keepAlive := gap + gap/8
		if cost := k.cost(sorted, keepAlive, coldStart); cost < bestCost {
			best, bestCost = keepAlive, cost
		}
	}
	return best
}

// cost returns the total cost of the gaps with the given keep-alive time.
func (k *KeepAlive) cost(gaps []time.Duration, keepAlive, coldStart time.Duration) float64 {
	cost := 0.0
	for _, gap := range gaps {
		cost += min(gap, keepAlive).Seconds() * k.Weights.IdleSecond
		if gap > keepAlive {
			cost += coldStart.Seconds() * k.Weights.ColdStartSecond
		}
	}
	return cost
}

func (k *KeepAlive) clamp(d time.Duration) time.Duration {
	return min(max(d, k.MinDuration), k.MaxDuration)
}
