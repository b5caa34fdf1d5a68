package gateway

import (
	"context"
	"fmt"
	"net"
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
		h.table.LivenessWritten(name, revision)
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

// TestRelayThatIsNotFreshIsAskedAgainSoon has a relay answer that the store has not answered it lately. That costs no
// timeout, so that the relay is followed again after one look at the store.
func TestRelayThatIsNotFreshIsAskedAgainSoon(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &Host{Name: "relay", Zone: "z", Log: zap.NewNop(), Now: Boottime}
	relay.Prepare()
	server := &peer.Server{Handler: &fleetHandler{host: relay}, Listener: listener, Traffic: &peer.Traffic{}}
	go func() { _ = server.Run(t.Context()) }() // it ends with the test
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: Boottime}
	h.Prepare()
	if h.peers, err = peer.NewClient(&peer.Traffic{}); err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	h.relay.Store(&address)
	if change, followed := h.follow(t.Context(), 5); followed {
		t.Fatalf("got %+v of a relay that is not fresh, want the store asked", change)
	}
	now := h.Now()
	(<-h.events)(now)
	if got := h.directUntil.Sub(now); got <= 0 || got > watchWait {
		t.Errorf("got the store asked for %v, want once", got)
	}
}

// TestPermitsAreKnownFromTheWatch holds that a host sees which permits are free without asking the store.
func TestPermitsAreKnownFromTheWatch(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: Boottime}
	h.Prepare()
	now := h.Now()
	steps := []struct {
		name  string
		take  func()
		free  string
		found bool
	}{
		{"nothing is known", func() {}, "0", true},
		{"a list with one", func() {
			h.storeRead(now, store.Listing{Revision: 5, Entries: []store.Entry{{Key: permitPrefix + "0", Revision: 4}}})
		}, "1", true},
		{"another is taken", func() { h.storeChanged(now, change(6, permitPrefix+"1")) }, "", false},
		{"the first is free again", func() { h.storeChanged(now, store.Change{Revision: 7, Deleted: []string{permitPrefix + "0"}}) }, "0", true},
		{"a list without any", func() { h.storeRead(now, store.Listing{Revision: 8}) }, "0", true},
	}
	for _, step := range steps {
		step.take()
		if got, found := h.permits.free(2); found != step.found || found && got != permitPrefix+step.free {
			t.Errorf("%s: got %q, %v, want %q, %v", step.name, got, found, step.free, step.found)
		}
	}
}
