package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"citronspread/model"
)

// Times of the simulated platform.
const (
	simRenewal    = 1500 * time.Millisecond // of a host's lease in the store
	simLease      = 5 * time.Second
	simViewDelay  = 1500 * time.Millisecond // longest time that a view of the other hosts takes to arrive
	simFreshLease = 3 * time.Second         // since the last renewal, after which the lease may have ended
	simFreshFor   = 3500 * time.Millisecond // age at which it counts as outdated
	simPatience   = 250 * time.Millisecond
	simTimeout    = 300 * time.Millisecond // of a call
	simSettleTime = 12 * time.Second       // before the load starts
)

var simTolerance = Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 11_000}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// capSimulation is a fleet of hosts that share the caps of workspaces, in virtual time and without a network. The hosts have
// clocks with offsets, leases in a store, and views of each other that lag behind it.
type capSimulation struct {
	t      reporter
	random *rand.Rand
	now    time.Duration
	events simEvents
	seq    int

	hosts   []*capHost
	byName  map[string]*capHost
	zones   int
	caps    map[string]Cap
	group   map[int]int // by zone: zones of different groups do not reach each other
	loss    float64     // of messages
	late    float64     // share of messages that take up to lateBy
	lateBy  time.Duration
	unused  float64       // share of requests that do not run and give their tokens back
	cross   time.Duration // longest transit between zones
	storeUp bool
	leases  map[string]time.Duration // by host: when its lease ends

	places    map[string]string // violations that were found: shares that are in two places
	liveHosts []model.Peer
	liveAt    time.Duration

	used    []simUse
	asked   map[string]int // tokens
	refused int
	served  int
	calls   map[CapCall]int
}

type simUse struct {
	at        time.Duration
	workspace string
	count     int
}

type capHost struct {
	sim          *capSimulation
	name         string
	zone         int
	offset       time.Duration
	desk         *Desk
	epoch        int // increases when the process ends
	alive        bool
	frozen       bool
	thawed       []func()
	isolated     bool
	noStore      bool // the store turns it away
	noView       bool // it gets no changes of the store
	viewedAt     time.Duration
	seen         HostView
	registration int64
	renewedAt    time.Duration
	wakeAt       time.Duration // of the next Tick
}

type simCapEvents struct{}

func (simCapEvents) LeadingCap(string)              {}
func (simCapEvents) ShareLent(string, string)       {}
func (simCapEvents) ZoneOnOwnShare(string, float64) {}

// reporter is told of violations.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}

func newCapSimulation(t reporter, seed uint64, hosts, zones int, caps map[string]Cap) *capSimulation {
	s := &capSimulation{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), zones: zones, caps: caps, group: make(map[int]int), cross: 30 * time.Millisecond,
		storeUp: true, leases: make(map[string]time.Duration), asked: make(map[string]int), calls: make(map[CapCall]int), byName: make(map[string]*capHost),
	}
	for i := range hosts {
		s.add(fmt.Sprintf("host-%d", i), i%zones, time.Duration(i)*time.Hour)
	}
	for _, h := range s.hosts {
		h.start()
	}
	s.run(simSettleTime)
	return s
}

// watchPlaces checks from now on that each share is in one place: with its zone or in one pool.
func (s *capSimulation) watchPlaces(workspace string) {
	const interval = 10 * time.Millisecond
	s.places = make(map[string]string)
	var check func()
	check = func() {
		places := make(map[string][]string)
		for _, h := range s.hosts {
			if !h.alive || h.frozen {
				continue
			}
			now, d := h.clock(), h.desk
			share := d.shares[workspace]
			if d.isEntitled(now, workspace, d.rankings.of(workspace)) && (share == nil || !share.IsLent(now)) {
				places[d.Zone] = append(places[d.Zone], fmt.Sprintf("allotter %s since %v, %+v", h.name, now.Sub(d.rankings.of(workspace).firstSince), d.confirmations[workspace]))
			}
			if p := d.pools[workspace]; p != nil {
				for zone, l := range p.loans {
					if now.Before(l.until) {
						places[zone] = append(places[zone], fmt.Sprintf("pool of %s for %v", h.name, l.until.Sub(now)))
					}
				}
			}
		}
		for zone, users := range places {
			if len(users) > 1 && s.places[zone] == "" {
				s.places[zone] = fmt.Sprintf("%v after %v", users, s.now)
			}
		}
		s.after(interval, check)
	}
	check()
}

