package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"citronspread/attempt"
	"citronspread/model"
	"citronspread/routing"
)

// learnTime is how long what a host has served takes to reach the others of its zone: until the end of a call to the relay,
// a pause, and the next call of another host.
const learnTime = 2*watchWait + 2*followPause

// serve lets a host serve one request of a workspace.
func (h *fleetHost) serve(t *testing.T, workspace string, promptTokens int) {
	t.Helper()
	key := modelKey("llm", "m")
	now := h.Now()
	h.snapshot.Store(&model.Snapshot{Models: []*model.RoutedModel{{
		Declaration: model.ModelDeclaration{Key: key}, Replicas: []model.Replica{{Key: key, Backend: "b", Capacity: 100, UpdatedAt: now}},
	}}})
	grant, err := h.router.Acquire(t.Context(), routing.Request{
		Target: routing.Target{Key: key}, Workspace: workspace, PromptTokens: promptTokens, Deadline: now.Add(time.Minute),
		Fingerprint: model.Fingerprint(now.UnixNano()),
	})
	if err != nil {
		t.Fatal(err)
	}
	grant.Done(h.Now(), routing.OutcomeRejected)
}

// counters returns the lowest and the highest counter of a workspace at the hosts of a zone that are not excepted.
func (f *testFleet) counters(workspace, zone string, except func(h *fleetHost) bool) (lowest, highest float64) {
	lowest = math.Inf(1)
	for _, h := range f.hosts {
		if h.Zone == zone && !except(h) {
			counter := h.WorkspaceCounters()[workspace]
			lowest, highest = min(lowest, counter), max(highest, counter)
		}
	}
	return lowest, highest
}

// isAbout reports whether a counter is an amount that was served up to a number of seconds ago.
func isAbout(counter, amount float64, seconds float64) bool {
	return counter <= amount*1.01 && counter >= amount*math.Exp(-seconds/10)*0.9
}

// TestHostsLearnWhatTheZoneServes guards against hosts that decide by what they have served themselves, also while relays fail,
// and against counters that cross zones.
func TestHostsLearnWhatTheZoneServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 75
		f := startTestFleet(t, &testFleet{workspaces: map[int64][]model.Workspace{1: {{Name: "w"}}}}, hosts, 10*time.Second)
		served := 0.0
		zone := f.hosts["host-0"].Zone
		for _, h := range f.hosts {
			if h.Zone == zone {
				h.serve(t, "w", 100)
				served += 100
			}
		}
		time.Sleep(learnTime)
		if lowest, highest := f.counters("w", zone, everyHost); !isAbout(lowest, served, 4) || !isAbout(highest, served, 4) {
			t.Errorf("got counters from %.0f to %.0f at the hosts of the zone, want about %.0f", lowest, highest, served)
		}
		for name, h := range f.hosts {
			if h.Zone != zone && len(h.WorkspaceCounters()) > 0 {
				t.Fatalf("got counters at %s of another zone, want none", name)
			}
		}
		relay := f.relaysOf(1)[0]
		for _, h := range f.relaysOf(1) {
			if h.Zone == zone {
				relay = h
			}
		}
		relay.silent.Store(true)
		time.Sleep(30 * time.Second)
		isSilent := func(h *fleetHost) bool { return h == relay }
		f.hosts["host-0"].serve(t, "w", 5000)
		time.Sleep(2 * learnTime)
		if lowest, highest := f.counters("w", zone, isSilent); !isAbout(lowest, 5000, 8) || highest > 6000 {
			t.Errorf("got counters from %.0f to %.0f with a silent relay, want about 5000 aged by some seconds", lowest, highest)
		}
		relay.silent.Store(false)
		time.Sleep(30 * time.Second)
		f.hosts["host-0"].serve(t, "w", 5000)
		time.Sleep(2 * learnTime)
		if lowest, highest := f.counters("w", zone, everyHost); !isAbout(lowest, 5000, 8) || highest > 6000 {
			t.Errorf("got counters from %.0f to %.0f with the relay back, want about 5000 aged by some seconds", lowest, highest)
		}
	})
}

