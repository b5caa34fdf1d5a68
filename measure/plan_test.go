package measure

import (
	"errors"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"citronspread/yamlfile"
)

const hosts = 6

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

func TestArrivalsRepeatWithSeed(t *testing.T) {
	for _, p := range loadPlans(t) {
		first := Arrivals(p, hosts, p.Seed)
		if !reflect.DeepEqual(first, Arrivals(p, hosts, p.Seed)) {
			t.Errorf("%s: got other arrivals with the same seed", p.Name)
		}
		if reflect.DeepEqual(first, Arrivals(p, hosts, p.Seed+1)) {
			t.Errorf("%s: got the same arrivals with another seed", p.Name)
		}
	}
}

func TestArrivalsFollowPlan(t *testing.T) {
	for _, p := range loadPlans(t) {
		p.Duration = 1000 * time.Second
		p.Load.SwingAt, p.Load.SwingLength = 0, 500*time.Second
		inSwing, after := 0, 0
		byModel := make([]int, p.Models.Count)
		for _, a := range Arrivals(p, hosts, p.Seed) {
			if a.Due >= p.WarmUp && a.Due < p.WarmUp+p.Load.SwingLength {
				inSwing++
			} else if a.Due >= p.WarmUp {
				after++
			}
			byModel[a.Model]++
			if a.Host < 0 || a.Host >= hosts || a.Tokens > p.Classes[a.Class].MostTokens {
				t.Fatalf("%s: got %+v", p.Name, a)
			}
		}
		if ratio := float64(inSwing) / float64(after); ratio < p.Load.SwingFactor*0.7 || ratio > p.Load.SwingFactor*1.1 {
			t.Errorf("%s: got a swing by %.1f, want about %.0f", p.Name, ratio, p.Load.SwingFactor)
		}
		most := 0
		for _, n := range byModel {
			most = max(most, n)
		}
		if p.Models.Count > 10 && most < 5*(inSwing+after)/p.Models.Count {
			t.Errorf("%s: got %d requests for the most popular model of %d", p.Name, most, inSwing+after)
		}
	}
}

func TestParsePlanRefuses(t *testing.T) {
	_, err := ParsePlan("p.yaml", []byte("Name: p\nSeeds: 1\n"))
	var got yamlfile.Problems
	if !errors.As(err, &got) || len(got) < 5 {
		t.Errorf("got %v, want all problems", err)
	}
}

func TestSummary(t *testing.T) {
	p := Plan{WarmUp: time.Second, Classes: []Class{{Name: "short"}}}
	p.Layout.Rates.Remote = 1e9
	samples := []sample{
		{Arrival: Arrival{Due: 0}, Outcome: outcomeWhole, Total: time.Hour},
		{Arrival: Arrival{Due: 2 * time.Second}, Outcome: outcomeWhole, Cold: true, First: time.Second, Total: 2 * time.Second},
		{Arrival: Arrival{Due: 2 * time.Second}, Outcome: outcomeRefused, Total: time.Millisecond},
		{Arrival: Arrival{Due: 2 * time.Second}},
	}
	got := summarise(p, Variant{}, []runData{{samples: samples, idle: &idleMeter{}}})
	short, cold := got.Classes[0], got.Classes[1]
	if short.Sent != 3 || short.Whole != 1 || short.Refused != 1 || short.Broken != 1 || cold.Sent != 1 {
		t.Errorf("got %+v and %+v", short, cold)
	}
	if short.Total.Max < 1990 || short.Total.Max > 2010 {
		t.Errorf("got %f ms at most, want 2000 without the warm-up", short.Total.Max)
	}
}