// add adds a host that is not started yet.
func (s *capSimulation) add(name string, zone int, offset time.Duration) *capHost {
	h := &capHost{sim: s, name: name, zone: zone, offset: offset}
	s.hosts = append(s.hosts, h)
	s.byName[name] = h
	s.leases[name] = s.now + simLease
	return h
}

func (s *capSimulation) at(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: at, seq: s.seq, run: run})
}

func (s *capSimulation) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// run plays the events of a duration.
func (s *capSimulation) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// clock returns the time on the clock of the host.
func (h *capHost) clock() time.Time { return start.Add(h.offset).Add(h.sim.now) }

// do runs something on the process of a host that is alive now: when it is not frozen, and not if it has ended by then.
func (h *capHost) do(epoch int, run func()) {
	switch {
	case !h.alive || h.epoch != epoch:
	case h.frozen:
		h.thawed = append(h.thawed, func() { h.do(epoch, run) })
	default:
		run()
	}
}

func (h *capHost) start() {
	h.epoch++
	h.alive, h.frozen, h.thawed = true, false, nil
	h.desk = &Desk{
		Name: h.name, Zone: fmt.Sprint("z", h.zone), Address: h.name, Tolerance: simTolerance, Events: simCapEvents{}, Random: h.sim.random.Float64,
		IsFresh: func(time.Time) bool {
			return h.sim.now-h.viewedAt <= simFreshFor && h.sim.now-h.renewedAt <= simFreshLease
		},
	}
	h.desk.Init()
	h.desk.SetCaps(h.clock(), h.sim.caps)
	h.viewedAt, h.renewedAt, h.seen = -time.Hour, -time.Hour, HostView{}
	h.registration++
	h.every(h.epoch, simRenewal, h.renew)
	h.every(h.epoch, 700*time.Millisecond, h.view)
	h.every(h.epoch, time.Second, func() { h.desk.Expire(h.clock()) })
}

func (h *capHost) every(epoch int, interval time.Duration, run func()) {
	var again func()
	again = func() {
		h.do(epoch, func() {
			run()
			h.sim.after(interval, again)
		})
	}
	h.sim.after(time.Duration(h.sim.random.Float64()*float64(interval)), again)
}

func (h *capHost) renew() {
	if !h.sim.storeUp || h.noStore || h.isolated || h.sim.group[h.zone] != 0 {
		return
	}
	if h.sim.leases[h.name] <= h.sim.now {
		h.register()
	}
	h.renewedAt = h.sim.now
	h.sim.leases[h.name] = h.sim.now + simLease
}

// register registers the host, with a lease in place of one that has ended. The host may not have seen the end.
func (h *capHost) register() {
	h.registration++
	if h.seen.Name != "" {
		h.seen.Registration = h.registration
		h.desk.SetView(h.clock(), h.seen)
	}
}

// view reads the hosts that have a lease. A host that the store turns away follows the relay of its zone.
func (h *capHost) view() {
	if !h.sim.storeUp || h.noView || h.isolated || h.sim.group[h.zone] != 0 {
		return
	}
	v := HostView{Name: h.name, Zone: h.desk.Zone, Zones: h.sim.zones, Live: h.sim.live(), Counts: h.sim.leases[h.name] > h.sim.now}
	if !v.Counts {
		v.Live = append(slices.Clone(v.Live), model.Peer{Name: h.name, Zone: h.desk.Zone, Address: h.name})
	}
	epoch, viewedAt := h.epoch, h.sim.now
	h.sim.after(time.Duration(h.sim.random.Float64()*float64(simViewDelay)), func() {
		h.do(epoch, func() {
			if viewedAt < h.viewedAt {
				return
			}
			h.viewedAt, h.seen = viewedAt, v
			h.seen.Registration = h.registration
			h.desk.SetView(h.clock(), h.seen)
			h.flush()
		})
	})
}

