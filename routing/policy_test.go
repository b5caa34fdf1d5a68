package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const policySeeds = 3

// total runs a plan with several seeds and adds up the figures.
func total(p plan) figures {
	sum := figures{short: hdrhistogram.New(1, 3_600_000, 3), long: hdrhistogram.New(1, 3_600_000, 3)}
	for seed := range uint64(policySeeds) {
		p.seed = seed + 1
		f := newPolicyWorld(p).run()
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

func reportShort(b *testing.B, f figures) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.short.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(f.short.ValueAtQuantile(99)), "p99-ms")
	b.ReportMetric(float64(f.short.ValueAtQuantile(99.9)), "p99.9-ms")
	b.ReportMetric(100*float64(f.shortInTime)/float64(max(1, f.shortSent)), "%intime")
}

// lowestPicker always takes the lowest expected time, a way that lost.
type lowestPicker struct{}

func (lowestPicker) Pick(now time.Time, candidates []Candidate, _ *rand.Rand) int {
	typical := typicalLatency(now, candidates)
	best := 0
	for i := range candidates {
		if latencyCost(now, &candidates[i], typical) < latencyCost(now, &candidates[best], typical) {
			best = i
		}
	}
	return best
}

// BenchmarkPolicyPickers slows a third of the replicas for moments, under reports that are two seconds late.
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
			{"lowest-latency", lowestPicker{}, false},
			{"latency", LatencyPicker{}, false},
			{"latency+moves", LatencyPicker{}, true},
		} {
			b.Run(fmt.Sprintf("load=%v/%s", load, v.name), func(b *testing.B) {
				// Nine replicas of eight places, 30 tokens at 20 ms and more: about 70 requests a second.
				f := total(plan{
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

// BenchmarkPolicyRouters spreads the same load over many routers, so that each observes little.
func BenchmarkPolicyRouters(b *testing.B) {
	for _, routers := range []int{2, 10, 40} {
		for _, v := range []struct {
			name   string
			picker Picker
		}{{"random", RandomPicker{}}, {"least", LeastPicker{}}, {"two-choices", TwoChoicesPicker{}}, {"lowest-latency", lowestPicker{}}, {"latency", LatencyPicker{}}} {
			b.Run(fmt.Sprintf("routers=%d/%s", routers, v.name), func(b *testing.B) {
				f := total(plan{
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

// BenchmarkPolicyLanes puts long work beside short work.
func BenchmarkPolicyLanes(b *testing.B) {
	shared, engines, lanes, both := DefaultPolicy(), DefaultPolicy(), DefaultPolicy(), DefaultPolicy()
	shared.LongTokens, engines.LongCapShare = 1<<30, 1
	engines.LongFloorShare = 1
	variants := []variant{
		{"shared", plan{policy: shared, noDeadline: true}},
		{"engine-priorities", plan{policy: engines, noDeadline: true, engineQueue: true, enginePrio: true}},
		{"lanes", plan{policy: lanes}},
		{"lanes+priorities", plan{policy: both, enginePrio: true}},
	}
	for _, longRate := range []float64{0, 0.3, 0.6, 0.9} {
		for _, v := range variants {
			b.Run(fmt.Sprintf("long=%v/%s", longRate, v.name), func(b *testing.B) {
				p := v.plan
				p.routers, p.replicas, p.capacity, p.length, p.picker = 2, 4, 8, 4*time.Minute, LatencyPicker{}
				p.shortRate, p.shortTokens, p.shortTimeout = 12, 30, 20*time.Second
				p.longRate, p.longTokens, p.longTimeout = longRate, 1500, 30*time.Minute
				f := total(p)
				reportShort(b, f)
				b.ReportMetric(100*float64(f.longFinished)/float64(max(1, f.longSent)), "%long")
				b.ReportMetric(float64(f.long.ValueAtQuantile(99))/1000, "long-p99-s")
			})
		}
	}
}

// variant is one way that is compared.
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

// BenchmarkPolicyCrest swings the arrivals by a factor of ten within one step.
func BenchmarkPolicyCrest(b *testing.B) {
	for _, v := range admissionVariants() {
		b.Run(v.name, func(b *testing.B) {
			p := v.plan
			p.routers, p.replicas, p.capacity, p.length, p.picker = 2, 4, 8, 90*time.Second, LatencyPicker{}
			p.shortRate, p.shortTokens, p.shortTimeout, p.swing = 10, 30, 3*time.Second, 10
			f := total(p)
			reportShort(b, f)
			b.ReportMetric(float64(f.shortInTime)/(policySeeds*p.length.Seconds()), "goodput/s")
			b.ReportMetric(float64(f.refused), "refused")
		})
	}
}

// BenchmarkPolicyAdmission offers a multiple of what the replicas can serve.
func BenchmarkPolicyAdmission(b *testing.B) {
	for _, times := range []float64{0.8, 1, 2, 5} {
		for _, v := range admissionVariants() {
			b.Run(fmt.Sprintf("offered=%v/%s", times, v.name), func(b *testing.B) {
				p := v.plan
				p.routers, p.replicas, p.capacity, p.length, p.picker = 2, 4, 8, time.Minute, LatencyPicker{}
				p.shortRate, p.shortTokens, p.shortTimeout = 33*times, 30, 3*time.Second
				f := total(p)
				reportShort(b, f)
				b.ReportMetric(float64(f.shortInTime)/(policySeeds*p.length.Seconds()), "goodput/s")
				b.ReportMetric(float64(f.refused), "refused")
			})
		}
	}
}

// TestCallersThatLeaveEarly plays callers that leave when nothing has come by a time: they are served when a start by
// then can be expected, however late the end is, and refused at once when it can't.
// TestReplicasOfAllZonesAlike plays the load of a model that most callers of one zone ask for, and that is loaded once in
// each of three zones: callers get their answers sooner when the replicas of the other zones share it.
func TestReplicasOfAllZonesAlike(t *testing.T) {
	p := plan{
		seed: 1, routers: 1, replicas: 3, zones: 3, capacity: 48, length: 20 * time.Second, policy: DefaultPolicy(), picker: LatencyPicker{},
		shortRate: 25, shortTokens: 40, shortTimeout: 8 * time.Second,
	}
	own := newPolicyWorld(p).run()
	p.policy.AnyZone = true
	all := newPolicyWorld(p).run()
	for _, quantile := range []float64{50, 95, 99} {
		if got, want := all.short.ValueAtQuantile(quantile), own.short.ValueAtQuantile(quantile); got >= want {
			t.Errorf("got %d ms at %.0f in 100 with all zones, want less than %d ms of the own zone first", got, quantile, want)
		}
	}
	if all.shortInTime < own.shortInTime {
		t.Errorf("got %d answers in time, want at least %d", all.shortInTime, own.shortInTime)
	}
}

func TestCallersThatLeaveEarly(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := []struct {
		name    string
		startBy time.Time
		start   time.Time
		end     time.Time
		want    bool
	}{
		{name: "no such time", start: now.Add(time.Second), end: now.Add(2 * time.Second)},
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
