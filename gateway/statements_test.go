package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
)

// knowingLeaving returns how many hosts know that an incarnation of the backend server is leaving.
func (f *testFleet) knowingLeaving(backend string, born int64) (known int) {
	for _, h := range f.hosts {
		if h.router.IsLeaving(h.Now(), backend, born) {
			known++
		}
	}
	return known
}

// TestFleetLearnsOfLeavingBackends guards against a fleet of 300 hosts each of which must get a response before it learns that a
// backend server is leaving, and against a call to every host or to the store for each statement. Several hosts get the statement
// of a backend server at once.
func TestFleetLearnsOfLeavingBackends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const statements, witnesses, born = 60, 3, 7
		f := newTestFleet(t, fleetHosts, 10*time.Second)
		f.store.takeCalls()
		for i := range statements {
			for w := range witnesses {
				h := f.hosts[fmt.Sprintf("host-%d", (i*witnesses+w)%fleetHosts)]
				h.Dispatcher.RecordLeaving(h.Now(), model.BackendIncarnation{ID: fmt.Sprintf("i-%d", i), Born: born}, "")
			}
			time.Sleep(time.Second / statements)
		}
		time.Sleep(suspectClaimPropagationDelay)
		for i := range statements {
			if got := f.knowingLeaving(fmt.Sprintf("i-%d", i), born); got < fleetHosts {
				t.Fatalf("got %d hosts that know that backend server %d is leaving, want %d", got, i, fleetHosts)
			}
		}
		if got := f.knowingLeaving("i-0", born+1); got > 0 {
			t.Errorf("got %d hosts that apply it to another incarnation, want 0", got)
		}
		if got, limit := f.limitCalls.allowances.Load()+f.limitCalls.limits.Load(), int64(statements*(witnesses+fleetZones*maxRelayCandidates)); got > limit {
			t.Errorf("got %d calls for %d statements, want at most %d", got, statements, limit)
		} else {
			t.Logf("%d calls for %d statements at %d hosts", got, statements, fleetHosts)
		}
		// A watch of each relay ends each second without a change.
		if calls, _ := f.store.takeCalls(); calls["transaction"]+calls["lease"]+calls["range"] > 0 {
			t.Errorf("got calls %v to the store, want none but watches and renewals", calls)
		}
		started := f.start(fleetHosts)
		time.Sleep(3 * time.Second)
		if !started.router.IsLeaving(started.Now(), "i-0", born) {
			t.Error("got a started host that doesn't know that a backend server is leaving after 3 s, want it to know")
		}
	})
}

// TestLeavingChangesTheView guards against a host that places models on a backend server which has stated that it is leaving, and
// against an entry of the platform's list that reverts the statement.
func TestLeavingChangesTheView(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: BootTime}
	h.Prepare()
	spec := &model.EngineSpec{Models: map[string]model.ModelSpec{"a": {Name: "a"}}}
	h.routes.Store(newRouteTable(model.DesiredState{Version: 1, Services: map[string]model.ServiceSpec{"llm": {Name: "llm", Engine: spec}}}))
	usable := func(now time.Time) (backends int) {
		h.applyDepartures(now)
		h.publish(now)
		if owned := len(h.backendsToOwn()); owned != len(h.view.backendsWith(now, "llm", "a")) {
			t.Errorf("got %d backend servers to own, want the %d that are usable", owned, len(h.view.backendsWith(now, "llm", "a")))
		}
		for _, r := range h.snapshot.Load().Models[0].Replicas {
			if !r.Draining {
				backends++
			}
		}
		return backends
	}
	now := h.Now()
	h.view.applyListing(now, testListing(1, "a"))
	h.viewChanged = true
	if got := usable(now); got != 1 {
		t.Fatalf("got %d usable backend servers before the statement, want 1", got)
	}
	h.router.RecordLeaving(now, "i-1", 5)
	if got := usable(now); got != 0 {
		t.Errorf("got %d usable backend servers after the statement, want 0", got)
	}
	h.view.applyListing(now, testListing(2, "a"))
	if got := usable(now); got != 0 {
		t.Errorf("got %d usable backend servers after a later entry without the state, want 0", got)
	}
	h.view.remove(now, "i-1")
	h.forgetBackend(now, "i-1")
	h.view.applyListing(now, testListing(1, "a"))
	if got := usable(now); got != 0 {
		t.Errorf("got %d usable backend servers after a restored store lists it again, want 0", got)
	}
	restarted := testListing(0, "a")
	restarted.Life.Born = 6
	h.view.applyListing(now, restarted)
	if got := usable(now); got != 1 {
		t.Errorf("got %d usable backend servers after the restart, want 1", got)
	}
}
