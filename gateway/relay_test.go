package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/peer"
	"citronspread/store"
)

func change(revision int64, key string) store.Change {
	return store.Change{Revision: revision, Entries: []store.Entry{{Key: key, Revision: revision}}}
}

func TestHistory(t *testing.T) {
	h := newHistory()
	if reply, _ := h.after(start, 5); reply.Fresh {
		t.Error("got a fresh history, want it not fresh before the store was read")
	}
	h.reset(start, 10)
	for revision := int64(11); revision <= 13; revision++ {
		h.add(start, change(revision, fmt.Sprint("k", revision)), true)
	}
	tests := []struct {
		after   int64
		entries int
		lost    bool
	}{{after: 10, entries: 3}, {after: 12, entries: 1}, {after: 13}, {after: 20}, {after: 9, entries: 3, lost: true}}
	for _, tt := range tests {
		reply, _ := h.after(start, tt.after)
		if !reply.Fresh || reply.Lost != tt.lost || len(reply.Change.Entries) != tt.entries || reply.Change.Revision < tt.after {
			t.Errorf("after %d: got %+v, want %d entries, lost %v", tt.after, reply, tt.entries, tt.lost)
		}
	}
	if reply, _ := h.after(start.Add(maxRelayAge+time.Millisecond), 13); reply.Fresh {
		t.Error("got a fresh history, want it not fresh long after the store's last response")
	}
}

// TestHistoryJoinsChangesInOrder guards against a wrong order of joined changes: one key is written and then deleted,
// another is deleted and then written.
func TestHistoryJoinsChangesInOrder(t *testing.T) {
	h := newHistory()
	h.reset(start, 10)
	h.add(start, store.Change{Revision: 11, Entries: []store.Entry{{Key: "gone", Revision: 11}}, Deleted: []string{"back"}}, true)
	h.add(start, store.Change{Revision: 12, Entries: []store.Entry{{Key: "back", Revision: 12}}, Deleted: []string{"gone"}}, true)
	reply, _ := h.after(start, 10)
	if len(reply.Change.Entries) != 1 || reply.Change.Entries[0].Key != "back" {
		t.Errorf("got entries %+v, want only back", reply.Change.Entries)
	}
	if len(reply.Change.Deleted) != 1 || reply.Change.Deleted[0] != "gone" {
		t.Errorf("got %v deleted, want only gone", reply.Change.Deleted)
	}
}

// TestFollowedHistoryIsNotFresh guards against chains of relays: a change that arrived through a relay must not make
// the history of its follower fresh.
func TestFollowedHistoryIsNotFresh(t *testing.T) {
	h := newHistory()
	h.reset(start, 10)
	late := start.Add(time.Minute)
	h.add(late, change(11, "k"), false)
	if reply, _ := h.after(late, 10); reply.Fresh {
		t.Error("got a fresh history, want it not fresh if a relay delivered the change")
	}
}

func TestHistoryIsBounded(t *testing.T) {
	h := newHistory()
	h.reset(start, 1)
	for revision := int64(2); revision < 3*maxChanges; revision++ {
		h.add(start, change(revision, "k"), true)
	}
	if reply, _ := h.after(start, 1); !reply.Lost {
		t.Error("got a complete history, want its beginning lost")
	}
	if len(h.changes) > maxChanges {
		t.Errorf("got %d changes, want at most %d", len(h.changes), maxChanges)
	}
}

func TestFollowersReceiveChangesImmediately(t *testing.T) {
	h := &Host{history: newHistory(), Now: time.Now}
	h.history.reset(time.Now(), 10)
	time.AfterFunc(20*time.Millisecond, func() { h.history.add(time.Now(), change(11, "k"), true) })
	startedAt := time.Now()
	reply := h.serveFollow(context.Background(), &peer.FollowRequest{After: 10, Wait: 5 * time.Second})
	if len(reply.Change.Entries) != 1 || time.Since(startedAt) > time.Second {
		t.Errorf("got %+v after %v, want the change within 1 s", reply, time.Since(startedAt))
	}
}

