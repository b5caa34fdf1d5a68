package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// evenSeeds is the number of seeds of which a comparison combines the results.
const evenSeeds = 3

// evenLoads are the loads of the comparison. The busiest models have as many copies as their demand asks for, except on busy
// days, on which the copies lag behind; a burst is for one model with few copies.
var evenLoads = []struct {
	name string
	plan evenPlan
}{
	{"quiet 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 300}},
	{"quiet 78x90", evenPlan{hosts: 78, zones: 3, servers: 90, slots: 24, perServer: 3, models: 323, rate: 400}},
	{"quiet 295x256", evenPlan{hosts: 295, zones: 7, servers: 256, slots: 16, perServer: 4, models: 1375, rate: 600}},
	{"busy 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 420, lag: 0.8}},
	{"unequal slots 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 300, unequal: true}},
	{"slow servers 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 300, slowShare: 0.1, slowFactor: 3}},
	{"bursts 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 250, burst: 100}},
	{"bursts 295x256", evenPlan{hosts: 295, zones: 7, servers: 256, slots: 16, perServer: 4, models: 1375, rate: 500, burst: 100}},
	{"memory 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 250, burst: 100, cacheTokens: 129_023, tokens: 1800}},
	{"large requests 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 250, burst: 100, cacheTokens: 129_023, tokens: 4000}},
	{"small memory 66x60", evenPlan{hosts: 66, zones: 3, servers: 60, slots: 32, perServer: 2, models: 195, rate: 250, burst: 100, cacheTokens: 60_000, tokens: 1800}},
}

// evenVariant is one of the compared options. Their numbers are those of docs/design/even-load.md.
type evenVariant struct {
	name string
	set  func(p *evenPlan)
}

var evenVariants = []evenVariant{
	{"1 today", func(p *evenPlan) { p.picker, p.today, p.noMemory = LatencyPicker{}, true, true }},
	{"1 with news of full servers", func(p *evenPlan) { p.picker, p.noMemory = LatencyPicker{}, true }},
	{"2 own requests and reports", func(p *evenPlan) { p.picker, p.usage = EvenPicker{4}, true; p.policy.FillFactor = 1.25 }},
	{"3 statements alone", func(p *evenPlan) { p.picker, p.statements = EvenPicker{4}, true; p.policy.FillFactor = 1.25 }},
	{"3 reports and relays", func(p *evenPlan) { p.picker, p.usage, p.follow = EvenPicker{4}, true, true; p.policy.FillFactor = 1.25 }},
	{"3 all", func(p *evenPlan) { p.setAll(EvenPicker{4}, 1.25) }},
	{"3 all, no limit", func(p *evenPlan) { p.setAll(EvenPicker{4}, 0) }},
	{"3 all, limit 1", func(p *evenPlan) { p.setAll(EvenPicker{4}, 1) }},
	{"3 all, limit 2", func(p *evenPlan) { p.setAll(EvenPicker{4}, 2) }},
	{"3 all, exponent 2", func(p *evenPlan) { p.setAll(EvenPicker{2}, 1.25) }},
	{"3 all, exponent 8", func(p *evenPlan) { p.setAll(EvenPicker{8}, 1.25) }},
	{"4 two, own requests", func(p *evenPlan) { p.picker = freePicker{2} }},
	{"4 two, all", func(p *evenPlan) { p.setAll(freePicker{2}, 1.25) }},
	{"4 three, all", func(p *evenPlan) { p.setAll(freePicker{3}, 1.25) }},
	{"5 one owner", func(p *evenPlan) { p.picker, p.grants, p.grantLimit = EvenPicker{4}, 1, 1.25 }},
	{"5 two owners", func(p *evenPlan) { p.picker, p.grants, p.grantLimit = EvenPicker{1}, 2, 1.25 }},
	{"3 and 5", func(p *evenPlan) { p.setAll(EvenPicker{4}, 0); p.grants, p.grantLimit = 1, 1.25 }},
	{"3 and 5 where needed", func(p *evenPlan) { p.setAll(EvenPicker{4}, 1.25); p.reserve = true }},
	{"exact", func(p *evenPlan) { p.picker, p.perfect = EvenPicker{16}, true; p.policy.FillFactor = 1.25 }},
}

func (p *evenPlan) setAll(picker Picker, fillFactor float64) {
	p.picker, p.usage, p.follow, p.statements, p.policy.FillFactor = picker, true, true, true, fillFactor
}

// evenPolicy is the policy of hosts on the platform.
func evenPolicy() Policy {
	policy := DefaultPolicy()
	policy.AnyZone, policy.StaleAfter = true, 100*time.Hour
	return policy
}

// BenchmarkEvenLoad compares the options of docs/design/even-load.md.
func BenchmarkEvenLoad(b *testing.B) {
	for _, l := range evenLoads {
		for _, v := range evenVariants {
			b.Run(fmt.Sprintf("%s/%s", l.name, v.name), func(b *testing.B) {
				p := l.plan
				p.length, p.policy = 40*time.Second, evenPolicy()
				v.set(&p)
				sum := runEvenSeeds(p)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(sum.busiest(), "busiest/mean")
				b.ReportMetric(sum.percentNotRun(), "%notrun")
				b.ReportMetric(float64(sum.first.ValueAtQuantile(50)), "p50-ms")
				b.ReportMetric(float64(sum.first.ValueAtQuantile(99)), "p99-ms")
				b.ReportMetric(sum.percent(sum.refused), "%refused")
				b.ReportMetric(sum.percent(sum.late), "%late")
				b.ReportMetric(sum.perHost(), "messages/host/s")
				b.ReportMetric(float64(sum.again), "again")
				b.ReportMetric(float64(sum.overfilled), "overfilled")
			})
		}
	}
}

// runEvenSeeds runs a plan with evenSeeds seeds and combines the results. busiest is the mean of the seeds.
func runEvenSeeds(p evenPlan) *evenResults {
	var sum *evenResults
	for seed := range uint64(evenSeeds) {
		p.seed = seed + 1
		one := newEvenSimulation(p).run()
		if sum == nil {
			sum = one
			continue
		}
		sum.add(one)
	}
	return sum
}

// freePicker chooses among a few random candidates, with weights that are their free capacity. It is retained for comparison.
type freePicker struct{ choices int }

func (f freePicker) Pick(_ time.Time, candidates []Candidate, r *rand.Rand) int {
	unknown := unknownLoad(candidates)
	sum, best := 0.0, 0
	for range f.choices {
		i := r.IntN(len(candidates))
		c := &candidates[i]
		slots := float64(max(c.Capacity, 1))
		others := c.Confidence*c.KnownOthers + (1-c.Confidence)*unknown*slots
		free := max(0.02*slots, slots-others-float64(c.Outstanding))
		sum += free
		if r.Float64()*sum < free {
			best = i
		}
	}
	return best
}
