package tenure

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const orderTurn = 3 * time.Second

var start = time.Unix(1_000_000, 0)

// event is a change of the world's store.
type event struct {
	revision   int64
	host       string // whose record or liveness key changed, empty for an owner record
	record     HostRecord
	isLiveness bool
	ended      bool
	backend    string
	owner      Owner
}

// lease keeps a host's liveness key.
type lease struct {
	revision int64 // of the liveness key
	endsAt   time.Time
}

// world is a store with hosts, their leases and owners.
type world struct {
	revision int64
	hosts    map[string]Host // records alone
	leases   map[string]lease
	owners   map[string]Owner
	events   []event
	seen     map[*Table]int // events that each host was told of
}

func newWorld() *world {
	return &world{hosts: make(map[string]Host), leases: make(map[string]lease), owners: make(map[string]Owner), seen: make(map[*Table]int)}
}

// expire ends the leases whose time is up, or all of them, as a store may that was down.
func (w *world) expire(now time.Time, all bool) {
	for name, l := range w.leases {
		if all || !now.Before(l.endsAt) {
			w.revision++
			delete(w.leases, name)
			w.events = append(w.events, event{revision: w.revision, host: name, isLiveness: true, ended: true})
		}
	}
}

// register writes a host's record and liveness key, and lets it read all owners.
func (w *world) register(now time.Time, t *Table) {
	w.revision++
	name := t.Self.Name
	w.hosts[name] = Host{Record: t.Self, Revision: w.revision}
	w.leases[name] = lease{revision: w.revision, endsAt: now.Add(LeaseTerm)}
	w.events = append(w.events, event{revision: w.revision, host: name, record: t.Self}, event{revision: w.revision, host: name, isLiveness: true})
	t.Owners = make(map[string]Owner)
	for id, o := range w.owners {
		t.Owners[id] = o
	}
	t.Registered(now, w.revision)
}

// renew keeps the lease and reports whether there still was one.
func (w *world) renew(now time.Time, t *Table) bool {
	l, lives := w.leases[t.Self.Name]
	if lives {
		l.endsAt = now.Add(LeaseTerm)
		w.leases[t.Self.Name] = l
		t.Renewed(now)
	}
	return lives
}

// leave writes that a host stops.
func (w *world) leave(t *Table) {
	if w.hosts[t.Self.Name].Revision != t.Revision {
		return
	}
	t.Stopping, t.Self.Left = true, true
	w.revision++
	w.hosts[t.Self.Name] = Host{Record: t.Self, Revision: w.revision}
	w.events = append(w.events, event{revision: w.revision, host: t.Self.Name, record: t.Self})
	t.Left(w.revision)
}

// table returns what a host knows that has just registered and read the whole store.
func (w *world) table(now time.Time, name string) *Table {
	t := NewTable(HostRecord{Name: name, Zone: "z"}, orderTurn)
	w.register(now, t)
	w.relist(now, t)
	return t
}

// relist lets a host read the whole store.
func (w *world) relist(now time.Time, t *Table) {
	lives := make(map[string]bool)
	for _, h := range w.hosts {
		t.HostWritten(now, h.Record, h.Revision)
	}
	for name, l := range w.leases {
		lives[name] = true
		t.LivenessWritten(name, l.revision)
	}
	for id, o := range w.owners {
		t.Owners[id] = o
	}
	t.Relisted(now, lives, w.revision)
	t.Observed(now)
	w.seen[t] = len(w.events)
}

// watch tells a host the latest event of each key since the last time.
func (w *world) watch(now time.Time, t *Table) {
	latest := make(map[string]event)
	for _, e := range w.events[w.seen[t]:] {
		latest[fmt.Sprint(e.host, e.isLiveness, e.backend)] = e
	}
	for _, e := range latest {
		switch {
		case e.host == "":
			t.Owners[e.backend] = e.owner
		case e.ended:
			t.LivenessEnded(now, e.host, w.revision)
		case e.isLiveness:
			t.LivenessWritten(e.host, e.revision)
		default:
			t.HostWritten(now, e.record, e.revision)
		}
	}
	t.Observed(now)
	w.seen[t] = len(w.events)
}

// claim commits a claim of a host as registered at a revision when the store still is as the claim expects.
func (w *world) claim(t *Table, c Claim) bool { return w.claimAt(t, c, t.Revision) }

