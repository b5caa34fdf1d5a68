package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	burstDuration = 50 * time.Millisecond
	arrivalsSeed  = 0x9e3779b97f4a7c15
)

// Arrival is a request of the load with its due time.
type Arrival struct {
	Due     time.Duration // from the start of the load
	Class   int           // index into the plan's classes
	Model   int
	Adapter int // -1 for none
	Tokens  int
	Host    int // index of the entry host
	Number  int // unique within a run
}

// generator generates random arrivals.
type generator struct {
	plan       Plan
	hosts      int
	random     *rand.Rand
	popularity []float64 // cumulative, by rank
	ranks      []int     // model of each rank
}

// Arrivals returns the requests of a run, ordered by due time. The same seed gives the same requests.
func Arrivals(p Plan, hosts int, seed uint64) []Arrival {
	g := &generator{plan: p, hosts: hosts, random: rand.New(rand.NewPCG(seed, arrivalsSeed))}
	g.popularity = zipf(p.Models.Count, p.Models.ZipfExponent)
	g.ranks = g.random.Perm(p.Models.Count)
	all := slices.Concat(g.poisson(), g.bursts())
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.Due - b.Due) })
	for i := range all {
		all[i].Number = i
	}
	return all
}

// zipf returns the cumulative popularity by rank, which follows Zipf's law.
func zipf(n int, exponent float64) []float64 {
	cumulative := make([]float64, n)
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}

// poisson generates a Poisson process by thinning: it draws arrivals at the maximum rate and accepts each with the
// ratio of the rate at its time to the maximum.
func (g *generator) poisson() []Arrival {
	end := g.plan.WarmUp + g.plan.Duration
	maxRate := g.plan.Load.RequestsPerSecond * g.plan.Load.SwingFactor
	var all []Arrival
	at := 0.0
	for {
		at += g.random.ExpFloat64() / maxRate
		due := time.Duration(at * float64(time.Second))
		if due >= end {
			return all
		}
		if g.random.Float64()*maxRate < g.rate(due) {
			all = append(all, g.arrival(due))
		}
	}
}

// rate returns the requests per second at a time. The start of the swing counts from the end of the warm-up.
func (g *generator) rate(at time.Duration) float64 {
	l := g.plan.Load
	from := g.plan.WarmUp + l.SwingAt
	if at >= from && at < from+l.SwingDuration {
		return l.RequestsPerSecond * l.SwingFactor
	}
	return l.RequestsPerSecond
}

func (g *generator) arrival(due time.Duration) Arrival {
	a := Arrival{Due: due, Class: g.class(), Host: g.random.IntN(g.hosts), Adapter: -1}
	c := g.plan.Classes[a.Class]
	if c.Service != "" {
		return a
	}
	a.Model = g.model()
	a.Tokens = g.tokens(c)
	if m := g.plan.Models; m.Adapters > 0 && g.random.Float64() < m.AdapterShare {
		a.Adapter = g.adapter(a.Model)
	}
	return a
}

// bursts generates bursts of nearly simultaneous requests of the first class. Each burst requests one unpopular model at
// many entry hosts.
func (g *generator) bursts() []Arrival {
	l := g.plan.Load
	if l.BurstSize == 0 {
		return nil
	}
	var all []Arrival
	for at := g.plan.WarmUp + l.BurstInterval/2; at < g.plan.WarmUp+g.plan.Duration; at += l.BurstInterval {
		model := g.unpopularModel()
		for i := range l.BurstSize {
			due := at + time.Duration(g.random.Int64N(int64(burstDuration)))
			all = append(all, Arrival{
				Due: due, Model: model, Adapter: -1,
				Tokens: g.tokens(g.plan.Classes[0]), Host: i % g.hosts,
			})
		}
	}
	return all
}

func (g *generator) class() int {
	drawn := g.random.Float64()
	for i, c := range g.plan.Classes {
		drawn -= c.Share
		if drawn < 0 {
			return i
		}
	}
	return len(g.plan.Classes) - 1
}

func (g *generator) model() int {
	rank, _ := slices.BinarySearch(g.popularity, g.random.Float64())
	return g.ranks[min(rank, len(g.ranks)-1)]
}

// unpopularModel returns a random model of the less popular half.
func (g *generator) unpopularModel() int {
	half := len(g.ranks) / 2
	return g.ranks[half+g.random.IntN(len(g.ranks)-half)]
}

// adapter returns a random adapter of a model, or -1 if the model has none.
func (g *generator) adapter(model int) int {
	var adapters []int
	for i := range g.plan.Models.Adapters {
		if i%g.plan.Models.Count == model {
			adapters = append(adapters, i)
		}
	}
	if len(adapters) == 0 {
		return -1
	}
	return adapters[g.random.IntN(len(adapters))]
}

// tokens returns a random response length from a log-normal distribution.
func (g *generator) tokens(c Class) int {
	drawn := c.MedianTokens * math.Exp(c.TokenSigma*g.random.NormFloat64())
	return max(1, min(c.MaxTokens, int(drawn)))
}
