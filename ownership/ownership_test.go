package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ownerChangeDelay = 3 * time.Second

var start = time.Unix(1_000_000, 0)

// event is a change in the store.
type event struct {
	revision   int64
	host       string // whose record or liveness key changed, empty for an owner record
	record     HostRecord
	isLiveness bool
	ended      bool
	backend    string
	owner      Owner
}

// lease is a host's lease, to which its liveness key is bound.
type lease struct {
	revision int64 // of the liveness key
	endsAt   time.Time
}

// fakeStore is a store with host records, leases and owner records.
type fakeStore struct {
	revision  int64
	hosts     map[string]Host // without liveness
	leases    map[string]lease
	owners    map[string]Owner
	events    []event
	delivered map[*Table]int // number of events that each host has received
}

func newFakeStore() *fakeStore {
	return &fakeStore{hosts: make(map[string]Host), leases: make(map[string]lease), owners: make(map[string]Owner), delivered: make(map[*Table]int)}
}

// expire removes the leases that are due, or all leases, as a store may do after an outage.
func (s *fakeStore) expire(now time.Time, all bool) {
	for name, l := range s.leases {
		if all || !now.Before(l.endsAt) {
			s.revision++
			delete(s.leases, name)
			s.events = append(s.events, event{revision: s.revision, host: name, isLiveness: true, ended: true})
		}
	}
}

// register writes a host's record and liveness key.
func (s *fakeStore) register(now time.Time, t *Table) {
	s.revision++
	name := t.Self.Name
	s.hosts[name] = Host{Record: t.Self, Revision: s.revision}
	s.leases[name] = lease{revision: s.revision, endsAt: now.Add(LeaseTTL)}
	s.events = append(s.events, event{revision: s.revision, host: name, record: t.Self}, event{revision: s.revision, host: name, isLiveness: true})
	t.Registered(now, s.revision)
}

// renew renews a host's lease and reports whether the lease still existed.
func (s *fakeStore) renew(now time.Time, t *Table) bool {
	l, live := s.leases[t.Self.Name]
	if live {
		l.endsAt = now.Add(LeaseTTL)
		s.leases[t.Self.Name] = l
		t.Renewed(now)
	}
	return live
}

// leave writes the graceful shutdown of a host.
func (s *fakeStore) leave(t *Table) {
	if s.hosts[t.Self.Name].Revision != t.Revision {
		return
	}
	t.Stopping, t.Self.Left = true, true
	s.revision++
	s.hosts[t.Self.Name] = Host{Record: t.Self, Revision: s.revision}
	s.events = append(s.events, event{revision: s.revision, host: t.Self.Name, record: t.Self})
	t.Left(s.revision)
}

// table returns the table of a host that has just registered and read the complete store.
func (s *fakeStore) table(now time.Time, name string) *Table {
	t := NewTable(HostRecord{Name: name, Zone: "z"}, ownerChangeDelay)
	s.register(now, t)
	s.relist(now, t)
	return t
}

// relist has a host read the complete store.
func (s *fakeStore) relist(now time.Time, t *Table) {
	live := make(map[string]bool)
	for _, h := range s.hosts {
		t.HostWritten(now, h.Record, h.Revision)
	}
	for name, l := range s.leases {
		live[name] = true
		t.LivenessWritten(name, l.revision)
	}
	for id, o := range s.owners {
		t.Owners[id] = o
	}
	t.Relisted(now, live, s.revision)
	t.Observed(now, s.revision)
	s.delivered[t] = len(s.events)
}

// watch sends a host the latest event of each key since the last call.
func (s *fakeStore) watch(now time.Time, t *Table) {
	latest := make(map[string]event)
	for _, e := range s.events[s.delivered[t]:] {
		latest[fmt.Sprint(e.host, e.isLiveness, e.backend)] = e
	}
	for _, e := range latest {
		switch {
		case e.host == "":
			t.Owners[e.backend] = e.owner
		case e.ended:
			t.LivenessEnded(now, e.host, s.revision)
		case e.isLiveness:
			t.LivenessWritten(e.host, e.revision)
		default:
			t.HostWritten(now, e.record, e.revision)
		}
	}
	t.Observed(now, s.revision)
	s.delivered[t] = len(s.events)
}

// claim commits a claim of a host with its current registration, if the store is as the claim expects.
func (s *fakeStore) claim(t *Table, c Claim) bool { return s.claimAt(t, c, t.Revision) }