// TestPermitsFollowTheWatch guards against a wrong view of the free permits, which a host derives from the watch
// without further calls to the store.
func TestPermitsFollowTheWatch(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: BootTime}
	h.Prepare()
	now := h.Now()
	steps := []struct {
		name  string
		apply func()
		free  string // numbers of all free permits
	}{
		{"no update", func() {}, "01"},
		{"one permit listed as taken", func() {
			h.applyStoreContent(now, store.Listing{Revision: 5, Entries: []store.Entry{{Key: permitPrefix + "0", Revision: 4}}})
		}, "1"},
		{"another permit is taken", func() { h.applyStoreChange(now, change(6, permitPrefix+"1")) }, ""},
		{"the first permit is released", func() { h.applyStoreChange(now, store.Change{Revision: 7, Deleted: []string{permitPrefix + "0"}}) }, "0"},
		{"no permit listed as taken", func() { h.applyStoreContent(now, store.Listing{Revision: 8}) }, "01"},
	}
	for _, step := range steps {
		step.apply()
		free := make(map[string]bool)
		for range 100 { // the choice among the free ones is random
			if key, found := h.permits.free(start, 2); found {
				free[strings.TrimPrefix(key, permitPrefix)] = true
			}
		}
		if got := strings.Join(slices.Sorted(maps.Keys(free)), ""); got != step.free {
			t.Errorf("%s: got free permits %q, want %q", step.name, got, step.free)
		}
	}
}

// TestHistoryOfAnotherEra guards against changes that are skipped because relay and follower stand in different eras of the
// store, whose revisions were given out twice.
func TestHistoryOfAnotherEra(t *testing.T) {
	tests := []struct {
		name          string
		relay, after  int64 // era
		fresh, isLost bool
	}{
		{"the same era", 1, 1, true, false},
		{"the follower is in an earlier era", 2, 1, true, true},
		{"the relay is in an earlier era", 0, 1, false, false},
	}
	for _, tt := range tests {
		h := newHistory()
		h.reset(start, store.RevisionInEra(tt.relay, 10))
		h.add(start, change(store.RevisionInEra(tt.relay, 12), "k"), true)
		reply, _ := h.after(start, store.RevisionInEra(tt.after, 12))
		if reply.Fresh != tt.fresh || reply.Fresh && reply.Lost != tt.isLost {
			t.Errorf("%s: got fresh %v, lost %v, want %v, %v", tt.name, reply.Fresh, reply.Lost, tt.fresh, tt.isLost)
		}
	}
}

// TestPackedEntryOfReusedRevision guards against an old value for followers after the store gave out its revision again.
func TestPackedEntryOfReusedRevision(t *testing.T) {
	var p packer
	for era, value := range []string{"first", "second"} {
		want := strings.Repeat(value, packedFrom)
		c := store.Change{Entries: []store.Entry{{Key: "config", Revision: store.RevisionInEra(int64(era), 98), Value: []byte(want)}}}
		entries, err := unpack(p.pack(&c))
		if err != nil || len(entries) != 1 || string(entries[0].Value) != want {
			t.Errorf("got %d entries and %v in era %d, want one with the value of that era", len(entries), err, era)
		}
	}
}

// TestPermitsOfRestoredStoreStayTaken guards against more loads from the weight store than its limit after permits that
// were in use are lost.
func TestPermitsOfRestoredStoreStayTaken(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: BootTime, WeightLoadWindow: 5 * time.Second}
	h.Prepare()
	now := h.Now()
	h.applyStoreContent(now, store.Listing{Revision: 5, Entries: []store.Entry{{Key: permitPrefix + "0", Revision: 4}}})
	h.applyStoreContent(now, store.Listing{Revision: store.RevisionInEra(1, 3)})
	if _, found := h.permits.free(now.Add(h.WeightLoadWindow), 1); found {
		t.Error("got a permit that is still in use, want none")
	}
	if _, found := h.permits.free(now.Add(h.permitTTL()), 1); !found {
		t.Error("got no permit after the window, want one")
	}
}
