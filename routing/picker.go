package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// maxObservationAge is the age up to which a router's own observation of a replica is used.
const maxObservationAge = time.Second

// Candidate is a replica with free capacity for a request.
type Candidate struct {
	Backend     string
	Capacity    int
	Outstanding int // requests of this router
	Others      int // requests of other routers, from the last report
	Latency     time.Duration
	ObservedAt  time.Time // when this router last observed Latency, zero if never
	Credits     int       // further requests that the owner allows this router to send

	KnownOthers float64 // requests of other routers, by statements and reports of hosts; see Router.loadView
	Confidence  float64 // weight of KnownOthers, 0 if they are not known
	Typical     float64 // mean load of the known backend servers, per slot
	Slowness    float64 // 1 is normal
}

// load returns the known number of requests on the replica.
func (c *Candidate) load() int { return c.Outstanding + c.Others }

// isFresh reports whether the router has observed the replica within maxObservationAge.
func (c *Candidate) isFresh(now time.Time) bool {
	return !c.ObservedAt.IsZero() && now.Sub(c.ObservedAt) <= maxObservationAge
}

// Picker chooses one of the candidates, of which there is at least one, and returns its index.
type Picker interface {
	Pick(now time.Time, candidates []Candidate, r *rand.Rand) int
}

// RandomPicker chooses a candidate with equal probability.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(_ time.Time, candidates []Candidate, r *rand.Rand) int {
	return r.IntN(len(candidates))
}

// LeastPicker chooses the candidate with the lowest known load in relation to its capacity.
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

// costExponent is how strongly LatencyPicker prefers candidates of lower cost.
const costExponent = 8

// LatencyPicker chooses at random, with weights that fall with the expected latency of a candidate. The random choice
// keeps routers with the same outdated information from all choosing the same candidate.
type LatencyPicker struct{}

// Pick implements Picker.
func (LatencyPicker) Pick(now time.Time, candidates []Candidate, r *rand.Rand) int {
	typical := typicalLatency(now, candidates)
	weights, sum := make([]float64, len(candidates)), 0.0
	for i := range candidates {
		weights[i] = math.Pow(latencyCost(now, &candidates[i], typical), -costExponent)
		sum += weights[i]
	}
	remaining := r.Float64() * sum
	for i, w := range weights {
		remaining -= w
		if remaining < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// TwoChoicesPicker chooses the one with the lower expected latency of two random candidates.
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

// latencyCost estimates how long a new request takes on the candidate. The load of other routers is left out: recent
// observations of the latency include it, and its late reports would make all routers choose the same candidate.
func latencyCost(now time.Time, c *Candidate, typical time.Duration) float64 {
	latency := typical
	if c.isFresh(now) {
		latency = c.Latency
	}
	return max(latency, time.Microsecond).Seconds() * float64(c.Outstanding+1) / float64(max(c.Capacity, 1))
}

// typicalLatency returns the mean latency of the recently observed candidates. It is assumed for the other ones.
func typicalLatency(now time.Time, candidates []Candidate) time.Duration {
	var sum time.Duration
	count := 0
	for i := range candidates {
		if candidates[i].isFresh(now) {
			sum += candidates[i].Latency
			count++
		}
	}
	if count == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(count)
}

// EvenPicker chooses at random, with weights that fall with the expected load of a candidate per slot. The load is what this
// router has there and what is known of the other routers, which counts less the older it is.
type EvenPicker struct {
	Exponent float64 // how strongly it prefers candidates of lower load
}

// Pick implements Picker.
func (p EvenPicker) Pick(now time.Time, candidates []Candidate, r *rand.Rand) int {
	if len(candidates) == 1 {
		return 0
	}
	unknown := unknownLoad(candidates)
	typical := typicalLatency(now, candidates)
	weights, sum := make([]float64, len(candidates)), 0.0
	for i := range candidates {
		c := &candidates[i]
		slots := float64(max(c.Capacity, 1))
		others := c.Confidence*c.KnownOthers + (1-c.Confidence)*unknown*slots
		cost := (float64(c.Outstanding) + others + 1) / slots * max(c.Slowness, 0.1) * latencyFactor(now, c, typical)
		weights[i] = slots * math.Pow(cost, -p.Exponent)
		sum += weights[i]
	}
	remaining := r.Float64() * sum
	for i, w := range weights {
		remaining -= w
		if remaining < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// unknownLoad returns the load per slot that is assumed where none is known: the mean of the known candidates, or that of all
// backend servers if it is higher, so that a backend server gains nothing if its load is not known.
func unknownLoad(candidates []Candidate) float64 {
	sum, weight, typical := 0.0, 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		sum += c.Confidence * (c.KnownOthers + float64(c.Outstanding)) / float64(max(c.Capacity, 1))
		weight += c.Confidence
		typical = max(typical, c.Typical)
	}
	if weight == 0 {
		return typical
	}
	return max(typical, sum/weight)
}

// maxLatencyFactor bounds how much a slow response makes a candidate less likely.
const maxLatencyFactor = 8

// latencyFactor returns by how much the candidate's responses to this router take longer than the typical ones, at least 1.
func latencyFactor(now time.Time, c *Candidate, typical time.Duration) float64 {
	if !c.isFresh(now) || typical <= 0 {
		return 1
	}
	return min(max(1, c.Latency.Seconds()/typical.Seconds()), maxLatencyFactor)
}

// CreditPicker chooses the candidate with the most credits.
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
