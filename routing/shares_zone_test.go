package routing

import (
	"fmt"
	"testing"
	"time"
)

// leastServed returns the lowest part of the requests that a workspace other than one got served.
func (sm *shareSimulation) leastServed(except string) float64 {
	least := 1.0
	for name, s := range sm.shares {
		if name != except {
			least = min(least, s.servedPart())
		}
	}
	return least
}

// TestFloodDoesNotSlowOthers guards against a workspace that takes from others by sending many times its usual load. Equal
// shares of the capacity for half of all requests are about a tenth of the flood and seven tenths of the others' requests.
// Hosts of a zone together must come near to one host; those that learn late, or nothing, must not do worse than without
// workspaces.
func TestFloodDoesNotSlowOthers(t *testing.T) {
	tests := []struct {
		name   string
		plan   sharePlan
		others float64 // least part of the others' requests that are served
		least  float64 // the same for each of them
		flood  float64 // highest part of the flood's requests that are served
	}{
		{name: "one host", plan: sharePlan{hosts: 1}, others: 0.72, least: 0.65, flood: 0.15},
		{name: "25 hosts", plan: sharePlan{hosts: 25, exchange: time.Second}, others: 0.68, least: 0.6, flood: 0.25},
		{name: "25 hosts that learn late", plan: sharePlan{hosts: 25, exchange: 5 * time.Second}, others: 0.66, least: 0.58, flood: 0.3},
		{name: "a third of 25 hosts learns nothing", plan: sharePlan{hosts: 25, exchange: time.Second, cut: func(host int, _ time.Duration) bool { return host%3 == 1 }}, others: 0.66, least: 0.58, flood: 0.3},
		{name: "25 hosts that learn nothing", plan: sharePlan{hosts: 25}, others: 0.64, least: 0.55, flood: 0.34},
	}
	const length = 10 * time.Second
	oblivious := make(map[int]float64) // the others' part without workspaces, by number of hosts
	for _, hosts := range []int{1, 25} {
		oblivious[hosts] = runShares(sharePlan{hosts: hosts, length: length, demands: floodAmong(), oblivious: true}).others("flood").servedPart()
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := tt.plan
			p.length, p.demands = length, floodAmong()
			sm := runShares(p)
			flood, others := sm.shares["flood"], sm.others("flood")
			t.Logf("flood %v; others %v; least %.3f", flood, others, sm.leastServed("flood"))
			if got := others.servedPart(); got < tt.others {
				t.Errorf("got %.3f of the others' requests served, want at least %v", got, tt.others)
			}
			if got := sm.leastServed("flood"); got < tt.least {
				t.Errorf("got %.3f of the requests of one workspace served, want at least %v", got, tt.least)
			}
			if got := flood.servedPart(); got > tt.flood {
				t.Errorf("got %.3f of the flood served, want at most %v", got, tt.flood)
			}
			for second := 2; second+2 <= 10; second += 2 {
				if sm.serviceBetween("flood", second, second+2) == 0 {
					t.Errorf("got no service of the flood from second %d on, want it not starved", second)
				}
			}
			if got, limit := flood.refusals.ValueAtQuantile(50), int64(200); got > limit {
				t.Errorf("got half of the flood's refusals after %d ms or more, want at most %d", got, limit)
			}
			if got, limit := others.refusals.ValueAtQuantile(95), int64(200); p.hosts == 1 && got > limit {
				t.Errorf("got refusals after %d ms at one host, which knows all turns, want them within %d", got, limit)
			}
			if got, before := others.servedPart(), oblivious[p.hosts]; got < before+0.08 {
				t.Errorf("got %.3f of the others' requests served, want clearly more than the %.3f without workspaces", got, before)
			}
		})
	}
}

// TestFloodAtSomeHosts guards against a workspace that gets more because all its requests arrive at a few hosts, where the
// others have few.
func TestFloodAtSomeHosts(t *testing.T) {
	p := sharePlan{hosts: 25, exchange: time.Second, length: 10 * time.Second, demands: floodAmong()}
	p.demands[0].hosts = 5
	sm := runShares(p)
	flood, others := sm.shares["flood"], sm.others("flood")
	t.Logf("flood %v; others %v; least %.3f", flood, others, sm.leastServed("flood"))
	if got, want := others.servedPart(), 0.68; got < want {
		t.Errorf("got %.3f of the others' requests served, want at least %v", got, want)
	}
	if got, limit := flood.servedPart(), 0.25; got > limit {
		t.Errorf("got %.3f of the flood served, want at most %v", got, limit)
	}
}

