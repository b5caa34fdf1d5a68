package ownership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/store"
)

const (
	ownerChangeDelay = 3 * time.Second
	copyAge          = 15 * time.Second // highest age of a copy from which the store is restored
)

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
	era       int64
	revision  int64           // as of store.RevisionInEra
	hosts     map[string]Host // without liveness
	leases    map[string]lease
	owners    map[string]Owner
	events    []event
	delivered map[*Table]int // number of events that each host has received
	copies    []storeCopy
}

// storeCopy is a copy of the content of the store, from which it may be restored.
type storeCopy struct {
	at       time.Time
	revision int64
	hosts    map[string]Host
	leases   map[string]lease
	owners   map[string]Owner
}

// copyContent makes a copy.
func (s *fakeStore) copyContent(now time.Time) {
	s.copies = append(s.copies, storeCopy{now, store.WithinEra(s.revision), maps.Clone(s.hosts), maps.Clone(s.leases), maps.Clone(s.owners)})
}

// restore replaces the content by a copy, whose revisions are those of a new era now.
func (s *fakeStore) restore(c storeCopy) {
	s.era++
	s.revision = store.RevisionInEra(s.era, c.revision)
	s.hosts, s.leases, s.owners = maps.Clone(c.hosts), maps.Clone(c.leases), maps.Clone(c.owners)
	for name, h := range s.hosts {
		h.Revision = store.RevisionInEra(s.era, store.WithinEra(h.Revision))
		s.hosts[name] = h
	}
	for name, l := range s.leases {
		l.revision = store.RevisionInEra(s.era, store.WithinEra(l.revision))
		s.leases[name] = l
	}
	for id, o := range s.owners {
		o.Revision = store.RevisionInEra(s.era, store.WithinEra(o.Revision))
		s.owners[id] = o
	}
}

// isCurrent reports whether a host may make a call that it prepared with its view of the store. Otherwise the host learns
// of the new era.
func (s *fakeStore) isCurrent(now time.Time, t *Table) bool {
	return !t.EnterEra(now, s.era) && store.Era(t.ObservedRevision) == s.era
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
	t.EnterEra(now, s.era)
	s.register(now, t)
	s.relist(now, t)
	return t
}

// relist has a host read the complete store.
func (s *fakeStore) relist(now time.Time, t *Table) {
	t.EnterEra(now, s.era)
	recorded, live := make(map[string]bool), make(map[string]bool)
	for _, h := range s.hosts {
		recorded[h.Record.Name] = true
		t.HostWritten(now, h.Record, h.Revision)
	}
	for name, l := range s.leases {
		live[name] = true
		t.LivenessWritten(name, l.revision)
	}
	for id, o := range s.owners {
		t.Owners[id] = o
	}
	for id, o := range t.Owners {
		if _, listed := s.owners[id]; !listed && o.Revision <= s.revision {
			delete(t.Owners, id)
		}
	}
	t.Relisted(now, recorded, live, s.revision)
	t.Observed(now, s.revision)
	s.delivered[t] = len(s.events)
}

