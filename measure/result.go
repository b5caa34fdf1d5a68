package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronspread/standin"
)

const (
	maxLatency       = time.Hour
	histogramDigits  = 3
	coldClass        = "cold starts"
	histogramMinimum = 1 // microseconds
)

// Result is the result of an experiment.
type Result struct {
	Name      string
	Scale     string
	Seed      uint64
	Revision  string
	StartedAt time.Time
	Variants  []VariantResult
	Plan      string
}

// VariantResult sums up the repeats of a variant.
type VariantResult struct {
	Name               string
	Repeats            int
	Classes            []ClassResult
	LoadedSeconds      float64 // replica seconds, added up over all loaded replicas
	IdleSeconds        float64 // replica seconds without a request
	ColdStartFloor     float64 // milliseconds that a load from the weight store takes at full speed
	Store              standin.StoreCounts
	Loads              int // from the weight store
	SlowLoads          int // started with more than Layout.ParallelLoads loads in flight, so slower than full speed
	MemoryOvercommits  int
	SurplusReplicas    int // peak number of replicas beyond the decided number, added up over the models
	DoubledBookings    int // bookings that ran more than once
	CrashedEngineLives int // crashes of engines
}

// ClassResult sums up the requests of a class, or those that found no replica of their model loaded (cold starts). Its
// counters are named after the outcomes.
type ClassResult struct {
	Class   string
	Sent    int
	Whole   int
	Late    int
	Refused int
	Failed  int
	Silent  int
	Cut     int
	Broken  int
	Wrong   int
	Reasons []ReasonCount
	First   Latency // until the first token of complete responses, also late ones, or until the response if it was not streamed
	Total   Latency // of complete responses, also late ones
}

// ReasonCount counts the requests without a complete response that ended for the same reason.
type ReasonCount struct {
	Outcome string
	Reason  string
	Count   int
}

// Latency is the distribution of a latency in milliseconds, counted from the due time of the requests.
type Latency struct {
	P50  float64
	P90  float64
	P99  float64
	P999 float64
	Max  float64
}

// tally adds up the samples of one class.
type tally struct {
	result  ClassResult
	reasons map[ReasonCount]int // counts by outcome and reason; Count is 0 in the keys
	first   *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
}

func newTally(class string) *tally {
	return &tally{result: ClassResult{Class: class}, reasons: make(map[ReasonCount]int), first: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinimum, maxLatency.Microseconds(), histogramDigits)
}

func (t *tally) add(s sample) {
	t.result.Sent++
	switch s.Outcome {
	case outcomeComplete:
		t.result.Whole++
	case outcomeLate:
		t.result.Late++
	case outcomeRefused:
		t.result.Refused++
	case outcomeFailed:
		t.result.Failed++
	case outcomeSilent:
		t.result.Silent++
	case outcomeInterrupted:
		t.result.Cut++
	case outcomeWrong:
		t.result.Wrong++
	default:
		t.result.Broken++
	}
	if s.Outcome != outcomeComplete && s.Outcome != outcomeLate {
		t.reasons[ReasonCount{Outcome: string(s.Outcome), Reason: s.Reason}]++
		return
	}
	recordLatency(t.total, s.Total)
	if s.First > 0 {
		recordLatency(t.first, s.First)
	}
}

func (t *tally) finish() ClassResult {
	for reason, count := range t.reasons {
		reason.Count = count
		t.result.Reasons = append(t.result.Reasons, reason)
	}
	slices.SortFunc(t.result.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	t.result.First = latencyOf(t.first)
	t.result.Total = latencyOf(t.total)
	return t.result
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// Latencies above maxLatency are recorded as maxLatency.
	_ = h.RecordValue(min(d, maxLatency).Microseconds())
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1_000 }
	return Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1_000}
}

// summarize sums up the repeats of a variant, without the requests of the warm-up.
func summarize(p Plan, v Variant, runs []runData) VariantResult {
	result := VariantResult{Name: v.Name, Repeats: len(runs), ColdStartFloor: coldStartFloor(p)}
	tallies := make([]*tally, 0, len(p.Classes)+1)
	for _, c := range p.Classes {
		tallies = append(tallies, newTally(c.Name))
	}
	cold := newTally(coldClass)
	for _, data := range runs {
		for _, s := range data.samples {
			if s.Due < p.WarmUp {
				continue
			}
			tallies[s.Class].add(s)
			if s.Cold {
				cold.add(s)
			}
		}
		result.add(data)
	}
	for _, t := range append(tallies, cold) {
		result.Classes = append(result.Classes, t.finish())
	}
	return result
}

func (r *VariantResult) add(data runData) {
	r.LoadedSeconds += data.idle.loadedSeconds
	r.IdleSeconds += data.idle.idleSeconds
	r.Store.Reads += data.store.Reads
	r.Store.Writes += data.store.Writes
	r.Store.Watches += data.store.Watches
	r.Store.Conflicts += data.store.Conflicts
	r.Store.RateLimited += data.store.RateLimited
	r.Store.Refused += data.store.Refused
	r.Store.LostAnswers += data.store.LostAnswers
	r.Loads += data.weights.Loads
	r.SlowLoads += data.weights.SlowLoads
	r.MemoryOvercommits += data.overcommitted
	r.SurplusReplicas += data.surplus
	r.DoubledBookings += data.duplicateBookings
	r.CrashedEngineLives += data.crashes
}

// coldStartFloor returns the milliseconds that a load from the weight store takes at full speed.
func coldStartFloor(p Plan) float64 {
	return float64(p.Models.Bytes) / p.Layout.Rates.Remote * 1_000
}
