package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// exchange runs one exchange between two hosts. lostMessage is the number of the message that is lost, which ends the
// exchange; 0 for none.
func exchange(now time.Time, caller, responder *Table, lostMessage int) {
	digest := caller.Digest()
	if lostMessage == 1 {
		return
	}
	summaries := responder.Summaries(digest)
	if lostMessage == 2 {
		return
	}
	send, request := caller.Reconcile(responder.Digest(), summaries)
	if lostMessage == 3 {
		return
	}
	responder.Merge(now, send)
	if lostMessage == 4 {
		return
	}
	caller.Merge(now, responder.Select(request))
}

// TestTablesConverge writes items on random hosts and interrupts exchanges. It checks that no host ever replaces an
// item by one of lower rank and that all hosts agree once exchanges complete.
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
						t.Fatalf("host %d replaced an item by one of lower rank: got %v, want at least %v", i, got, floor)
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
				a, b := host.Draw(t, "caller"), host.Draw(t, "responder")
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
		t.Error("digest after expiry: got an unchanged or non-empty one, want the digest of an empty table")
	}
}
