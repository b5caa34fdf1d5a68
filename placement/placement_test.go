package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/model"
)

var (
	start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	key   = model.ModelKey{Model: "guide", Version: "1"}
	other = model.ModelKey{Model: "scribe", Version: "1"}
)

func newStatus(name string, free int64, replicas ...model.ReplicaStatus) model.BackendStatus {
	return model.BackendStatus{
		Backend: name, Zone: "muenchen", Service: "assist-llm", OwnerAddress: "owner", Term: 1,
		MemoryBytes: 100, FreeBytes: free, Capacity: 4, Replicas: replicas,
	}
}

func newView(replicas int, backends ...model.BackendStatus) View {
	return View{
		Zone: "muenchen", Service: "assist-llm", Backends: backends,
		Declaration: model.ModelDeclaration{Key: key, Bytes: 40, Replicas: replicas},
	}
}

func TestChoose(t *testing.T) {
	loaded := model.ReplicaStatus{Key: key, State: model.ReservationLoaded}
	loading := model.ReplicaStatus{Key: key, State: model.ReservationLoading}
	idle := model.ReplicaStatus{Key: other, State: model.ReservationLoaded, IdleSince: start}
	busy := model.ReplicaStatus{Key: other, State: model.ReservationLoaded}
	cached := newStatus("cached", 50)
	cached.Checkpoints = []model.Checkpoint{{Key: key, Tier: model.TierDisk}}
	full := newStatus("full", 0, idle)
	full.Checkpoints = cached.Checkpoints
	standing := newStatus("standing", 0)
	standing.Standing = []model.ModelKey{key}
	drainingLoaded := loaded
	drainingLoaded.Draining = true
	draining := idle
	draining.Draining = true
	refused := newStatus("refused", 50)
	refused.Refused = []model.RefusedLoad{{Key: key, Until: start.Add(time.Second)}}
	elsewhere := newStatus("elsewhere", 50)
	elsewhere.Zone = "augsburg"
	tests := []struct {
		name    string
		waiting int
		view    View
		outcome Outcome
		backend string
	}{
		{"idle model", 1, newView(1, newStatus("a", 50)), OutcomeLoad, "a"},
		{"cached checkpoint first", 1, newView(1, newStatus("a", 90), cached), OutcomeLoad, "cached"},
		{"standing reservation first", 1, newView(1, newStatus("a", 90), standing), OutcomeLoad, "standing"},
		{"draining replica instead of a new load", 1, newView(1, newStatus("a", 10, drainingLoaded)), OutcomeLoad, "a"},
		{"free memory before eviction where the checkpoint is cached", 1, newView(1, full, newStatus("b", 50)), OutcomeLoad, "b"},
		{"draining replica frees no memory for another load", 1, newView(1, newStatus("a", 0, draining)), OutcomeNoCapacity, ""},
		{"free memory before eviction", 1, newView(1, newStatus("a", 0, idle), newStatus("b", 50)), OutcomeLoad, "b"},
		{"eviction of an idle replica", 1, newView(1, newStatus("a", 0, idle)), OutcomeLoad, "a"},
		{"no eviction of a busy replica", 1, newView(1, newStatus("a", 0, busy)), OutcomeNoCapacity, ""},
		{"refused recently", 1, newView(1, refused), OutcomeNoCapacity, ""},
		{"no load in another zone", 1, newView(1, elsewhere), OutcomeNoCapacity, ""},
		{"load in progress", 9, newView(3, newStatus("a", 10, loading), newStatus("b", 50)), OutcomeInProgress, ""},
		{"served", 0, newView(2, newStatus("a", 10, loaded), newStatus("b", 50)), OutcomeServed, ""},
		{"demand exceeds capacity", 5, newView(2, newStatus("a", 10, loaded), newStatus("b", 50)), OutcomeLoad, "b"},
		{"declared replicas loaded", 5, newView(1, newStatus("a", 10, loaded), newStatus("b", 50)), OutcomeLimit, ""},
		{"retired", 1, newView(0, newStatus("a", 50)), OutcomeLimit, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			choice, outcome := NewLeader().Choose(start, model.LoadDemand{Key: key, Waiting: tt.waiting}, tt.view)
			if outcome != tt.outcome || choice.Backend != tt.backend {
				t.Errorf("got %s on %q, want %s on %q", outcome, choice.Backend, tt.outcome, tt.backend)
			}
		})
	}
}

// TestBurstStartsOneLoad checks that demands from many hosts start only one load while that load is in progress.
func TestBurstStartsOneLoad(t *testing.T) {
	leader := NewLeader()
	view := newView(3, newStatus("a", 50), newStatus("b", 50), newStatus("c", 50))
	loads := 0
	for i := range 50 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		leader.AddDemand(now, model.LoadDemand{Key: key, Waiting: 1, Deadline: start.Add(time.Minute)})
		for _, demand := range leader.Demands(now) {
			choice, outcome := leader.Choose(now, demand, view)
			if outcome == OutcomeLoad {
				leader.RecordLoadRequest(now, choice)
				loads++
			}
		}
	}
	if got, want := loads, 1; got != want {
		t.Errorf("loads: got %d, want %d", got, want)
	}
}