func (w *world) claimAt(t *Table, c Claim, registration int64) bool {
	if w.owners[c.Backend].Revision != c.Revision || w.hosts[t.Self.Name].Revision != registration {
		return false
	}
	if c.Previous != "" && w.hosts[c.Previous].Revision != c.PreviousRevision {
		return false
	}
	if _, lives := w.leases[c.Previous]; lives && c.PreviousSilent {
		return false
	}
	w.revision++
	o := Owner{Record: t.RecordOf(c), Revision: w.revision}
	w.owners[c.Backend] = o
	w.events = append(w.events, event{revision: w.revision, backend: c.Backend, owner: o})
	return true
}

func TestValidity(t *testing.T) {
	w := newWorld()
	table := w.table(start, "a")
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{after: 0, want: true},
		{after: Validity - stopEarly - time.Millisecond, want: true},
		{after: Validity - stopEarly, want: false},
	}
	for _, tt := range tests {
		if got := table.MayOrder(start.Add(tt.after)); got != tt.want {
			t.Errorf("after %v got may order %v, want %v", tt.after, got, tt.want)
		}
	}
	table.Stopping = true
	if table.MayOrder(start) {
		t.Error("got orders from a host that stops")
	}
}

// TestSilentHostIsSucceededAfterItsValidity has the store end the lease of an owner at once, as one may that was down.
func TestSilentHostIsSucceededAfterItsValidity(t *testing.T) {
	w := newWorld()
	a := w.table(start, "a")
	w.claim(a, Claim{Backend: "i-1"})
	b := w.table(start, "b")
	w.expire(start, true)
	w.register(start, b)
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	now := start
	for now.Before(start.Add(Validity + successionMargin)) {
		now = now.Add(time.Second)
		w.renew(now, b)
		w.watch(now, b)
		if got := b.Claims(now, backends); len(got) > 0 && a.MayOrder(now) {
			t.Fatalf("got claims %v after %v while a may give orders", got, now.Sub(start))
		}
	}
	for range 8 {
		now = now.Add(rankDelay)
		w.renew(now, b)
		w.watch(now, b)
	}
	if got := b.Claims(now, backends); len(got) != 1 || got[0].Previous != "a" || !w.claim(b, got[0]) {
		t.Errorf("got claims %v, want one from a", got)
	}
}

// TestOutageEndsNobody plays an outage in which all leases end: who registers again at its end stays owner.
func TestOutageEndsNobody(t *testing.T) {
	w := newWorld()
	a, b := w.table(start, "a"), w.table(start, "b")
	w.claim(a, Claim{Backend: "i-1"})
	w.watch(start, b)
	now := start.Add(time.Minute)
	w.expire(now, true)
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	w.register(now, b)
	if got := b.Claims(now, backends); len(got) > 0 {
		t.Errorf("got claims %v before the store was read again", got)
	}
	w.watch(now, b)
	if got := b.Claims(now, backends); len(got) > 0 {
		t.Errorf("got claims %v right after an outage", got)
	}
	now = now.Add(time.Second)
	w.register(now, a)
	for range 30 {
		now = now.Add(time.Second)
		w.renew(now, a)
		w.renew(now, b)
		w.watch(now, b)
	}
	if got := b.Claims(now, backends); len(got) > 0 {
		t.Errorf("got claims %v of a host that registered again", got)
	}
}

// TestOwnerThatCameBackKeepsItsClaimsOff has a claim that was delayed arrive after its previous owner came back and went again.
func TestOwnerThatCameBackKeepsItsClaimsOff(t *testing.T) {
	w := newWorld()
	a, b := w.table(start, "a"), w.table(start, "b")
	w.claim(a, Claim{Backend: "i-1"})
	w.expire(start, true)
	w.register(start, b)
	w.watch(start, b)
	now := start.Add(Validity + successionMargin + assignedOnly)
	w.renew(now, b)
	w.watch(now, b)
	b.Claims(now, []Backend{{ID: "i-1", Zone: "z"}})
	now = now.Add(assignedOnly + 8*rankDelay)
	w.renew(now, b)
	w.watch(now, b)
	claims := b.Claims(now, []Backend{{ID: "i-1", Zone: "z"}})
	if len(claims) != 1 {
		t.Fatalf("got %d claims, want 1", len(claims))
	}
	w.register(now, a)
	w.expire(now, true)
	if a.MayOrder(now) && w.claim(b, claims[0]) {
		t.Error("got a claim accepted while the owner that came back may give orders")
	}
}