func (s *fakeStore) claimAt(t *Table, c Claim, registration int64) bool {
	if s.owners[c.Backend].Revision != c.Revision || s.hosts[t.Self.Name].Revision != registration {
		return false
	}
	if c.Previous != "" && s.hosts[c.Previous].Revision != c.PreviousRevision {
		return false
	}
	if _, live := s.leases[c.Previous]; live && c.PreviousExpired {
		return false
	}
	s.revision++
	o := Owner{Record: t.RecordOf(c), Revision: s.revision}
	s.owners[c.Backend] = o
	s.events = append(s.events, event{revision: s.revision, backend: c.Backend, owner: o})
	return true
}

func TestValidity(t *testing.T) {
	s := newFakeStore()
	table := s.table(start, "a")
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{after: 0, want: true},
		{after: Validity - orderMargin - time.Millisecond, want: true},
		{after: Validity - orderMargin, want: false},
	}
	for _, tt := range tests {
		if got := table.MayOrder(start.Add(tt.after)); got != tt.want {
			t.Errorf("after %v got MayOrder %v, want %v", tt.after, got, tt.want)
		}
	}
	table.Stopping = true
	if table.MayOrder(start) {
		t.Error("got MayOrder true for a stopping host, want false")
	}
}

// TestTakeoverWaitsForValidity checks that no host claims a backend server while the silent owner may still send
// orders, when the store expires the owner's lease early, as it may after an outage.
func TestTakeoverWaitsForValidity(t *testing.T) {
	s := newFakeStore()
	a := s.table(start, "a")
	s.claim(a, Claim{Backend: "i-1"})
	b := s.table(start, "b")
	s.expire(start, true)
	s.register(start, b)
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	now := start
	for now.Before(start.Add(Validity + takeoverMargin)) {
		now = now.Add(time.Second)
		s.renew(now, b)
		s.watch(now, b)
		if got := b.Claims(now, backends); len(got) > 0 && a.MayOrder(now) {
			t.Fatalf("got claims %v after %v, want none while host a may send orders", got, now.Sub(start))
		}
	}
	for range 8 {
		now = now.Add(rankDelay)
		s.renew(now, b)
		s.watch(now, b)
	}
	if got := b.Claims(now, backends); len(got) != 1 || got[0].Previous != "a" || !s.claim(b, got[0]) {
		t.Errorf("got claims %v, want one accepted claim that takes over from a", got)
	}
}

// TestOutageKeepsOwners checks that an owner that registers again after a store outage stays owner, although the outage
// expired all leases.
func TestOutageKeepsOwners(t *testing.T) {
	s := newFakeStore()
	a, b := s.table(start, "a"), s.table(start, "b")
	s.claim(a, Claim{Backend: "i-1"})
	s.watch(start, b)
	now := start.Add(time.Minute)
	s.expire(now, true)
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	s.register(now, b)
	if got := b.Claims(now, backends); len(got) > 0 {
		t.Errorf("got claims %v before b read the store again, want none", got)
	}
	s.watch(now, b)
	if got := b.Claims(now, backends); len(got) > 0 {
		t.Errorf("got claims %v right after an outage, want none", got)
	}
	now = now.Add(time.Second)
	s.register(now, a)
	for range 30 {
		now = now.Add(time.Second)
		s.renew(now, a)
		s.renew(now, b)
		s.watch(now, b)
	}
	if got := b.Claims(now, backends); len(got) > 0 {
		t.Errorf("got claims %v on a backend server whose owner registered again, want none", got)
	}
}

// TestDelayedClaimFailsAfterReregistration checks that a delayed claim fails if the previous owner has registered again
// before the claim arrives, even if its new lease has expired too.
func TestDelayedClaimFailsAfterReregistration(t *testing.T) {
	s := newFakeStore()
	a, b := s.table(start, "a"), s.table(start, "b")
	s.claim(a, Claim{Backend: "i-1"})
	s.expire(start, true)
	s.register(start, b)
	s.watch(start, b)
	now := start.Add(Validity + takeoverMargin + assignedOnlyPeriod)
	s.renew(now, b)
	s.watch(now, b)
	b.Claims(now, []Backend{{ID: "i-1", Zone: "z"}})
	now = now.Add(assignedOnlyPeriod + 8*rankDelay)
	s.renew(now, b)
	s.watch(now, b)
	claims := b.Claims(now, []Backend{{ID: "i-1", Zone: "z"}})
	if len(claims) != 1 {
		t.Fatalf("got %d claims, want 1", len(claims))
	}
	s.register(now, a)
	s.expire(now, true)
	s.watch(now, a)
	if !a.MayOrder(now) {
		t.Fatal("got no right to send orders after a registration that the watch has confirmed, want it")
	}
	if s.claim(b, claims[0]) {
		t.Error("got a claim accepted while the owner that registered again may send orders, want it refused")
	}
}

