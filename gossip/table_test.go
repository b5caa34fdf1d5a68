package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// exchange compares two tables as two hosts do. Lost messages end it early.
func exchange(now time.Time, caller, answerer *Table, lost int) {
	digest := caller.Digest()
	if lost == 1 {
		return
	}
	summaries := answerer.Summaries(digest)
	if lost == 2 {
		return
	}
	send, want := caller.Reconcile(answerer.Digest(), summaries)
	if lost == 3 {
		return
	}
	answerer.Merge(now, send)
	if lost == 4 {
		return
	}
	caller.Merge(now, answerer.Select(want))
}

// TestTablesConverge writes items on random hosts, with lost and cut-off exchanges, and holds that no host
// ever goes back to a lower rank and that all hosts agree once the exchanges get through.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 5).Draw(t, "hosts"))
		for i := range tables {
			tables[i] = NewTable()
		}
		highest := make(map[ItemID]Rank)
		seen := make([]map[ItemID]Rank, len(tables))
		for i := range seen {
			seen[i] = make(map[ItemID]Rank)
		}
		check := func() {
			for i, table := range tables {
				for id, item := range table.items {
					if got, floor := item.Rank, seen[i][id]; got.Compare(floor) < 0 {
						t.Fatalf("host %d went back: got %v, want at least %v", i, got, floor)
					}
					seen[i][id] = item.Rank
				}
			}
		}
		host := rapid.IntRange(0, len(tables)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				id := ItemID{Kind: KindConfig, Key: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
				rank := Rank{Major: rapid.Int64Range(1, 20).Draw(t, "major"), Tie: rapid.StringN(1, 1, 1).Draw(t, "tie")}
				tables[host.Draw(t, "host")].Merge(start, []Item{{ID: id, Rank: rank}})
				if rank.Compare(highest[id]) > 0 {
					highest[id] = rank
				}
			},
			"exchange": func(t *rapid.T) {
				a, b := host.Draw(t, "caller"), host.Draw(t, "answerer")
				exchange(start, tables[a], tables[b], rapid.IntRange(0, 4).Draw(t, "lost"))
			},
			"": func(*rapid.T) { check() },
		})
		for round := 0; round < 2; round++ {
			for i := range tables {
				exchange(start, tables[i], tables[(i+1)%len(tables)], 0)
			}
		}
		for i, table := range tables {
			for id, want := range highest {
				item, _ := table.Get(id)
				if got := item.Rank; got != want {
					t.Fatalf("host %d, item %v: got %v, want %v", i, id, got, want)
				}
			}
		}
	})
}

func TestTableExpires(t *testing.T) {
	table := NewTable()
	id := ItemID{Kind: KindSuspect, Key: "a"}
	item := Item{ID: id, Rank: Rank{Major: 1}, ExpiresAt: start.Add(time.Second)}
	table.Merge(start, []Item{item})
	before := table.Digest()
	table.Expire(start.Add(time.Second))
	if _, got := table.Get(id); got {
		t.Error("expired item: got one, want none")
	}
	if got, want := len(table.Merge(start.Add(time.Second), []Item{item})), 0; got != want {
		t.Errorf("merged after expiry: got %d, want %d", got, want)
	}
	if got, want := table.Digest(), NewTable().Digest(); got != want || got == before {
		t.Error("digest does not follow the expiry")
	}
}
