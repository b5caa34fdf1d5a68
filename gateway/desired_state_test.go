package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronspread/peer"
	"citronspread/store"
)

func (p fleetPeers) DesiredState(ctx context.Context, address string, request *peer.DesiredStateRequest) (*peer.DesiredStateReply, error) {
	sleep(ctx, time.Millisecond)
	to := p.fleet.host(address)
	if to.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&platformHandler{host: to.Host}).DesiredState(ctx, request)
}

// currentRevision returns the latest revision within the era of the store.
func (s *fleetStore) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.WithinEra(s.revision)
}

// awaitVersion waits until a host that has just started answers requests by a desired state, and returns after how long. It
// fails if the host ever does so by an earlier version than the wanted one.
func (h *fleetHost) awaitVersion(t *testing.T, want int64) time.Duration {
	t.Helper()
	startedAt := time.Now()
	for time.Since(startedAt) < 5*time.Second {
		if a := h.Dispatcher.Admit("h.example", "/x/", "q", ""); a.Known {
			if a.Version < want {
				t.Fatalf("got a request answered by version %d after %v, want none before version %d", a.Version, time.Since(startedAt), want)
			}
			return time.Since(startedAt)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("got no desired state after %v, want version %d", time.Since(startedAt), want)
	return 0
}

// TestStartAfterRestoredStore guards against a host that starts after the store was restored from an older copy and decides
// by that copy, although a later desired state is in force at the other hosts: it would accept keys that were removed.
func TestStartAfterRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 30, 10*time.Second)
		copied := f.store.currentRevision()
		if _, missing := f.applied(2, 4*time.Second, everyHost); len(missing) > 0 {
			t.Fatalf("got no version 2 at %v", missing)
		}
		f.store.restore(copied)
		t.Logf("immediately: known after %v", f.start(100).awaitVersion(t, 2))
		time.Sleep(5 * time.Second)
		t.Logf("later: known after %v", f.start(101).awaitVersion(t, 2))

		// Hosts that do not reply must not keep a host from serving by what it has.
		for _, h := range f.hosts {
			h.silent.Store(true)
		}
		if took := f.start(102).awaitVersion(t, 1); took > time.Second {
			t.Errorf("got a desired state after %v without a reply, want it within a second", took)
		}
	})
}

// TestStartWithInvalidDesiredState guards against a host that starts while the store's latest desired state is invalid and
// has none until that is corrected, although the last valid one is in force at the other hosts.
func TestStartWithInvalidDesiredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 12, 10*time.Second)
		f.store.put("config", "2")
		time.Sleep(3 * time.Second)
		f.store.put("config", "invalid")
		time.Sleep(3 * time.Second)
		for _, h := range f.hosts {
			h.silent.Store(true)
		}
		h := f.start(100)
		time.Sleep(5 * time.Second)
		for _, other := range f.hosts {
			other.silent.Store(false)
		}
		t.Logf("known %v after hosts reply again", h.awaitVersion(t, 2))
		if _, missing := f.applied(3, 4*time.Second, everyHost); len(missing) > 0 {
			t.Errorf("got no version 3 at %v, want it everywhere after the invalid one", missing)
		}
	})
}

// TestDesiredStateReplacedByInvalidOne guards against a valid desired state that is in force at some hosts only, because the others
// got it together with an invalid one that replaced it.
func TestDesiredStateReplacedByInvalidOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 12, 10*time.Second)
		late := f.hosts["host-1"]
		late.storeCut.Store(true)
		late.frozen.Store(true)
		f.store.put("config", "2")
		time.Sleep(3 * time.Second)
		f.store.put("config", "invalid")
		late.storeCut.Store(false)
		late.frozen.Store(false)
		time.Sleep(6 * time.Second)
		for name, h := range f.hosts {
			if got := h.version(); got != 2 {
				t.Errorf("got version %d at %s, want 2", got, name)
			}
		}
	})
}

// TestStartWithOldContentAnswersNothing guards against requests that are decided by a desired state that was replaced before the
// host started, since its first read of the store is some seconds old: it would accept removed keys.
func TestStartWithOldContentAnswersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 30, 10*time.Second)
		f.store.put("config", "2")
		f.store.setLag(5)
		for i := range 4 {
			f.store.put(fmt.Sprintf("other/%d", i), "y")
		}
		t.Logf("known after %v", f.start(100).awaitVersion(t, 2))
	})
}

// TestDesiredStateIsSentIfLater guards against replies that repeat a large desired state to hosts that have it.
func TestDesiredStateIsSentIfLater(t *testing.T) {
	h := &Host{}
	handler := &platformHandler{host: h}
	get := func(after int64) []store.Entry {
		t.Helper()
		reply, err := handler.DesiredState(t.Context(), &peer.DesiredStateRequest{After: after})
		if err != nil {
			t.Fatal(err)
		}
		entries, err := unpack(reply.Packed)
		if err != nil {
			t.Fatal(err)
		}
		return entries
	}
	if got := get(0); len(got) > 0 {
		t.Errorf("got %v from a host without a desired state, want nothing", got)
	}
	entry := store.Entry{Key: "config", Value: []byte("7"), Revision: 9}
	h.desired.Store(newDesiredState(7, entry))
	for after, want := range map[int64]bool{0: true, 6: true, 7: false, 8: false} {
		got := get(after)
		if (len(got) == 1) != want || want && (got[0].Key != entry.Key || !slices.Equal(got[0].Value, entry.Value)) {
			t.Errorf("after version %d: got %v, want the entry %v", after, got, want)
		}
	}
}