// TestRegistrationWaitsForTheWatch guards against orders of an owner that registers again without knowing that another
// host took over its backend server meanwhile.
func TestRegistrationWaitsForTheWatch(t *testing.T) {
	s := newFakeStore()
	a, b := s.table(start, "a"), s.table(start, "b")
	s.claim(a, Claim{Backend: "i-1"})
	s.watch(start, a)
	s.expire(start, true)
	now := start.Add(Validity + takeoverMargin)
	s.register(now, b)
	s.watch(now, b)
	now = now.Add(Validity + takeoverMargin + time.Second)
	s.renew(now, b)
	s.watch(now, b)
	b.Claims(now, []Backend{{ID: "i-1", Zone: "z"}})
	now = now.Add(assignedOnlyPeriod + 8*rankDelay)
	s.renew(now, b)
	s.watch(now, b)
	if claims := b.Claims(now, []Backend{{ID: "i-1", Zone: "z"}}); len(claims) != 1 || !s.claim(b, claims[0]) {
		t.Fatalf("got claims %v, want one that takes over from a", claims)
	}
	s.register(now, a)
	s.renew(now, a)
	if _, owns := a.Owns("i-1"); owns && a.MayOrder(now) {
		t.Error("got the right to send orders by an owner record that another host has replaced, want none")
	}
	s.watch(now, a)
	if _, owns := a.Owns("i-1"); owns || !a.MayOrder(now) {
		t.Errorf("got owner %v and MayOrder %v after the watch, want false and true", owns, a.MayOrder(now))
	}
}

func TestClaimsAreEven(t *testing.T) {
	s := newFakeStore()
	var tables []*Table
	for i := range 3 {
		tables = append(tables, s.table(start, fmt.Sprintf("host-%d", i)))
	}
	var backends []Backend
	for i := range 9 {
		backends = append(backends, Backend{ID: fmt.Sprintf("i-%d", i), Zone: "z"})
	}
	for _, table := range tables {
		s.watch(start, table)
		claims := table.Claims(start, backends)
		if len(claims) != 3 {
			t.Errorf("got %d claims of %s, want 3", len(claims), table.Self.Name)
		}
		for _, c := range claims {
			if !s.claim(table, c) {
				t.Errorf("got the claim on %s refused, want it accepted", c.Backend)
			}
			table.Owners[c.Backend] = s.owners[c.Backend]
		}
	}
}

func TestFirstOrderAfterPlannedStopWaits(t *testing.T) {
	s := newFakeStore()
	a, b := s.table(start, "a"), s.table(start, "b")
	s.claim(a, Claim{Backend: "i-1"})
	s.leave(a)
	s.watch(start, b)
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	claims := b.Claims(start, backends)
	if len(claims) != 1 {
		t.Fatalf("got %d claims, want 1", len(claims))
	}
	s.claim(b, claims[0])
	s.watch(start, b)
	if got := b.FirstOrderAt(start, "i-1").Sub(start); got < ownerChangeDelay {
		t.Errorf("got the first order after %v, want at least %v", got, ownerChangeDelay)
	}
	again := s.table(start, "b")
	if got := again.FirstOrderAt(start, "i-1").Sub(start); got < ownerChangeDelay {
		t.Errorf("got the first order of a restarted process after %v, want at least %v", got, ownerChangeDelay)
	}
}

// delayedClaim is a claim that has not reached the store yet.
type delayedClaim struct {
	claim        Claim
	registration int64
}

