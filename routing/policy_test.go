package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const policySeeds = 3

// runSeeds runs a plan with policySeeds seeds and sums the results.
func runSeeds(p plan) results {
	sum := results{short: hdrhistogram.New(1, 3_600_000, 3), long: hdrhistogram.New(1, 3_600_000, 3)}
	for seed := range uint64(policySeeds) {
		p.seed = seed + 1
		f := newPolicySimulation(p).run()
		sum.short.Merge(f.short)
		sum.long.Merge(f.long)
		sum.shortSent += f.shortSent
		sum.shortInTime += f.shortInTime
		sum.longSent += f.longSent
		sum.longFinished += f.longFinished
		sum.refused += f.refused
		sum.moves += f.moves
	}
	return sum
}

func reportShort(b *testing.B, f results) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.short.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(f.short.ValueAtQuantile(99)), "p99-ms")
	b.ReportMetric(float64(f.short.ValueAtQuantile(99.9)), "p99.9-ms")
	b.ReportMetric(100*float64(f.shortInTime)/float64(max(1, f.shortSent)), "%intime")
}

// lowestLatencyPicker always chooses the candidate with the lowest expected latency. It performed worse than
// LatencyPicker and is retained for comparison.
type lowestLatencyPicker struct{}

func (lowestLatencyPicker) Pick(now time.Time, candidates []Candidate, _ *rand.Rand) int {
	typical := typicalLatency(now, candidates)
	best := 0
	for i := range candidates {
		if latencyCost(now, &candidates[i], typical) < latencyCost(now, &candidates[best], typical) {
			best = i
		}
	}
	return best
}

// BenchmarkPolicyPickers compares pickers while a third of the replicas is slow for 1.5 s at a time and reports are
// 2 s late.
func BenchmarkPolicyPickers(b *testing.B) {
	for _, load := range []float64{0.3, 0.5, 0.7} {
		for _, v := range []struct {
			name   string
			picker Picker
			moves  bool
		}{
			{"random", RandomPicker{}, false},
			{"least", LeastPicker{}, false},
			{"credits", CreditPicker{}, false},
			{"two-choices", TwoChoicesPicker{}, false},
			{"lowest-latency", lowestLatencyPicker{}, false},
			{"latency", LatencyPicker{}, false},
			{"latency+moves", LatencyPicker{}, true},
		} {
			b.Run(fmt.Sprintf("load=%v/%s", load, v.name), func(b *testing.B) {
				// Nine replicas that run eight requests each, with 30 tokens of at least 20 ms: about 70 requests a second.
				f := runSeeds(plan{
					routers: 3, replicas: 9, capacity: 8, length: time.Minute, policy: DefaultPolicy(), picker: v.picker, moves: v.moves,
					shortRate: 70 * load, shortTokens: 30, shortTimeout: 30 * time.Second, enginePrio: true,
					slowFactor: 8, slowFor: 1500 * time.Millisecond, slowEvery: 4 * time.Second,
				})
				reportShort(b, f)
				b.ReportMetric(100*float64(f.moves)/float64(max(1, f.shortSent)), "%moved")
			})
		}
	}
}

// BenchmarkPolicyRouters compares pickers when the load is spread over many routers, so that each observes little of it.
func BenchmarkPolicyRouters(b *testing.B) {
	for _, routers := range []int{2, 10, 40} {
		for _, v := range []struct {
			name   string
			picker Picker
		}{{"random", RandomPicker{}}, {"least", LeastPicker{}}, {"two-choices", TwoChoicesPicker{}}, {"lowest-latency", lowestLatencyPicker{}}, {"latency", LatencyPicker{}}} {
			b.Run(fmt.Sprintf("routers=%d/%s", routers, v.name), func(b *testing.B) {
				f := runSeeds(plan{
					routers: routers, replicas: 9, capacity: 8, length: 30 * time.Second, policy: DefaultPolicy(), picker: v.picker, moves: true,
					shortRate: 42, shortTokens: 30, shortTimeout: 30 * time.Second, enginePrio: true,
					slowFactor: 8, slowFor: 1500 * time.Millisecond, slowEvery: 4 * time.Second,
				})
				reportShort(b, f)
				b.ReportMetric(100*float64(f.moves)/float64(max(1, f.shortSent)), "%moved")
			})
		}
	}
}

// BenchmarkPolicyClassQueues compares ways to run long requests beside short ones.
func BenchmarkPolicyClassQueues(b *testing.B) {
	shared, engines, queues, both := DefaultPolicy(), DefaultPolicy(), DefaultPolicy(), DefaultPolicy()
	shared.LongTokens, engines.LongCapShare = 1<<30, 1
	engines.LongFloorShare = 1
	variants := []variant{
		{"shared", plan{policy: shared, noDeadline: true}},
		{"engine-priorities", plan{policy: engines, noDeadline: true, engineQueue: true, enginePrio: true}},
		{"class-queues", plan{policy: queues}},
		{"class-queues+priorities", plan{policy: both, enginePrio: true}},
	}
	for _, longRate := range []float64{0, 0.3, 0.6, 0.9} {
		for _, v := range variants {
			b.Run(fmt.Sprintf("long=%v/%s", longRate, v.name), func(b *testing.B) {
				p := v.plan
				p.routers, p.replicas, p.capacity, p.length, p.picker = 2, 4, 8, 4*time.Minute, LatencyPicker{}
				p.shortRate, p.shortTokens, p.shortTimeout = 12, 30, 20*time.Second
				p.longRate, p.longTokens, p.longTimeout = longRate, 1500, 30*time.Minute
				f := runSeeds(p)
				reportShort(b, f)
				b.ReportMetric(100*float64(f.longFinished)/float64(max(1, f.longSent)), "%long")
				b.ReportMetric(float64(f.long.ValueAtQuantile(99))/1000, "long-p99-s")
			})
		}
	}
}