func TestClaimsSpread(t *testing.T) {
	w := newWorld()
	var tables []*Table
	for i := range 3 {
		tables = append(tables, w.table(start, fmt.Sprintf("host-%d", i)))
	}
	var backends []Backend
	for i := range 9 {
		backends = append(backends, Backend{ID: fmt.Sprintf("i-%d", i), Zone: "z"})
	}
	for _, table := range tables {
		w.watch(start, table)
		claims := table.Claims(start, backends)
		if len(claims) != 3 {
			t.Errorf("got %d claims of %s, want 3", len(claims), table.Self.Name)
		}
		for _, c := range claims {
			if !w.claim(table, c) {
				t.Errorf("got a conflict for %s", c.Backend)
			}
			table.Owners[c.Backend] = w.owners[c.Backend]
		}
	}
}

func TestLeftHostIsSucceededAfterTheTurn(t *testing.T) {
	w := newWorld()
	a, b := w.table(start, "a"), w.table(start, "b")
	w.claim(a, Claim{Backend: "i-1"})
	w.leave(a)
	w.watch(start, b)
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	claims := b.Claims(start, backends)
	if len(claims) != 1 {
		t.Fatalf("got %d claims, want 1", len(claims))
	}
	w.claim(b, claims[0])
	w.watch(start, b)
	if got := b.FirstOrderAt(start, "i-1").Sub(start); got < orderTurn {
		t.Errorf("got the first order after %v, want at least %v", got, orderTurn)
	}
	again := w.table(start, "b")
	if got := again.FirstOrderAt(start, "i-1").Sub(start); got < orderTurn {
		t.Errorf("got the first order of a restarted process after %v, want at least %v", got, orderTurn)
	}
}

// delayed is a claim on its way to the store.
type delayed struct {
	claim        Claim
	registration int64
}

// TestTurnsOfHolders walks through renewals, outages that end leases early, freezes, restarts, planned stops and claims,
// some of which take effect late, and checks what a backend server sees: numbers only rise, and two holders never give
// orders within the shortest turn.
func TestTurnsOfHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, now := newWorld(), start
		names := []string{"a", "b", "c"}
		tables := make(map[string]*Table)
		notBefore, late := make(map[string]time.Time), make(map[string][]delayed)
		owned := make(map[string]bool) // who knew at its last step that it is the owner
		for _, name := range names {
			tables[name] = w.table(now, name)
		}
		backends := []Backend{{ID: "i-1", Zone: "z"}}
		var lastHolder string
		var lastAt time.Time
		var lastTerm int64
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			w.expire(now, rapid.IntRange(0, 49).Draw(rt, "outage") == 0)
			name := rapid.SampledFrom(names).Draw(rt, "host")
			table := tables[name]
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1: // renew; register again when the lease has ended
				if !w.renew(now, table) && !table.Stopping {
					w.register(now, table)
				}
			case 2, 3:
				w.watch(now, table)
			case 4:
				w.relist(now, table)
			case 5: // restart
				tables[name] = w.table(now, name)
				table, late[name], owned[name] = tables[name], nil, false
			case 6, 7:
				for _, c := range table.Claims(now, backends) {
					if rapid.Bool().Draw(rt, "late") {
						late[name] = append(late[name], delayed{c, table.Revision})
					} else if w.claim(table, c) {
						w.watch(now, table)
					}
				}
			case 8: // a claim without an answer takes effect
				for _, d := range late[name] {
					w.claimAt(table, d.claim, d.registration)
				}
				late[name] = nil
			case 9: // a planned stop; the process starts again later
				w.leave(table)
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
				rt.Fatalf("got term %d of %s after %d of %s", term, name, lastTerm, lastHolder)
			}
			if lastHolder != "" && lastHolder != name && now.Sub(lastAt) < orderTurn {
				rt.Fatalf("got orders of %s and %s within %v", lastHolder, name, now.Sub(lastAt))
			}
			lastHolder, lastAt, lastTerm = name, now, term
		}
	})
}

// BenchmarkStep measures one look at the hosts and owners of a large fleet, which a host makes many times a second.
func BenchmarkStep(b *testing.B) {
	w := newWorld()
	table := w.table(start, "host-0")
	for i := range 420 {
		w.table(start, fmt.Sprintf("host-%d", i))
	}
	var backends []Backend
	for i := range 760 {
		id := fmt.Sprintf("i-%d", i)
		backends = append(backends, Backend{ID: id, Zone: "z"})
		w.owners[id] = Owner{Record: OwnerRecord{Host: "host-1"}, Revision: 1}
	}
	w.relist(start, table)
	for b.Loop() {
		table.Claims(start, backends)
	}
}
