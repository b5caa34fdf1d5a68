package ratelimit

import (
	"slices"
	"time"

	"citronspread/membership"
	"citronspread/model"
)

const (
	// deputies is how many hosts stand in for an allotter, and for a leader.
	deputies = 3
	// allotterPause is the time after which no other host of a zone divides its share that did so before. Such a host may act on a
	// view of the hosts that is 3.5 s old, and the pool that it has lent the share to may use it for loanTTL.
	allotterPause = 3500*time.Millisecond + loanTTL + 4*lenderMargin
	// confirmedPause is this time if the hosts that rank next have confirmed that they do not take themselves for the allotter, or
	// if there are no other hosts. A host whose lease has ended may act on a confirmation of before.
	confirmedPause = confirmTTL + loanTTL + 2*lenderMargin
	// viewMemory is how long earlier sets of hosts are told apart: longer than allotterPause and than a share takes to be full.
	viewMemory = time.Minute
	// maxViews bounds the earlier sets of hosts that are remembered.
	maxViews = 32
)

// HostView is what a host knows of the other hosts.
type HostView struct {
	Name   string // of this host
	Zone   string
	Live   []model.Peer
	Zones  int  // number of zones that have hosts or had some: those that are cut off use their shares
	Counts bool // the other hosts count this host as live
	// Registration changes whenever this host registers: another host may have divided the share before, although this host has
	// not seen that its lease had ended.
	Registration int64
}

// zoneSet is the set of hosts of the own zone from a time on.
type zoneSet struct {
	from  time.Time
	hosts []model.Peer
}

// ranking holds the hosts that divide the cap of one workspace.
type ranking struct {
	allotters  []model.Peer // of the own zone, in their order
	isFirst    bool         // this host is the allotter
	firstSince time.Time
	former     model.Peer        // allotter before this host
	leaders    []string          // peer addresses of the allotters of the zones, in the order in which they lead the pool
	byZone     map[string]string // peer addresses of the allotters
}

// rankings computes the rankings of workspaces from what a host knows of the other hosts, and keeps them until that changes.
type rankings struct {
	self        model.Peer
	view        HostView
	sets        []zoneSet // of the own zone, the latest last
	byWorkspace map[string]*ranking
}

// setView replaces what is known of the hosts.
func (r *rankings) setView(now time.Time, v HostView) {
	if !v.Counts {
		v.Live = slices.DeleteFunc(slices.Clone(v.Live), func(p model.Peer) bool { return p.Name == v.Name })
	}
	if r.view.Registration != v.Registration {
		r.sets = nil
	}
	if len(r.sets) > 0 && r.view.Zones == v.Zones && equalPeers(r.view.Live, v.Live) {
		return
	}
	r.view = v
	r.byWorkspace = make(map[string]*ranking)
	var own []model.Peer
	for _, p := range v.Live {
		if p.Zone == v.Zone {
			own = append(own, p)
		}
	}
	if n := len(r.sets); n > 0 && slices.EqualFunc(r.sets[n-1].hosts, own, func(a, b model.Peer) bool { return a.Name == b.Name }) {
		r.sets[n-1].hosts = own
		return
	}
	r.sets = append(r.sets, zoneSet{from: now, hosts: own})
	for len(r.sets) > 1 && now.Sub(r.sets[1].from) > viewMemory {
		r.sets[1].from = r.sets[0].from // which host was the allotter so long ago makes no difference
		r.sets = r.sets[1:]
	}
	r.sets = r.sets[max(0, len(r.sets)-maxViews):]
}

// equalPeers compares two lists, of which the first is usually the second.
func equalPeers(a, b []model.Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b))
}

func capKey(workspace string) string { return "cap/" + workspace }

// of returns the ranking of a workspace.
func (r *rankings) of(workspace string) *ranking {
	if known := r.byWorkspace[workspace]; known != nil {
		return known
	}
	key := capKey(workspace)
	k := &ranking{byZone: make(map[string]string)}
	zones := make(map[string][]model.Peer)
	for _, p := range r.view.Live {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	var zonePeers []model.Peer
	for zone, hosts := range zones {
		first, _ := membership.Leader(hosts, key)
		k.byZone[zone] = first.Address
		zonePeers = append(zonePeers, model.Peer{Name: zone})
	}
	for _, zone := range membership.Ranked(zonePeers, key) {
		if len(k.leaders) < deputies {
			k.leaders = append(k.leaders, k.byZone[zone.Name])
		}
	}
	k.allotters = membership.Ranked(zones[r.view.Zone], key)
	k.allotters = k.allotters[:min(len(k.allotters), deputies+1)]
	if len(k.allotters) == 0 {
		k.allotters = []model.Peer{r.self} // divides what it gets from a pool
	}
	for i := len(r.sets) - 1; i >= 0; i-- {
		first, found := membership.Leader(r.sets[i].hosts, key)
		if !found || first.Name != r.view.Name {
			k.former = first
			break
		}
		k.isFirst, k.firstSince = true, r.sets[i].from
	}
	r.byWorkspace[workspace] = k
	return k
}

// isOnly reports whether no other host of the zone is known.
func (r *ranking) isOnly() bool { return len(r.allotters) < 2 }

// handoverPause returns how long a host must have been the allotter until no other one can still be.
func (r *ranking) handoverPause() time.Duration {
	if r.isOnly() {
		return confirmedPause
	}
	return allotterPause
}

// precedes reports whether the host with a peer address leads the pool before another one.
func (r *ranking) precedes(a, b string) bool {
	i, j := slices.Index(r.leaders, a), slices.Index(r.leaders, b)
	return i >= 0 && (j < 0 || i < j)
}

// confirmation is what the hosts that rank next say of whether this host is the allotter.
type confirmation struct {
	askedAt    time.Time
	askedSince time.Time // Desk.firstSince when they were asked
	pending    int
	yes, no    int
	failed     int
	given      *GivenShare // by the earlier allotter, in reply to this request
	takenSince time.Time   // Desk.firstSince for which the share was taken over
	okAt       time.Time   // when the hosts were asked that confirmed it last
	fullSince  time.Time   // since when all of them have confirmed it, without a gap
}

const (
	// confirmTTL is how long a confirmation counts from when it was requested, and confirmInterval when it is renewed.
	confirmTTL      = 700 * time.Millisecond
	confirmInterval = 200 * time.Millisecond
	// giveTTL is how long after it could last use the share a host can give it up for the next allotter. Another host that has begun
	// to use it since, without being given it, is one of those that the next allotter asks or has lost the store for longer.
	giveTTL = 3 * time.Second
)

// answered records one reply.
func (c *confirmation) answered(first, failed bool) {
	c.pending--
	switch {
	case failed:
		c.failed++
	case first:
		c.yes++
	default:
		c.no++
	}
	if c.pending > 0 {
		return
	}
	wasValid := !c.okAt.IsZero() && c.askedAt.Sub(c.okAt) < confirmTTL
	switch {
	case c.no > 0 || c.yes == 0:
		c.okAt, c.fullSince = time.Time{}, time.Time{}
	case c.failed > 0:
		c.okAt, c.fullSince = c.askedAt, time.Time{}
	default:
		if c.fullSince.IsZero() || !wasValid {
			c.fullSince = c.askedAt
		}
		c.okAt = c.askedAt
	}
}

// isUnanimous reports whether all hosts have replied and confirm it.
func (c *confirmation) isUnanimous() bool {
	return c.pending == 0 && c.yes > 0 && c.no == 0 && c.failed == 0
}

func (c *confirmation) isValid(now time.Time) bool {
	return !c.okAt.IsZero() && now.Sub(c.okAt) < confirmTTL
}
