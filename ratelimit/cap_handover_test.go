package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// handovers are changes of the hosts that divide a cap, in which all of these live on or begin anew together.
var handovers = []struct {
	name   string
	change func(s *capSimulation)
	most   float64 // share of the requests that may be refused in the seconds after the change
}{
	{"the store turns the allotters away for a while", func(s *capSimulation) {
		for zone := range s.zones {
			h := s.allotterOf("w", zone)
			h.noStore = true
			s.after(9*time.Second, func() { h.noStore = false })
		}
	}, 0.05},
	{"the store turns a third of the hosts away for a while", func(s *capSimulation) {
		for zone := range s.zones {
			for i, h := range s.zone(zone) {
				if i%3 == 0 {
					h.noStore = true
					s.after(9*time.Second, func() { h.noStore = false })
				}
			}
		}
	}, 0.05},
	{"all leases end while the store is down", func(s *capSimulation) {
		s.storeUp = false
		s.after(4*time.Second, func() {
			s.storeUp = true
			for _, h := range s.hosts {
				s.leases[h.name] = s.now
			}
		})
	}, 0.05},
	{"all hosts restart", func(s *capSimulation) {
		for _, h := range s.hosts {
			h.kill()
			s.after(time.Second, h.start)
		}
	}, 0.4},
	{"an allotter dies", func(s *capSimulation) { s.allotterOf("w", 0).kill() }, 0.1},
	{"hosts join", func(s *capSimulation) {
		for i := range 4 * s.zones {
			s.after(time.Duration(i)*time.Second, func() {
				s.add(fmt.Sprintf("joined-%d", i), i%s.zones, time.Duration(i)*time.Minute).start()
			})
		}
	}, 0.05},
}

// TestDemandBelowTheCapIsServedInHandovers guards against a workspace that sends less than half of its cap and is refused for
// seconds because other hosts begin to divide it.
func TestDemandBelowTheCapIsServedInHandovers(t *testing.T) {
	const before, after = 4 * time.Second, 14 * time.Second
	c := Cap{PerSecond: 130_000, Burst: 130_000}
	for _, change := range handovers {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			refused, asked, seeds := 0, 0, uint64(3)
			if isRaceDetected {
				seeds = 1
			}
			for seed := range seeds {
				s := newCapSimulation(t, seed, 24, 3, map[string]Cap{"w": c})
				s.watchPlaces("w")
				s.offer(before+after, load{workspace: "w", perSecond: 0.4 * c.PerSecond, sizes: requestSizes, hosts: s.hosts})
				s.run(before)
				s.refused, s.served = 0, 0
				change.change(s)
				s.run(after)
				s.checkBound("w", c, 0)
				refused += s.refused
				asked += s.refused + s.served
			}
			got := float64(refused) / float64(asked)
			t.Logf("%d of %d requests refused", refused, asked)
			if got > change.most {
				t.Errorf("got %.3f of the requests refused, want at most %v", got, change.most)
			}
		})
	}
}