// live returns the hosts that have a lease.
func (s *capSimulation) live() []model.Peer {
	if s.now-s.liveAt < 20*time.Millisecond {
		return s.liveHosts
	}
	live := make([]model.Peer, 0, len(s.hosts))
	for _, h := range s.hosts {
		if s.leases[h.name] > s.now {
			live = append(live, model.Peer{Name: h.name, Zone: h.desk.Zone, Address: h.name})
		}
	}
	s.liveAt = s.now
	if !slices.Equal(live, s.liveHosts) {
		s.liveHosts = live
	}
	return s.liveHosts
}

func (h *capHost) kill() {
	h.alive = false
	h.epoch++
}

func (h *capHost) freeze(d time.Duration) {
	if !h.alive || h.frozen {
		return
	}
	h.frozen = true
	epoch := h.epoch
	h.sim.after(d, func() {
		if !h.alive || h.epoch != epoch {
			return
		}
		h.frozen = false
		thawed := h.thawed
		h.thawed = nil
		for _, run := range thawed {
			run()
		}
	})
}

// isLinked reports whether messages pass between two hosts.
func (s *capSimulation) isLinked(a, b *capHost) bool {
	return a == b || !a.isolated && !b.isolated && s.group[a.zone] == s.group[b.zone]
}

// transit returns how long a message takes, and whether it is lost.
func (s *capSimulation) transit(a, b *capHost) (time.Duration, bool) {
	if !s.isLinked(a, b) || s.random.Float64() < s.loss {
		return 0, true
	}
	longest := 2 * time.Millisecond
	if a.zone != b.zone {
		longest = s.cross
	}
	if s.random.Float64() < s.late {
		longest = s.lateBy
	}
	return time.Duration((0.2 + 0.8*s.random.Float64()) * float64(longest)), false
}

func (s *capSimulation) host(name string) *capHost {
	return s.byName[name]
}

// flush sends the messages of the host.
func (h *capHost) flush() {
	for _, m := range h.desk.Messages() {
		h.sim.calls[m.Request.Call]++
		h.send(m)
	}
	at := h.desk.WakeAt()
	if at.IsZero() {
		return
	}
	wake := max(h.sim.now+time.Millisecond, at.Sub(start.Add(h.offset)))
	if h.wakeAt > h.sim.now && h.wakeAt <= wake {
		return
	}
	h.wakeAt = wake
	epoch := h.epoch
	h.sim.at(wake, func() {
		h.do(epoch, func() {
			h.desk.Tick(h.clock())
			h.flush()
		})
	})
}

func (h *capHost) send(m CapMessage) {
	s, epoch, answered := h.sim, h.epoch, false
	receive := func(reply CapReply, replied bool) {
		h.do(epoch, func() {
			if answered {
				return
			}
			answered = true
			h.desk.Receive(h.clock(), m, reply, replied)
			h.flush()
		})
	}
	s.after(simTimeout, func() { receive(CapReply{}, false) })
	to := s.host(m.To)
	d, lost := s.transit(h, to)
	if lost {
		return
	}
	if !to.alive {
		s.after(2*d, func() { receive(CapReply{}, false) })
		return
	}
	toEpoch := to.epoch
	s.after(d, func() {
		to.do(toEpoch, func() {
			if !s.isLinked(h, to) {
				return
			}
			to.desk.Serve(to.clock(), m.Request, func(reply CapReply) {
				if d, lost := s.transit(to, h); !lost {
					s.after(d, func() { receive(reply, true) })
				}
			})
			to.flush()
		})
	})
}

