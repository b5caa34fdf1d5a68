package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"citronspread/model"
)

// costPlan is a load of a deployment of which a number of workspaces are active, with Zipf-like shares.
type costPlan struct {
	hosts, zones int
	requests     float64 // per second
	over         float64 // factor by which the busiest workspace exceeds its cap, 0 for none
}

const activeWorkspaces = 16

// capCalls plays the load and returns the calls per host and second by kind, and how many requests were served and refused.
func (p costPlan) capCalls(t *testing.T, workspaces int) (perHost map[CapCall]float64, s *capSimulation) {
	const duration = 5 * time.Second
	sum := 0.0
	for i := range activeWorkspaces {
		sum += 1 / float64(i+1)
	}
	caps := make(map[string]Cap)
	for i := range workspaces {
		caps[fmt.Sprint("idle-", i)] = Cap{PerSecond: 10_000, Burst: 10_000}
	}
	mean := 0.0
	for _, size := range requestSizes {
		mean += float64(size) / float64(len(requestSizes))
	}
	var loads []load
	for i := range activeWorkspaces {
		name, perSecond := fmt.Sprint("w-", i), mean*p.requests/float64(i+1)/sum
		delete(caps, fmt.Sprint("idle-", i))
		caps[name] = Cap{PerSecond: 1.5 * perSecond, Burst: 1.5 * perSecond}
		if i == 0 && p.over > 0 {
			caps[name] = Cap{PerSecond: perSecond / p.over, Burst: perSecond / p.over}
		}
		loads = append(loads, load{workspace: name, perSecond: perSecond, sizes: requestSizes})
	}
	s = newCapSimulation(t, 1, p.hosts, p.zones, caps)
	for _, l := range loads {
		l.hosts = s.hosts
		s.offer(duration, l)
	}
	clear(s.calls)
	s.run(duration)
	perHost = make(map[CapCall]float64)
	for call, n := range s.calls {
		perHost[call] = float64(n) / float64(p.hosts) / duration.Seconds()
	}
	return perHost, s
}

// TestCallsForCaps guards against calls that grow with the number of workspaces, and against more than a few calls for each
// request: an allowance, what its allotter asks of the leader, and the loans of the workspaces that need more than their shares.
func TestCallsForCaps(t *testing.T) {
	for _, p := range []costPlan{{78, 3, 150, 0}, {78, 3, 150, 2}, {420, 7, 600, 0}, {420, 7, 600, 2}, {420, 7, 3700, 0}, {420, 7, 3700, 2}} {
		if isRaceDetected && p.hosts > 78 {
			continue
		}
		t.Run(fmt.Sprintf("%d hosts, %.0f requests, over %v", p.hosts, p.requests, p.over), func(t *testing.T) {
			t.Parallel()
			totals := make(map[int]float64)
			for _, workspaces := range []int{16, 10_000} {
				perHost, s := p.capCalls(t, workspaces)
				for _, n := range perHost {
					totals[workspaces] += n
				}
				t.Logf("%d workspaces: %.2f calls for each host and second, %v", workspaces, totals[workspaces], perHost)
				t.Logf("%d served, %d refused", s.served, s.refused)
			}
			if totals[10_000] > 1.05*totals[16] {
				t.Errorf("got %.2f calls with 10,000 workspaces, want at most as many as %.2f with 16", totals[10_000], totals[16])
			}
			// Each active workspace has one loan for each zone in loanRenewal, and an exchange with the leader.
			perSecond := float64(p.zones) / loanRenewal.Seconds()
			if most := 2*p.requests/float64(p.hosts) + activeWorkspaces*perSecond*2/float64(p.hosts); totals[16] > most {
				t.Errorf("got %.2f calls for each host and second, want at most %.2f", totals[16], most)
			}
		})
	}
}

// benchmarkDesk returns the desk of the only host of its zone beside others, with many workspaces.
func benchmarkDesk(now time.Time, hosts, workspaces int) *Desk {
	d := &Desk{
		Name: "host-0", Zone: "z0", Address: "host-0", Tolerance: simTolerance, Events: simCapEvents{},
		Random: func() float64 { return 0.5 }, IsFresh: func(time.Time) bool { return true },
	}
	d.Init()
	v := HostView{Name: d.Name, Zone: d.Zone, Zones: 7, Counts: true}
	for i := range hosts {
		v.Live = append(v.Live, model.Peer{Name: fmt.Sprint("host-", i), Zone: fmt.Sprint("z", i%7), Address: fmt.Sprint("host-", i)})
	}
	caps := make(map[string]Cap)
	for i := range workspaces {
		caps[fmt.Sprint("w-", i)] = Cap{PerSecond: 1e12, Burst: 1e12}
	}
	d.SetView(now, v)
	d.SetCaps(now, caps)
	return d
}

// BenchmarkCapAsk measures what a host does for one request: the request itself with an allowance that is used up, and the ask of
// another host that its allotter replies to.
func BenchmarkCapAsk(b *testing.B) {
	for _, workspaces := range []int{16, 10_000} {
		b.Run(fmt.Sprintf("allotter/%d workspaces", workspaces), func(b *testing.B) {
			now := start
			d := benchmarkDesk(now, 420, workspaces)
			now = now.Add(time.Minute)
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				r := CapRequest{Call: CapAllowance, Workspace: fmt.Sprint("w-", i%activeWorkspaces), From: "host-7", Asker: "host-7", Count: 900, Least: 900, Patience: time.Millisecond}
				d.Serve(now, r, func(CapReply) {})
				d.Messages()
			}
		})
		b.Run(fmt.Sprintf("asker/%d workspaces", workspaces), func(b *testing.B) {
			now := start
			d := benchmarkDesk(now, 420, workspaces)
			i := 0
			for b.Loop() {
				i++
				now = now.Add(300 * time.Millisecond)
				d.Take(now, fmt.Sprint("w-", i%activeWorkspaces), 900, 250*time.Millisecond, func(Outcome) {})
				for _, m := range d.Messages() {
					d.Receive(now, m, CapReply{Allowance: Reply{Count: m.Request.Count, ValidFor: capAllowanceTTL}}, true)
				}
				d.WakeAt()
			}
		})
	}
}