// TestPrioritiesBeforeShares guards against urgent workspaces that wait for others because they were served more, and
// against a workspace of a low priority that takes from another one of it.
func TestPrioritiesBeforeShares(t *testing.T) {
	for _, hosts := range []int{1, 10} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			sm := runShares(sharePlan{hosts: hosts, exchange: time.Second, length: 8 * time.Second, demands: []demandOf{
				{workspace: "urgent-a", perSecond: 60, priority: 90},
				{workspace: "urgent-b", perSecond: 60, priority: 90},
				{workspace: "usual", perSecond: 100},
				{workspace: "flood", perSecond: 400},
			}})
			for _, name := range []string{"urgent-a", "urgent-b", "usual", "flood"} {
				t.Logf("%s %v", name, sm.shares[name])
			}
			for _, name := range []string{"urgent-a", "urgent-b"} {
				if got, want := sm.shares[name].servedPart(), 0.88; got < want {
					t.Errorf("got %.3f of %s served, want at least %v", got, name, want)
				}
			}
			usual, flood := sm.shares["usual"].service, sm.shares["flood"].service
			if usual < 0.7*flood {
				t.Errorf("got service %.0f of the usual workspace and %.0f of the flood, want about the same", usual, flood)
			}
		})
	}
}

// TestRetriesGainNothing guards against callers that retry at once, as often as they can, and are served more than others of
// equal demand.
func TestRetriesGainNothing(t *testing.T) {
	tests := []struct {
		hosts int
		most  float64 // service in relation to that of the others
	}{{hosts: 1, most: 1.1}, {hosts: 10, most: 1.35}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts, " hosts"), func(t *testing.T) {
			p := sharePlan{hosts: tt.hosts, exchange: time.Second, length: 7 * time.Second, demands: []demandOf{
				{workspace: "a", perSecond: 150}, {workspace: "b", perSecond: 150}, {workspace: "retries", perSecond: 150, retries: true},
			}}
			gain := func(sm *shareSimulation) float64 {
				return sm.shares["retries"].service / (sm.others("retries").service / 2)
			}
			got := gain(runShares(p))
			p.oblivious = true
			before := gain(runShares(p))
			t.Logf("%.2f times the service of the others, %.2f times without workspaces", got, before)
			if got > tt.most || got > before {
				t.Errorf("got %.2f times the service of the others, want at most %v and the %.2f without workspaces", got, tt.most, before)
			}
		})
	}
}

// TestReturnOfIdleWorkspace guards against a workspace that returns after an idle time and is served alone, or that has to
// wait until the others were served as much as it was before.
func TestReturnOfIdleWorkspace(t *testing.T) {
	for _, hosts := range []int{1, 10} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			sm := runShares(sharePlan{hosts: hosts, exchange: time.Second, length: 18 * time.Second, demands: []demandOf{
				{workspace: "a", perSecond: 250},
				{workspace: "b", perSecond: 250},
				{workspace: "idle", perSecond: 250, until: 4 * time.Second},
				{workspace: "idle", perSecond: 250, from: 10 * time.Second},
			}})
			all := func(from, to int) float64 {
				return sm.serviceBetween("a", from, to) + sm.serviceBetween("b", from, to) + sm.serviceBetween("idle", from, to)
			}
			for _, name := range []string{"a", "b", "idle"} {
				got := sm.serviceBetween(name, 11, 18) / all(11, 18)
				t.Logf("%s %.3f", name, got)
				if got < 0.25 || got > 0.42 {
					t.Errorf("got a part of %.3f for %s after the return, want about a third", got, name)
				}
			}
			if got := sm.serviceBetween("idle", 11, 13) / all(11, 13); got > 0.5 {
				t.Errorf("got a part of %.3f for the workspace right after its return, want about a third", got)
			}
		})
	}
}

// TestFreeCapacityIsNotHeldAgainst guards against a workspace that is starved when capacity becomes short, because it was
// served more than the others while they did not need the capacity.
func TestFreeCapacityIsNotHeldAgainst(t *testing.T) {
	for _, hosts := range []int{1, 10} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			demands := []demandOf{{workspace: "heavy", perSecond: 160}}
			for i := range 15 {
				name := fmt.Sprint("light-", i)
				demands = append(demands, demandOf{workspace: name, perSecond: 2, until: 8 * time.Second}, demandOf{workspace: name, perSecond: 25, from: 8 * time.Second})
			}
			sm := runShares(sharePlan{hosts: hosts, exchange: time.Second, length: 18 * time.Second, demands: demands})
			for second := 10; second < 18; second += 4 {
				sum := sm.serviceBetween("heavy", second, second+4)
				got := sum
				for i := range 15 {
					sum += sm.serviceBetween(fmt.Sprint("light-", i), second, second+4)
				}
				t.Logf("part %.3f from second %d on", got/sum, second)
				if got/sum < 0.02 || got/sum > 0.2 {
					t.Errorf("got a part of %.3f for one of 16 workspaces from second %d on, want about a sixteenth", got/sum, second)
				}
			}
		})
	}
}

