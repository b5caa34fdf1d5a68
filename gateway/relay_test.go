package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/peer"
	"citronspread/store"
	"citronspread/tenure"
)

func change(revision int64, key string) store.Change {
	return store.Change{Revision: revision, Entries: []store.Entry{{Key: key, Revision: revision}}}
}

func TestHistory(t *testing.T) {
	k := newHistory()
	if reply, _ := k.after(start, 5); reply.Fresh {
		t.Error("got a fresh history before the store was read")
	}
	k.reset(start, 10)
	for revision := int64(11); revision <= 13; revision++ {
		k.add(start, change(revision, fmt.Sprint("k", revision)), true)
	}
	tests := []struct {
		after   int64
		entries int
		lost    bool
	}{{after: 10, entries: 3}, {after: 12, entries: 1}, {after: 13}, {after: 20}, {after: 9, entries: 3, lost: true}}
	for _, tt := range tests {
		reply, _ := k.after(start, tt.after)
		if !reply.Fresh || reply.Lost != tt.lost || len(reply.Change.Entries) != tt.entries || reply.Change.Revision < tt.after {
			t.Errorf("after %d got %+v, want %d entries, lost %v", tt.after, reply, tt.entries, tt.lost)
		}
	}
	if reply, _ := k.after(start.Add(relayFresh+time.Millisecond), 13); reply.Fresh {
		t.Error("got a fresh history long after the store's last answer")
	}
}

// TestHistoryJoinsChangesInOrder has a key removed and written again, and another the other way round.
func TestHistoryJoinsChangesInOrder(t *testing.T) {
	k := newHistory()
	k.reset(start, 10)
	k.add(start, store.Change{Revision: 11, Entries: []store.Entry{{Key: "gone", Revision: 11}}, Deleted: []string{"back"}}, true)
	k.add(start, store.Change{Revision: 12, Entries: []store.Entry{{Key: "back", Revision: 12}}, Deleted: []string{"gone"}}, true)
	reply, _ := k.after(start, 10)
	if len(reply.Change.Entries) != 1 || reply.Change.Entries[0].Key != "back" {
		t.Errorf("got entries %+v, want back alone", reply.Change.Entries)
	}
	if len(reply.Change.Deleted) != 1 || reply.Change.Deleted[0] != "gone" {
		t.Errorf("got %v deleted, want gone alone", reply.Change.Deleted)
	}
}

// TestFollowedHistoryIsNotFresh holds that a host which itself follows another one is no relay.
func TestFollowedHistoryIsNotFresh(t *testing.T) {
	k := newHistory()
	k.reset(start, 10)
	late := start.Add(time.Minute)
	k.add(late, change(11, "k"), false)
	if reply, _ := k.after(late, 10); reply.Fresh {
		t.Error("got a fresh history that another host has passed on")
	}
}

func TestHistoryIsBounded(t *testing.T) {
	k := newHistory()
	k.reset(start, 1)
	for revision := int64(2); revision < 3*maxChanges; revision++ {
		k.add(start, change(revision, "k"), true)
	}
	if reply, _ := k.after(start, 1); !reply.Lost {
		t.Error("got a whole history, want its beginning lost")
	}
	if len(k.changes) > maxChanges {
		t.Errorf("got %d changes, want at most %d", len(k.changes), maxChanges)
	}
}

func TestFollowersHearAtOnce(t *testing.T) {
	h := &Host{history: newHistory(), Now: time.Now}
	h.history.reset(time.Now(), 10)
	time.AfterFunc(20*time.Millisecond, func() { h.history.add(time.Now(), change(11, "k"), true) })
	begun := time.Now()
	reply := h.serveFollow(context.Background(), &peer.FollowRequest{After: 10, Wait: 5 * time.Second})
	if len(reply.Change.Entries) != 1 || time.Since(begun) > time.Second {
		t.Errorf("got %+v after %v, want the change at once", reply, time.Since(begun))
	}
}

// TestFailedRelayIsNotReplacedAtOnce holds that the store is asked for a while when a relay fails: the next one may
// have failed with it, and each costs a timeout in which a desired state waits.
func TestFailedRelayIsNotReplacedAtOnce(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: Boottime}
	h.Prepare()
	now := h.Now()
	for i := range 8 {
		name, revision := fmt.Sprintf("host-%d", i), int64(i+1)
		h.table.HostWritten(now, tenure.HostRecord{Name: name, Zone: "z", PeerAddress: name}, revision)
		h.table.LifeWritten(name, revision)
	}
	h.chooseRelay(now)
	if *h.relay.Load() == "" {
		t.Fatal("got no relay")
	}
	h.directUntil = now.Add(directFor)
	h.chooseRelay(now.Add(directFor - time.Millisecond))
	if got := *h.relay.Load(); got != "" {
		t.Errorf("got relay %s right after one failed, want the store", got)
	}
	h.chooseRelay(now.Add(directFor))
	if *h.relay.Load() == "" {
		t.Error("got no relay after a while")
	}
}
