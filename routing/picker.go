package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// freshObservation is the age up to which a router's own observation goes before a report.
const freshObservation = time.Second

// Candidate is a replica that has room for a request.
type Candidate struct {
	Backend     string
	Capacity    int
	Outstanding int // requests of this router
	Others      int // requests of other routers, from the last report
	Latency     time.Duration
	ObservedAt  time.Time // when this router last observed Latency, zero when never
	Credits     int       // requests that the owner lets this router add
}

// load returns the requests on the replica, as far as they are known.
func (c *Candidate) load() int { return c.Outstanding + c.Others }

// fresh reports whether the router has observed the replica lately.
func (c *Candidate) fresh(now time.Time) bool {
	return !c.ObservedAt.IsZero() && now.Sub(c.ObservedAt) <= freshObservation
}

// Picker chooses one of several candidates and returns its index.
type Picker interface {
	Pick(now time.Time, candidates []Candidate, r *rand.Rand) int
}

// RandomPicker chooses any candidate.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(_ time.Time, candidates []Candidate, r *rand.Rand) int {
	return r.IntN(len(candidates))
}

// LeastPicker chooses the candidate with the smallest known load for its capacity.
type LeastPicker struct{}

// Pick implements Picker.
func (LeastPicker) Pick(_ time.Time, candidates []Candidate, r *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		a, b := &candidates[i], &candidates[best]
		left, right := a.load()*max(b.Capacity, 1), b.load()*max(a.Capacity, 1)
		if left < right {
			best, ties = i, 1
			continue
		}
		if left > right {
			continue
		}
		ties++
		if r.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// costExponent sets how strongly LatencyPicker prefers a candidate of lower cost.
const costExponent = 8

// LatencyPicker chooses at random, with a weight that falls with the expected time on a candidate.
// Routers that know equally little then do not all choose the same candidate.
type LatencyPicker struct{}

// Pick implements Picker.
func (LatencyPicker) Pick(now time.Time, candidates []Candidate, r *rand.Rand) int {
	typical := typicalLatency(now, candidates)
	weights, sum := make([]float64, len(candidates)), 0.0
	for i := range candidates {
		weights[i] = math.Pow(latencyCost(now, &candidates[i], typical), -costExponent)
		sum += weights[i]
	}
	rest := r.Float64() * sum
	for i, w := range weights {
		rest -= w
		if rest < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// TwoChoicesPicker takes the better of two random candidates by the expected time on them.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(now time.Time, candidates []Candidate, r *rand.Rand) int {
	typical := typicalLatency(now, candidates)
	i, j := r.IntN(len(candidates)), r.IntN(len(candidates))
	if latencyCost(now, &candidates[j], typical) < latencyCost(now, &candidates[i], typical) {
		return j
	}
	return i
}

// latencyCost estimates how long a new request takes on the candidate. The load of other routers is left out:
// the latency that was observed lately contains it, and a late report of it draws all routers to one candidate.
func latencyCost(now time.Time, c *Candidate, typical time.Duration) float64 {
	latency := typical
	if c.fresh(now) {
		latency = c.Latency
	}
	return max(latency, time.Microsecond).Seconds() * float64(c.Outstanding+1) / float64(max(c.Capacity, 1))
}

// typicalLatency is assumed of candidates that were not observed lately.
func typicalLatency(now time.Time, candidates []Candidate) time.Duration {
	var sum time.Duration
	count := 0
	for i := range candidates {
		if candidates[i].fresh(now) {
			sum += candidates[i].Latency
			count++
		}
	}
	if count == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(count)
}

// CreditPicker chooses the candidate with the most credits left.
type CreditPicker struct{}

// Pick implements Picker.
func (CreditPicker) Pick(_ time.Time, candidates []Candidate, r *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		left, right := candidates[i].Credits, candidates[best].Credits
		if left < right {
			continue
		}
		if left > right {
			best, ties = i, 1
			continue
		}
		ties++
		if r.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}