// variant is one of the compared policies.
type variant struct {
	name string
	plan plan
}

func admissionVariants() []variant {
	bounded := DefaultPolicy()
	unbounded := DefaultPolicy()
	unbounded.QueueLimit = 1 << 20
	return []variant{
		{"none", plan{policy: unbounded, noDeadline: true}},
		{"at-deadline", plan{policy: bounded, noPrediction: true}},
		{"predicted", plan{policy: bounded}},
	}
}

// BenchmarkPolicyBurst compares admission policies when the arrival rate rises tenfold at once.
func BenchmarkPolicyBurst(b *testing.B) {
	for _, v := range admissionVariants() {
		b.Run(v.name, func(b *testing.B) {
			p := v.plan
			p.routers, p.replicas, p.capacity, p.length, p.picker = 2, 4, 8, 90*time.Second, LatencyPicker{}
			p.shortRate, p.shortTokens, p.shortTimeout, p.burst = 10, 30, 3*time.Second, 10
			f := runSeeds(p)
			reportShort(b, f)
			b.ReportMetric(float64(f.shortInTime)/(policySeeds*p.length.Seconds()), "goodput/s")
			b.ReportMetric(float64(f.refused), "refused")
		})
	}
}

// BenchmarkPolicyAdmission compares admission policies below and above the capacity of the replicas.
func BenchmarkPolicyAdmission(b *testing.B) {
	for _, times := range []float64{0.8, 1, 2, 5} {
		for _, v := range admissionVariants() {
			b.Run(fmt.Sprintf("offered=%v/%s", times, v.name), func(b *testing.B) {
				p := v.plan
				p.routers, p.replicas, p.capacity, p.length, p.picker = 2, 4, 8, time.Minute, LatencyPicker{}
				p.shortRate, p.shortTokens, p.shortTimeout = 33*times, 30, 3*time.Second
				f := runSeeds(p)
				reportShort(b, f)
				b.ReportMetric(float64(f.shortInTime)/(policySeeds*p.length.Seconds()), "goodput/s")
				b.ReportMetric(float64(f.refused), "refused")
			})
		}
	}
}

// TestAnyZoneSharesLoad guards against one overloaded zone: nearly all requests for a model come from one zone, and each
// of three zones has one replica. With Policy.AnyZone the responses must be faster, because the other replicas share the
// load.
func TestAnyZoneSharesLoad(t *testing.T) {
	p := plan{
		seed: 1, routers: 1, replicas: 3, zones: 3, capacity: 48, length: 20 * time.Second, policy: DefaultPolicy(), picker: LatencyPicker{},
		shortRate: 25, shortTokens: 40, shortTimeout: 8 * time.Second,
	}
	ownZone := newPolicySimulation(p).run()
	p.policy.AnyZone = true
	allZones := newPolicySimulation(p).run()
	for _, quantile := range []float64{50, 95, 99} {
		if got, want := allZones.short.ValueAtQuantile(quantile), ownZone.short.ValueAtQuantile(quantile); got >= want {
			t.Errorf("got %d ms at percentile %.0f with AnyZone, want less than %d ms without", got, quantile, want)
		}
	}
	if allZones.shortInTime < ownZone.shortInTime {
		t.Errorf("got %d responses in time with AnyZone, want at least %d", allZones.shortInTime, ownZone.shortInTime)
	}
}

// TestIsLate guards against refusing requests whose response starts by StartBy and ends by the deadline, and against
// serving callers that disconnect before the response can start.
func TestIsLate(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := []struct {
		name    string
		startBy time.Time
		start   time.Time
		end     time.Time
		want    bool
	}{
		{name: "no StartBy", start: now.Add(time.Second), end: now.Add(2 * time.Second)},
		{name: "starts in time", startBy: now.Add(time.Second), start: now.Add(time.Second), end: now.Add(9 * time.Second)},
		{name: "starts too late", startBy: now.Add(time.Second), start: now.Add(1100 * time.Millisecond), end: now.Add(2 * time.Second), want: true},
		{name: "ends too late", startBy: now.Add(time.Second), start: now, end: now.Add(11 * time.Second), want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Request{Deadline: now.Add(10 * time.Second), StartBy: tt.startBy}
			if got := r.isLate(tt.start, tt.end); got != tt.want {
				t.Errorf("got late %v, want %v", got, tt.want)
			}
		})
	}
}