// watch sends a host the latest event of each key since the last call.
func (s *fakeStore) watch(now time.Time, t *Table) {
	if !s.isCurrent(now, t) {
		s.relist(now, t)
		return
	}
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
	// The store compares its own revisions, also those that a delayed claim expects of an earlier era.
	differ := func(a, b int64) bool { return store.WithinEra(a) != store.WithinEra(b) }
	if differ(s.owners[c.Backend].Revision, c.Revision) || differ(s.hosts[t.Self.Name].Revision, registration) {
		return false
	}
	if c.Previous != "" && differ(s.hosts[c.Previous].Revision, c.PreviousRevision) {
		return false
	}
	if _, live := s.leases[c.Previous]; live && c.PreviousExpired {
		return false
	}
	s.revision++
	record := t.RecordOf(c)
	record.Era = store.Era(registration)
	o := Owner{Record: record, Revision: s.revision}
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
// claims, some of which take effect late, and restores the store from older copies. It checks that the fencing token never falls and that two owners never send
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
			if rapid.IntRange(0, 9).Draw(rt, "copy") == 0 {
				s.copyContent(now)
			}
			s.copies = slices.DeleteFunc(s.copies, func(c storeCopy) bool { return now.Sub(c.at) > copyAge })
			if len(s.copies) > 0 && rapid.IntRange(0, 39).Draw(rt, "restore") == 0 {
				s.restore(rapid.SampledFrom(s.copies).Draw(rt, "from"))
			}
			name := rapid.SampledFrom(names).Draw(rt, "host")
			table := tables[name]
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1: // renew; register again if the lease has expired
				if !s.isCurrent(now, table) {
					break
				}
				if !s.renew(now, table) && !table.Stopping || table.Revision == 0 {
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
					if !s.isCurrent(now, table) {
						break
					}
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
				if s.isCurrent(now, table) {
					s.leave(table)
				}
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

// TestOwnersAfterRestoration guards against two owners after the store was restored, each with a record or a memory of its
// own that names it. Host a owned i-1 at first, and the copy says so.
func TestOwnersAfterRestoration(t *testing.T) {
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	const lastOrders = Validity + takeoverMargin
	tests := []struct {
		name string
		lost func(s *fakeStore, a, b *Table) (now time.Time, restarted *Table) // what happens after the copy was made
		want string                                                            // host that claims i-1 at once, empty for none
	}{
		{"the owner goes on", func(s *fakeStore, a, _ *Table) (time.Time, *Table) {
			s.restore(s.copies[0])
			return start, a
		}, "a"},
		{"the owner lost its lease long ago", func(s *fakeStore, a, _ *Table) (time.Time, *Table) {
			s.restore(s.copies[0])
			return start.Add(Validity), a
		}, ""},
		{"a successor goes on and the earlier owner starts again", func(s *fakeStore, a, b *Table) (time.Time, *Table) {
			s.leave(a)
			s.watch(start, b)
			s.claim(b, b.Claims(start, backends)[0])
			s.watch(start, b)
			s.restore(s.copies[0])
			return start, s.table(start, "a")
		}, "b"},
		{"the owner starts again", func(s *fakeStore, _, _ *Table) (time.Time, *Table) {
			s.restore(s.copies[0])
			return start, s.table(start, "a")
		}, ""},
		{"restored twice, the second time after the owner's validity", func(s *fakeStore, a, _ *Table) (time.Time, *Table) {
			s.restore(s.copies[0])
			a.EnterEra(start, s.era)
			s.restore(s.copies[0])
			return start.Add(Validity), a
		}, ""},
		{"restored twice, the second time before a claim", func(s *fakeStore, a, _ *Table) (time.Time, *Table) {
			s.restore(s.copies[0])
			s.relist(start, a)
			s.register(start, a)
			s.watch(start, a)
			s.restore(s.copies[0])
			return start.Add(time.Second), a
		}, "a"},
	}
	for _, tt := range tests {
		s := newFakeStore()
		a, b := s.table(start, "a"), s.table(start, "b")
		s.claim(a, Claim{Backend: "i-1"})
		s.watch(start, a)
		s.watch(start, b)
		s.copyContent(start)
		now, a := tt.lost(s, a, b)
		claimed := ""
		for _, table := range []*Table{a, b} {
			s.relist(now, table)
			if _, owns := table.Owns("i-1"); owns || table.MayOrder(now) && table.Revision == 0 {
				t.Errorf("%s: got %s with the right to send orders, want none before it has registered and claimed", tt.name, table.Self.Name)
			}
			s.register(now, table)
			s.watch(now, table)
			if claims := table.Claims(now, backends); len(claims) == 1 && s.claim(table, claims[0]) {
				claimed += table.Self.Name
				s.watch(now, table)
				if got := table.FirstOrderAt(now, "i-1"); got != now {
					t.Errorf("%s: got the first order %v after the claim, want it at once", tt.name, got.Sub(now))
				}
			}
		}
		if claimed != tt.want {
			t.Errorf("%s: got i-1 claimed at once by %q, want %q", tt.name, claimed, tt.want)
		}
		if claimed != "" {
			continue
		}
		for waited := time.Duration(0); waited <= lastOrders+ownerChangeDelay; waited += LeaseTTL / 2 {
			s.renew(now.Add(waited), b)
			s.watch(now.Add(waited), b)
			if claims := b.Claims(now.Add(waited), backends); len(claims) > 0 {
				t.Errorf("%s: got a claim %v after the restoration, want none before %v", tt.name, waited, lastOrders+ownerChangeDelay)
			}
		}
		later := now.Add(lastOrders + 2*ownerChangeDelay)
		s.register(later, b)
		s.watch(later, b)
		b.Claims(later, backends) // the assigned host may claim first
		later = later.Add(assignedOnlyPeriod + 2*rankDelay)
		s.renew(later, b)
		s.watch(later, b)
		if claims := b.Claims(later, backends); len(claims) != 1 {
			t.Errorf("%s: got no claim long after the restoration, want one", tt.name)
		}
	}
}

// TestRestorationKeepsLiveHosts guards against a fleet that seems to shrink when the restored store lacks its registrations:
// each host would take a larger share of what the hosts divide.
func TestRestorationKeepsLiveHosts(t *testing.T) {
	s := newFakeStore()
	s.revision = 1
	s.copyContent(start)
	a, b := s.table(start, "a"), s.table(start, "b")
	s.table(start, "c")
	s.watch(start, a)
	s.restore(s.copies[0])
	s.relist(start, a)
	if got := len(a.Live()); got != 3 {
		t.Errorf("got %d live hosts after the restoration, want 3", got)
	}
	s.relist(start, b)
	s.register(start, b)
	s.watch(start, a)
	if a.EndCarrying(start.Add(carryPeriod - time.Millisecond)) {
		t.Error("got the hosts no longer carried too early")
	}
	if !a.EndCarrying(start.Add(carryPeriod)) {
		t.Error("got the hosts still carried, want them to count only if they registered again")
	}
	if got := a.Live(); len(got) != 2 || got[1].Name != "b" {
		t.Errorf("got %v live, want a and b", got)
	}
}