// TestOrdersOfOwners runs random renewals, outages that expire leases early, freezes, restarts, graceful shutdowns and
// claims, some of which take effect late. It checks that the fencing token never falls and that two owners never send
// orders within the minimum time between their orders.
func TestOrdersOfOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, now := newFakeStore(), start
		names := []string{"a", "b", "c"}
		tables := make(map[string]*Table)
		notBefore, lateClaims := make(map[string]time.Time), make(map[string][]delayedClaim)
		owned := make(map[string]bool) // hosts that were owner in their table at their last step
		for _, name := range names {
			tables[name] = s.table(now, name)
		}
		backends := []Backend{{ID: "i-1", Zone: "z"}}
		var lastOwner string
		var lastAt time.Time
		var lastTerm int64
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			s.expire(now, rapid.IntRange(0, 49).Draw(rt, "outage") == 0)
			name := rapid.SampledFrom(names).Draw(rt, "host")
			table := tables[name]
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1: // renew; register again if the lease has expired
				if !s.renew(now, table) && !table.Stopping {
					s.register(now, table)
				}
			case 2, 3:
				s.watch(now, table)
			case 4:
				s.relist(now, table)
			case 5: // restart
				tables[name] = s.table(now, name)
				table, lateClaims[name], owned[name] = tables[name], nil, false
			case 6, 7:
				for _, c := range table.Claims(now, backends) {
					if rapid.Bool().Draw(rt, "late") {
						lateClaims[name] = append(lateClaims[name], delayedClaim{c, table.Revision})
					} else if s.claim(table, c) {
						s.watch(now, table)
					}
				}
			case 8: // a claim without a response takes effect
				for _, d := range lateClaims[name] {
					s.claimAt(table, d.claim, d.registration)
				}
				lateClaims[name] = nil
			case 9: // a graceful shutdown; the process starts again later
				s.leave(table)
			}
			term, owns := table.Owns("i-1")
			if owns && !owned[name] {
				notBefore[name] = table.FirstOrderAt(now, "i-1")
			}
			owned[name] = owns
			if !owns || !table.MayOrder(now) || now.Before(notBefore[name]) {
				continue
			}
			if term < lastTerm {
				rt.Fatalf("got term %d of %s after %d of %s", term, name, lastTerm, lastOwner)
			}
			if lastOwner != "" && lastOwner != name && now.Sub(lastAt) < ownerChangeDelay {
				rt.Fatalf("got orders of %s and %s within %v", lastOwner, name, now.Sub(lastAt))
			}
			lastOwner, lastAt, lastTerm = name, now, term
		}
	})
}

// BenchmarkStep measures Claims with the hosts and owners of a large fleet. Each host calls it many times per second.
func BenchmarkStep(b *testing.B) {
	s := newFakeStore()
	table := s.table(start, "host-0")
	for i := range 420 {
		s.table(start, fmt.Sprintf("host-%d", i))
	}
	var backends []Backend
	for i := range 760 {
		id := fmt.Sprintf("i-%d", i)
		backends = append(backends, Backend{ID: id, Zone: "z"})
		s.owners[id] = Owner{Record: OwnerRecord{Host: "host-1"}, Revision: 1}
	}
	s.relist(start, table)
	for b.Loop() {
		table.Claims(start, backends)
	}
}

// TestVacantBackendIsClaimedByFew guards against claims of a whole fleet at once on a backend server that its intended
// owner does not claim: each one is a call to the store, and all but one conflict.
func TestVacantBackendIsClaimedByFew(t *testing.T) {
	const hosts, zones, interval = 300, 5, 200 * time.Millisecond
	s, now := newFakeStore(), start
	var tables []*Table
	for i := range hosts {
		table := NewTable(HostRecord{Name: fmt.Sprintf("host-%d", i), Zone: fmt.Sprint("z", i%zones)}, ownerChangeDelay)
		s.register(now, table)
		tables = append(tables, table)
	}
	for _, table := range tables {
		s.relist(now, table)
	}
	backends := []Backend{{ID: "i-1", Zone: "z1"}}
	claimed := make(map[string]bool)
	for now.Before(start.Add(Validity - 2*orderMargin)) {
		first := 0
		for _, table := range tables {
			s.watch(now, table)
			if len(table.Claims(now, backends)) == 0 || claimed[table.Self.Name] {
				continue
			}
			claimed[table.Self.Name] = true
			first++
			if table.Self.Zone != "z1" {
				t.Errorf("got a claim of %s in zone %s after %v, want claims of zone z1 only", table.Self.Name, table.Self.Zone, now.Sub(start))
			}
		}
		if first > 3 {
			t.Errorf("got %d hosts that claim after %v, want at most 3 at once", first, now.Sub(start))
		}
		now = now.Add(interval)
	}
	if len(claimed) < 8 {
		t.Errorf("got claims of %d hosts in %v, want the next hosts to stand in for those that do not claim", len(claimed), now.Sub(start))
	}
}
