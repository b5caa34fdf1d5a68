package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRefusedCallersOfHostsReturnInTurn guards against a caller that is told to return before what was refused to the callers of
// another host has accrued: most of them would be refused again.
func TestRefusedCallersOfHostsReturnInTurn(t *testing.T) {
	c := Cap{PerSecond: 1000, Burst: 1000}
	s := newCapSimulation(t, 1, 3, 1, map[string]Cap{"w": c})
	take := func(h *capHost, count int, patience time.Duration) (retryAfter time.Duration) {
		h.desk.Take(h.clock(), "w", count, patience, func(o Outcome) { retryAfter = o.RetryAfter })
		h.flush()
		s.run(100 * time.Millisecond)
		return retryAfter
	}
	for range 60 {
		s.hosts[1].request("w", 100)
	}
	s.run(2 * simPatience)
	take(s.hosts[1], 900, 50*time.Millisecond)
	take(s.hosts[1], 900, 50*time.Millisecond)
	// 60 requests of 100 and a burst of 1,000: about 4,800 were refused up to 0.7 s ago.
	if got, want := take(s.hosts[2], 900, 50*time.Millisecond), 4*time.Second; got < want {
		t.Errorf("got a caller of another host told to return after %v, want at least %v", got, want)
	}
}

// callers are callers of a workspace that return once when they are refused, at any host.
type callers struct {
	sim       *capSimulation
	arrivals  *rand.Rand
	perSecond float64 // of the cap
	patience  [2]time.Duration
	givesUp   bool // a caller that is told to wait for longer than it can does not return; else it returns as late as it can
	from, to  time.Duration

	all, first, second, once, twice int // by the tries that were refused or served, of those that arrive in the time that counts
}

func (c *callers) arrive(count int) {
	isCounted := c.sim.now >= c.from && c.sim.now < c.to
	add := func(n *int) {
		if isCounted {
			*n++
		}
	}
	add(&c.all)
	c.try(count, func(retryAfter time.Duration) {
		if retryAfter == 0 {
			add(&c.first)
			return
		}
		longest := c.patience[0] + time.Duration(c.sim.random.Float64()*float64(c.patience[1]-c.patience[0]))
		if c.givesUp && retryAfter > longest {
			add(&c.once)
			return
		}
		const transit = 20 * time.Millisecond
		c.sim.after(min(retryAfter, longest)+time.Duration(c.sim.random.Float64()*float64(transit)), func() {
			c.try(count, func(retryAfter time.Duration) {
				if retryAfter == 0 {
					add(&c.second)
				} else {
					add(&c.twice)
				}
			})
		})
	})
}

func (c *callers) try(count int, done func(retryAfter time.Duration)) {
	s, h := c.sim, c.sim.hosts[c.sim.random.IntN(len(c.sim.hosts))]
	h.desk.Take(h.clock(), "w", count, simPatience, func(o Outcome) {
		if o.RetryAfter == 0 {
			s.after(time.Duration(s.random.Float64()*float64(MaxHold)), func() {
				s.used = append(s.used, simUse{at: s.now, workspace: "w", count: count})
			})
		}
		done(o.RetryAfter)
	})
	h.flush()
}

// play lets callers arrive that need factor times the cap.
func (c *callers) play(d time.Duration, factor func(at time.Duration) float64) {
	const highest = 3
	mean := 0.0
	for _, size := range requestSizes {
		mean += float64(size) / float64(len(requestSizes))
	}
	begin := c.sim.now
	var next func()
	next = func() {
		at := c.sim.now - begin
		if at >= d {
			return
		}
		size := requestSizes[c.arrivals.IntN(len(requestSizes))]
		if c.arrivals.Float64()*highest < factor(at) {
			c.arrive(size)
		}
		c.sim.after(time.Duration(c.arrivals.ExpFloat64()*mean/highest/c.perSecond*float64(time.Second)), next)
	}
	next()
	c.sim.run(d)
}

// TestReturningCallers guards against usage above the cap, or below it, when refused callers return. It prints what they get.
func TestReturningCallers(t *testing.T) {
	const from, to, until = 12 * time.Second, 48 * time.Second, 62 * time.Second
	loads := []struct {
		name   string
		factor func(at time.Duration) float64
		least  float64 // share of the cap that must be used
	}{
		{"three times the cap", func(time.Duration) float64 { return 3 }, 0.9},
		{"three times the cap in 3 of 12 s", func(at time.Duration) float64 {
			if at%(12*time.Second) < 3*time.Second {
				return 3
			}
			return 0.2
		}, 0},
	}
	patiences := [][2]time.Duration{{time.Second, 2 * time.Second}, {3 * time.Second, 10 * time.Second}}
	for _, l := range loads {
		for _, c := range simCaps {
			for _, givesUp := range []bool{false, true} {
				for _, patience := range patiences {
					if isRaceDetected && (c != simCaps[0] || patience != patiences[0]) {
						continue
					}
					t.Run(fmt.Sprintf("%s, %.0f a second, gives up %v, %v", l.name, c.PerSecond, givesUp, patience), func(t *testing.T) {
						t.Parallel()
						seeds := uint64(1)
						if c == simCaps[0] && !isRaceDetected {
							seeds = 8 // sends few requests
						}
						used, sum := 0.0, callers{}
						for seed := range seeds {
							s := newCapSimulation(t, seed, 78, 3, map[string]Cap{"w": c})
							p := &callers{
								sim: s, arrivals: rand.New(rand.NewPCG(seed, 1)), perSecond: c.PerSecond, patience: patience, givesUp: givesUp,
								from: s.now + from, to: s.now + to,
							}
							p.play(until, l.factor)
							s.checkBound("w", c, 0)
							used += float64(s.total("w", p.from, p.to)) / c.PerSecond / (to - from).Seconds() / float64(seeds)
							sum.all, sum.first, sum.second = sum.all+p.all, sum.first+p.first, sum.second+p.second
							sum.once, sum.twice = sum.once+p.once, sum.twice+p.twice
						}
						if used < l.least {
							t.Errorf("got %.3f of the cap used, want at least %v", used, l.least)
						}
						of := func(n int) float64 { return float64(n) / float64(max(1, sum.all)) }
						t.Logf("served %.3f (at once %.3f), refused once %.3f, twice %.3f; %.3f of the cap used", of(sum.first+sum.second), of(sum.first), of(sum.once), of(sum.twice), used)
					})
				}
			}
		}
	}
}