// TestBurstsAreServed guards against requests that are refused because of later ones of other workspaces, although the
// capacity suffices for all of a burst while they can wait.
func TestBurstsAreServed(t *testing.T) {
	for _, hosts := range []int{1, 10} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			const length = 10 * time.Second
			var demands []demandOf
			for i := range 16 {
				for from := time.Duration(0); from < length; from += 2 * time.Second {
					name := fmt.Sprint("w-", i)
					demands = append(demands, demandOf{workspace: name, perSecond: 24, from: from, until: from + time.Second},
						demandOf{workspace: name, perSecond: 2, from: from + time.Second, until: from + 2*time.Second})
				}
			}
			sm := runShares(sharePlan{hosts: hosts, exchange: time.Second, length: length, demands: demands})
			all := sm.others("")
			t.Logf("%v", all)
			if got, want := all.servedPart(), 0.98; got < want {
				t.Errorf("got %.3f of the requests served, want at least %v", got, want)
			}
		})
	}
}

// TestManyWorkspacesOfZone guards against exchanges that grow with the number of workspaces, and against a flood that is not
// held back because the messages have no room for all others.
func TestManyWorkspacesOfZone(t *testing.T) {
	const workspaces = 300
	demands := []demandOf{{workspace: "flood", perSecond: 160}}
	for i := range workspaces {
		demands = append(demands, demandOf{workspace: fmt.Sprint("small-", i), perSecond: 250.0 / workspaces})
	}
	p := sharePlan{hosts: 10, exchange: time.Second, length: 10 * time.Second, demands: demands}
	sm := runShares(p)
	flood, others := sm.shares["flood"], sm.others("flood")
	t.Logf("flood %v; others %v; %d amounts in %d calls", flood, others, sm.amounts, sm.calls)
	if got, want := others.servedPart(), 0.75; got < want {
		t.Errorf("got %.3f of the others' requests served, want at least %v", got, want)
	}
	if got, limit := flood.servedPart(), 0.3; got > limit {
		t.Errorf("got %.3f of the flood served, want at most %v", got, limit)
	}
	if got, limit := sm.largestMessage, 2*48; got > limit {
		t.Errorf("got a message with %d workspaces, want at most %d", got, limit)
	}
}

// BenchmarkPolicyShares compares what callers get beside a flood, with and without workspaces and the exchange of counters.
func BenchmarkPolicyShares(b *testing.B) {
	for _, hosts := range []int{1, 10, 25} {
		for _, v := range []struct {
			name string
			plan sharePlan
		}{
			{"without", sharePlan{oblivious: true}},
			{"alone", sharePlan{}},
			{"exchange-5s", sharePlan{exchange: 5 * time.Second}},
			{"exchange-1s", sharePlan{exchange: time.Second}},
		} {
			if hosts == 1 && v.plan.exchange > 0 {
				continue
			}
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, v.name), func(b *testing.B) {
				const length, settled = 20, 5 // seconds
				flood, others, service, part := newShareOf(), newShareOf(), 0.0, 0.0
				for seed := range uint64(policySeeds) {
					p := v.plan
					p.hosts, p.length, p.demands, p.seed = hosts, length*time.Second, floodAmong(), seed
					sm := runShares(p)
					flood.add(sm.shares["flood"])
					others.add(sm.others("flood"))
					part += sm.serviceBetween("flood", settled, length)
					for name := range sm.shares {
						service += sm.serviceBetween(name, settled, length)
					}
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*others.servedPart(), "%others")
				b.ReportMetric(100*flood.servedPart(), "%flood")
				b.ReportMetric(100*part/service, "%capacity-of-flood")
				b.ReportMetric(service/policySeeds/(length-settled), "service/s")
				b.ReportMetric(float64(others.waits.ValueAtQuantile(95)), "wait-p95-ms")
				b.ReportMetric(float64(others.refusals.ValueAtQuantile(50)), "refusal-p50-ms")
				b.ReportMetric(float64(others.refusals.ValueAtQuantile(95)), "refusal-p95-ms")
			})
		}
	}
}