// TestCutHostCountsItsOwnService guards against a host without a relay that forgets its counters or waits for them.
func TestCutHostCountsItsOwnService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTestFleet(t, &testFleet{workspaces: map[int64][]model.Workspace{1: {{Name: "w"}}}}, fleetZones, 5*time.Second) // one host in each zone
		h := f.hosts["host-0"]
		h.serve(t, "w", 1000)
		time.Sleep(2 * time.Second)
		if got := h.WorkspaceCounters()["w"]; !isAbout(got, 1000, 2) {
			t.Errorf("got counter %.0f, want about 1000", got)
		}
	})
}

// TestNoCountersWithoutWorkspaces guards against messages and gauges that grow in deployments without workspaces.
func TestNoCountersWithoutWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 15, 5*time.Second)
		for _, h := range f.hosts {
			h.serve(t, "", 1000)
		}
		time.Sleep(learnTime)
		if got := f.servedCalls.Load(); got != 0 {
			t.Errorf("got %d calls with counters, want none", got)
		}
		if got := f.hosts["host-0"].WorkspaceCounters(); len(got) != 0 {
			t.Errorf("got counters %v, want none", got)
		}
	})
}

// TestRelayOfPreviousBuild guards against a host that fails, or counts wrongly, because its relay knows no counters.
func TestRelayOfPreviousBuild(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: BootTime}
	h.Prepare()
	h.routes.Store(newRouteTable(model.DesiredState{Version: 1, Workspaces: []model.Workspace{{Name: "w"}}}))
	for range 3 {
		report := h.reportServed("old")
		if report == nil || report.RelayRun != 0 {
			t.Fatalf("got report %+v, want a first one", report)
		}
		h.servedReported(report, nil)
	}
	if got := h.servedTotals(nil); got != nil {
		t.Errorf("got %+v for a follower of the previous build, want nothing", got)
	}
}

// TestLogOfTurns guards against grants and refusals of workspaces whose cause can't be found in the log, and against lines
// of requests without a workspace that name one.
func TestLogOfTurns(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	h := &Host{Name: "a", Zone: "z", Log: zap.New(core), Now: BootTime}
	h.Prepare()
	h.admission = context.Background()
	key := modelKey("llm", "m")
	h.snapshot.Store(&model.Snapshot{Models: []*model.RoutedModel{{
		Declaration: model.ModelDeclaration{Key: key}, Replicas: []model.Replica{{Key: key, Backend: "b", Capacity: 1, UpdatedAt: h.Now()}},
	}}})
	acquire := func(id, workspace string) (*Grant, error) {
		r := RoutedRequest{
			ID: id, Service: "llm", Model: "m", Workspace: workspace, Tokens: 700, MaxTokens: 200, ArrivedAt: h.Now(),
			Deadline: h.Now().Add(50 * time.Millisecond), Route: model.Route{Kind: model.RouteIdempotent}, Fingerprint: model.Fingerprint(len(id)),
		}
		return h.Dispatcher.Acquire(t.Context(), r, &attempt.Progress{})
	}
	if _, err := acquire("1", "w"); err != nil {
		t.Fatal(err)
	}
	var refused *routing.RefusedError
	if _, err := acquire("22", "v"); !errors.As(err, &refused) {
		t.Fatalf("got %v, want a refusal", err)
	}
	granted := lines.FilterMessage("granted").All()
	if len(granted) != 1 {
		t.Fatalf("got %d lines of grants, want 1", len(granted))
	}
	fields := granted[0].ContextMap()
	if fields["Workspace"] != "w" || fields["Counter"] != 0.0 {
		t.Errorf("got fields %v, want the workspace and its counter", fields)
	}
	refusals := lines.FilterMessage("turn refused").All()
	if len(refusals) != 1 {
		t.Fatalf("got %d lines of refusals, want 1", len(refusals))
	}
	if got := refusals[0].ContextMap(); got["Request"] != "22" || got["Workspace"] != "v" || got["LowestCounter"] != 0.0 || got["Ahead"] != int64(0) {
		t.Errorf("got fields %v, want the request, its workspace and what decided", got)
	}
	if got, want := h.WorkspaceCounters()["w"], 500.0; math.Abs(got-want) > 5 {
		t.Errorf("got counter %v, want the %v tokens of the prompt", got, want)
	}
	if got := fmt.Sprint(turnFields(nil)); got != fmt.Sprint(zap.Skip()) {
		t.Errorf("got field %s without a workspace, want none", got)
	}
}
