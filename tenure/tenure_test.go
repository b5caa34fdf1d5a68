package tenure

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const orderTurn = 3 * time.Second

var start = time.Unix(1_000_000, 0)

// world is a store with hosts and owners, and what each host has been told of it.
type world struct {
	revision int64
	hosts    map[string]Host
	owners   map[string]Owner
}

// table returns what a host that has just registered knows.
func (w *world) table(now time.Time, name string) *Table {
	t := NewTable(HostRecord{Name: name, Zone: "z"}, orderTurn)
	w.renew(now, t)
	w.observe(now, t)
	return t
}

func (w *world) renew(now time.Time, t *Table) {
	w.revision++
	w.hosts[t.Self.Name] = Host{Record: t.Self, Revision: w.revision}
	t.Renewed(now, w.revision)
}

func (w *world) observe(now time.Time, t *Table) {
	hosts := make(map[string]Host)
	for name, h := range w.hosts {
		hosts[name] = h
	}
	t.Observed(now, hosts)
	t.Owners = make(map[string]Owner)
	for id, o := range w.owners {
		t.Owners[id] = o
	}
}

func newWorld() *world { return &world{hosts: make(map[string]Host), owners: make(map[string]Owner)} }

// claim commits a claim when the store still is as the claim expects.
func (w *world) claim(t *Table, c Claim) bool {
	if w.owners[c.Backend].Revision != c.Revision || w.hosts[t.Self.Name].Revision != t.Revision {
		return false
	}
	if c.Previous != "" && w.hosts[c.Previous].Revision != c.PreviousRevision {
		return false
	}
	w.revision++
	o := Owner{Record: t.RecordOf(c), Revision: w.revision}
	w.owners[c.Backend] = o
	t.Owners[c.Backend] = o
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

func TestSilentHostIsDeposedAfterItsValidity(t *testing.T) {
	w := newWorld()
	a := w.table(start, "a")
	b := w.table(start, "b")
	now := start
	for now.Before(start.Add(Validity + deposeMargin)) {
		now = now.Add(time.Second)
		w.renew(now, b)
		w.observe(now, b)
		if got := b.Deposals(now); len(got) > 0 && a.MayOrder(now) {
			t.Fatalf("got %s deposed after %v while it may give orders", got[0].Record.Name, now.Sub(start))
		}
	}
	for range 8 {
		now = now.Add(rankDelay)
		w.observe(now, b)
	}
	if got := b.Deposals(now); len(got) != 1 || got[0].Record.Name != "a" {
		t.Errorf("got deposals %v, want a", got)
	}
}

// TestOutageDeposesNobody plays an outage of the store: the first host that comes back must not take all others for dead.
func TestOutageDeposesNobody(t *testing.T) {
	w := newWorld()
	w.table(start, "a")
	b := w.table(start, "b")
	now := start.Add(time.Minute)
	w.renew(now, b)
	if got := b.Deposals(now); len(got) > 0 {
		t.Errorf("got %v deposed before the store was read again", got)
	}
	w.observe(now, b)
	if got := b.Deposals(now); len(got) > 0 {
		t.Errorf("got %v deposed right after an outage", got)
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
		w.observe(start, table)
		claims := table.Claims(start, backends)
		if len(claims) != 3 {
			t.Errorf("got %d claims of %s, want 3", len(claims), table.Self.Name)
		}
		for _, c := range claims {
			if !w.claim(table, c) {
				t.Errorf("got a conflict for %s", c.Backend)
			}
		}
	}
}

func TestLeftHostIsSucceededAfterTheTurn(t *testing.T) {
	w := newWorld()
	a, b := w.table(start, "a"), w.table(start, "b")
	w.claim(a, Claim{Backend: "i-1"})
	a.Stopping, a.Self.Left = true, true
	w.renew(start, a)
	w.observe(start, b)
	backends := []Backend{{ID: "i-1", Zone: "z"}}
	claims := b.Claims(start, backends)
	if len(claims) != 1 {
		t.Fatalf("got %d claims, want 1", len(claims))
	}
	w.claim(b, claims[0])
	if got := b.FirstOrderAt(start, "i-1").Sub(start); got < orderTurn {
		t.Errorf("got the first order after %v, want at least %v", got, orderTurn)
	}
	again := w.table(start, "b")
	if got := again.FirstOrderAt(start, "i-1").Sub(start); got < orderTurn {
		t.Errorf("got the first order of a restarted process after %v, want at least %v", got, orderTurn)
	}
}

// TestTurnsOfHolders walks through renewals, outages, freezes, restarts and claims, and checks what a backend server sees:
// numbers only rise, and two holders never give orders within the shortest turn.
func TestTurnsOfHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, now := newWorld(), start
		names := []string{"a", "b", "c"}
		tables := make(map[string]*Table)
		notBefore := make(map[string]time.Time)
		for _, name := range names {
			tables[name] = w.table(now, name)
		}
		backends := []Backend{{ID: "i-1", Zone: "z"}}
		var lastHolder string
		var lastAt time.Time
		var lastTerm int64
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(rt, "host")
			table := tables[name]
			switch rapid.IntRange(0, 8).Draw(rt, "event") {
			case 0, 1: // renew; refused when another host has written the record
				if w.hosts[name].Revision == table.Revision {
					w.renew(now, table)
				} else {
					table.Lost()
				}
			case 2, 3:
				w.observe(now, table)
			case 4: // restart or register again: the own record first, then all owners
				tables[name] = w.table(now, name)
				table = tables[name]
				notBefore[name] = table.FirstOrderAt(now, "i-1")
			case 5:
				for _, h := range table.Deposals(now) {
					if w.hosts[h.Record.Name].Revision == h.Revision && w.hosts[name].Revision == table.Revision {
						h.Record.Deposed = true
						w.revision++
						w.hosts[h.Record.Name] = Host{Record: h.Record, Revision: w.revision}
					}
				}
			case 8: // a planned stop; the process starts again later
				if w.hosts[name].Revision == table.Revision {
					table.Stopping, table.Self.Left = true, true
					w.renew(now, table)
				}
			case 6:
				for _, c := range table.Claims(now, backends) {
					if w.claim(table, c) {
						notBefore[name] = table.FirstOrderAt(now, "i-1")
					}
				}
			}
			term, owns := table.Owns("i-1")
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
	w.observe(start, table)
	for b.Loop() {
		table.Deposals(start)
		table.Claims(start, backends)
	}
}
