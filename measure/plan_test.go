package measure

import (
	"errors"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"citronspread/yamlfile"
)

const hostCount = 6

func loadPlans(t *testing.T) []Plan {
	t.Helper()
	files, err := filepath.Glob("../plans/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got no plans, %v", err)
	}
	var plans []Plan
	for _, file := range files {
		p, err := LoadPlan(file)
		if err != nil {
			t.Fatal(err)
		}
		plans = append(plans, p)
	}
	return plans
}

// TestArrivalsRepeatWithSeed guards against runs that can't be repeated: the arrivals must depend on the seed alone.
func TestArrivalsRepeatWithSeed(t *testing.T) {
	for _, p := range loadPlans(t) {
		first := Arrivals(p, hostCount, p.Seed)
		if !reflect.DeepEqual(first, Arrivals(p, hostCount, p.Seed)) {
			t.Errorf("%s: got different arrivals with the same seed, want the same", p.Name)
		}
		if reflect.DeepEqual(first, Arrivals(p, hostCount, p.Seed+1)) {
			t.Errorf("%s: got the same arrivals with another seed, want different ones", p.Name)
		}
	}
}

// TestArrivalsFollowPlan guards against generated load that deviates from the plan: in the swing, the popularity of the
// models, the hosts or the response lengths.
func TestArrivalsFollowPlan(t *testing.T) {
	for _, p := range loadPlans(t) {
		p.Duration = 1000 * time.Second
		p.Load.SwingAt, p.Load.SwingDuration = 0, 500*time.Second
		inSwing, after := 0, 0
		byModel := make([]int, p.Models.Count)
		for _, a := range Arrivals(p, hostCount, p.Seed) {
			if a.Due >= p.WarmUp && a.Due < p.WarmUp+p.Load.SwingDuration {
				inSwing++
			} else if a.Due >= p.WarmUp {
				after++
			}
			byModel[a.Model]++
			if a.Host < 0 || a.Host >= hostCount || a.Tokens > p.Classes[a.Class].MaxTokens {
				t.Fatalf("%s: got %+v, want one of %d hosts and at most %d tokens", p.Name, a, hostCount, p.Classes[a.Class].MaxTokens)
			}
		}
		if ratio := float64(inSwing) / float64(after); ratio < p.Load.SwingFactor*0.7 || ratio > p.Load.SwingFactor*1.1 {
			t.Errorf("%s: got a swing by a factor of %.1f, want about %.0f", p.Name, ratio, p.Load.SwingFactor)
		}
		most := 0
		for _, n := range byModel {
			most = max(most, n)
		}
		if p.Models.Count > 10 && most < 5*(inSwing+after)/p.Models.Count {
			t.Errorf("%s: got %d of %d requests for the most popular model, want at least 5 times its equal share", p.Name, most, inSwing+after)
		}
	}
}

// TestParsePlanReportsAllProblems checks that an invalid plan is refused with all its problems, not only the first.
func TestParsePlanReportsAllProblems(t *testing.T) {
	_, err := ParsePlan("p.yaml", []byte("Name: p\nSeeds: 1\n"))
	var got yamlfile.Problems
	if !errors.As(err, &got) || len(got) < 5 {
		t.Errorf("got %v, want at least 5 problems", err)
	}
}

// TestSummary guards against results that include the warm-up, count a request under a wrong outcome or omit cold
// starts.
func TestSummary(t *testing.T) {
	p := Plan{WarmUp: time.Second, Classes: []Class{{Name: "short"}}}
	p.Layout.Rates.Remote = 1e9
	samples := []sample{
		{Arrival: Arrival{Due: 0}, Outcome: outcomeComplete, Total: time.Hour},
		{Arrival: Arrival{Due: 2 * time.Second}, Outcome: outcomeComplete, Cold: true, First: time.Second, Total: 2 * time.Second},
		{Arrival: Arrival{Due: 2 * time.Second}, Outcome: outcomeRefused, Total: time.Millisecond},
		{Arrival: Arrival{Due: 2 * time.Second}},
	}
	got := summarize(p, Variant{}, []runData{{samples: samples, idle: &idleMeter{}}})
	short, cold := got.Classes[0], got.Classes[1]
	if short.Sent != 3 || short.Whole != 1 || short.Refused != 1 || short.Broken != 1 || cold.Sent != 1 {
		t.Errorf("got %+v and %+v, want 3 sent, 1 complete, 1 refused, 1 broken, and 1 cold start", short, cold)
	}
	if short.Total.Max < 1990 || short.Total.Max > 2010 {
		t.Errorf("got a maximum of %f ms, want 2000 without the warm-up", short.Total.Max)
	}
}