// request lets a request arrive at a host. One that has its tokens is sent after up to MaxHold, or gives them back.
func (h *capHost) request(workspace string, count int) {
	h.do(h.epoch, func() {
		epoch := h.epoch
		h.sim.asked[workspace] += count
		h.desk.Take(h.clock(), workspace, count, simPatience, func(o Outcome) {
			if o.RetryAfter > 0 {
				h.sim.refused++
				return
			}
			h.sim.served++
			hold, isUnused := time.Duration(h.sim.random.Float64()*float64(MaxHold)), h.sim.random.Float64() < h.sim.unused
			if isUnused {
				hold *= 4 // some expire before they are given back
			}
			h.sim.after(hold, func() {
				h.do(epoch, func() {
					switch {
					case isUnused:
						h.desk.Return(h.clock(), o.Taken)
						h.flush()
					case h.clock().Sub(o.Taken.At) <= MaxHold:
						h.sim.used = append(h.sim.used, simUse{at: h.sim.now, workspace: workspace, count: count})
					}
				})
			})
		})
		h.flush()
	})
}

// load is a flow of requests of one workspace.
type load struct {
	workspace string
	perSecond float64 // tokens
	sizes     []int
	hosts     []*capHost
}

// offer lets requests arrive for a duration, at random times and hosts.
func (s *capSimulation) offer(d time.Duration, l load) {
	sum := 0
	for _, size := range l.sizes {
		sum += size
	}
	interval := float64(sum) / float64(len(l.sizes)) / l.perSecond
	for at := s.random.ExpFloat64() * interval; at < d.Seconds(); at += s.random.ExpFloat64() * interval {
		s.after(time.Duration(at*float64(time.Second)), func() {
			l.hosts[s.random.IntN(len(l.hosts))].request(l.workspace, l.sizes[s.random.IntN(len(l.sizes))])
		})
	}
}

// zone returns the hosts of a zone.
func (s *capSimulation) zone(zone int) (hosts []*capHost) {
	for _, h := range s.hosts {
		if h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// most returns the highest usage in a window that begins at a time or later, and when that window ends.
func (s *capSimulation) most(workspace string, from time.Duration) (most int, at time.Duration) {
	used := slices.DeleteFunc(slices.Clone(s.used), func(u simUse) bool { return u.workspace != workspace || u.at < from })
	slices.SortFunc(used, func(a, b simUse) int { return int(a.at - b.at) })
	sum, first := 0, 0
	for _, u := range used {
		sum += u.count
		for u.at-used[first].at > simTolerance.Window {
			sum -= used[first].count
			first++
		}
		if sum > most {
			most, at = sum, u.at
		}
	}
	return most, at
}

// total returns the usage between two times.
func (s *capSimulation) total(workspace string, from, to time.Duration) int {
	total := 0
	for _, u := range s.used {
		if u.workspace == workspace && u.at >= from && u.at < to {
			total += u.count
		}
	}
	return total
}

// checkBound fails the test if a window has more than the cap allows, or a share was in two places.
func (s *capSimulation) checkBound(workspace string, c Cap, from time.Duration) {
	s.t.Helper()
	for zone, users := range s.places {
		s.t.Errorf("got the share of %s in two places: %s", zone, users)
	}
	if got, at := s.most(workspace, from); float64(got) > simTolerance.Most(c) {
		s.t.Errorf("got %d tokens of %s in the window until %v, want at most %.0f", got, workspace, at, simTolerance.Most(c))
	}
}

// ranking returns the ranking of a workspace in the view of a host of the zone that sees the hosts that have a lease now.
func (s *capSimulation) ranking(workspace string, zone int) *ranking {
	r := rankings{self: model.Peer{Name: s.zone(zone)[0].name, Address: s.zone(zone)[0].name}}
	r.setView(start, HostView{Zone: fmt.Sprint("z", zone), Live: s.live(), Counts: true})
	return r.of(workspace)
}

// allotterOf returns the host that has the share of a zone, and leaderOf the leader of the pool.
func (s *capSimulation) allotterOf(workspace string, zone int) *capHost {
	return s.host(s.ranking(workspace, zone).allotters[0].Name)
}

func (s *capSimulation) leaderOf(workspace string) *capHost {
	if leaders := s.ranking(workspace, 0).leaders; len(leaders) > 0 {
		return s.host(leaders[0])
	}
	return s.hosts[0]
}