// TestRequestedLoadsCountAgainstMemory checks that a requested load that no status shows yet counts against the free
// memory. Otherwise a burst of demands puts all loads on one backend server.
func TestRequestedLoadsCountAgainstMemory(t *testing.T) {
	leader := NewLeader()
	view := newView(1, newStatus("a", 50), newStatus("b", 50), newStatus("c", 50))
	chosen := make(map[string]int)
	for _, name := range []string{"one", "two", "three"} {
		view.Declaration.Key = model.ModelKey{Model: name}
		choice, outcome := leader.Choose(start, model.LoadDemand{Key: view.Declaration.Key, Waiting: 1}, view)
		if outcome != OutcomeLoad {
			t.Fatalf("%s: got %s, want %s", name, outcome, OutcomeLoad)
		}
		leader.RecordLoadRequest(start, choice)
		chosen[choice.Backend]++
	}
	if got, want := len(chosen), 3; got != want {
		t.Errorf("backend servers: got %d, want %d", got, want)
	}
}

// TestPermitsRespectLimits requests permits at random and checks that neither the parallel limit nor the rate limit is
// exceeded.
func TestPermitsRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parallel := rapid.IntRange(1, 4).Draw(t, "parallel")
		permits := NewPermits(2, parallel)
		now := start
		granted := 0
		backends := []string{"a", "b", "c", "d", "e", "f"}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			backend := rapid.SampledFrom(backends).Draw(t, "backend")
			if rapid.Bool().Draw(t, "done") {
				permits.Release(key, backend)
				continue
			}
			before := permits.InUse()
			if permits.Request(now, model.LoadDemand{Key: key, Deadline: start.Add(time.Hour)}, backend) {
				granted += permits.InUse() - before
			}
			if got := permits.InUse(); got > parallel {
				t.Fatalf("in use: got %d, want at most %d", got, parallel)
			}
			if got, want := granted, 1+2+int(2*now.Sub(start).Seconds()); got > want {
				t.Fatalf("granted: got %d, want at most %d", got, want)
			}
		}
	})
}

func TestPermitsGrantMostUrgentFirst(t *testing.T) {
	permits := NewPermits(10, 1)
	urgent := model.LoadDemand{Key: key, Priority: 90, Deadline: start.Add(time.Minute)}
	relaxed := model.LoadDemand{Key: other, Priority: 10, Deadline: start.Add(time.Second)}
	permits.Request(start, model.LoadDemand{Key: model.ModelKey{Model: "first"}}, "a")
	permits.Request(start, urgent, "b")
	permits.Release(model.ModelKey{Model: "first"}, "a")
	later := start.Add(200 * time.Millisecond)
	if got, want := permits.Request(later, relaxed, "c"), false; got != want {
		t.Errorf("relaxed: got %v, want %v", got, want)
	}
	if got, want := permits.Request(later, urgent, "b"), true; got != want {
		t.Errorf("urgent: got %v, want %v", got, want)
	}
}

func TestShare(t *testing.T) {
	zones := []string{"a", "b", "c"}
	tests := []struct {
		name    string
		reports []ZoneDemand
		want    []int // for a, b, c
	}{
		{"no reports", nil, []int{1, 1, 1}},
		{"one zone waits", []ZoneDemand{{"a", 1, 5}, {"b", 0, 0}, {"c", 0, 0}}, []int{4, 1, 1}},
		{"base of a zone without a report stays reserved", []ZoneDemand{{"a", 1, 5}, {"b", 0, 0}}, []int{3, 1, 1}},
		{"all wait", []ZoneDemand{{"a", 1, 2}, {"b", 1, 2}, {"c", 1, 2}}, []int{2, 1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i, zone := range zones {
				if got := Share(4, zones, tt.reports, zone); got != tt.want[i] {
					t.Errorf("zone %s: got %d, want %d", zone, got, tt.want[i])
				}
			}
		})
	}
}

func TestKeepAliveFollowsGaps(t *testing.T) {
	tests := []struct {
		name    string
		gap     time.Duration
		weights Weights
		want    time.Duration
	}{
		{"frequent use extends the keep-alive time", 20 * time.Second, Weights{IdleSecond: 1, ColdStartSecond: 20}, 20*time.Second + 2500*time.Millisecond},
		{"rare use gets the shortest", 10 * time.Minute, Weights{IdleSecond: 1, ColdStartSecond: 20}, 5 * time.Second},
		{"expensive cold start extends it", 10 * time.Minute, Weights{IdleSecond: 1, ColdStartSecond: 400}, 675 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := KeepAlive{Weights: tt.weights, MinDuration: 5 * time.Second, MaxDuration: time.Hour}
			for i := range 10 {
				k.RecordRequest(start.Add(time.Duration(i) * tt.gap))
			}
			if got := k.Duration(5 * time.Second); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
