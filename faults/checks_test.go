package faults

import (
	"reflect"
	"sync"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/standin"
)

func newTestRun(t *testing.T) *Run {
	t.Helper()
	g := newPlatform(newAddressPool())
	r := &Run{platform: g, tally: &Tally{}, Log: t.Logf}
	r.config = newConfiguration(g, r.random(configStream))
	return r
}

// TestChecksDetectBreaches guards against checks that miss a breach or report one where faults excuse it.
func TestChecksDetectBreaches(t *testing.T) {
	now := time.Now()
	second := func(n float64) time.Time { return now.Add(time.Duration(n * float64(time.Second))) }
	ended := func(kind exchangeKind, o outcome, after float64) exchange {
		return exchange{kind: kind, content: "x", host: "a", begin: now, end: second(after), outcome: o}
	}
	fault := func(kind faultKind, target string, begin, end float64) *faultPeriod {
		return &faultPeriod{kind: kind, target: target, begin: second(begin), end: second(end)}
	}
	tests := []struct {
		name      string
		exchanges []exchange
		faults    []*faultPeriod
		runs      []standin.RequestRun
		want      []Guarantee
	}{
		{"complete", []exchange{ended(kindStream, outcomeComplete, 1)}, nil, nil, nil},
		{"wrong", []exchange{ended(kindStream, outcomeWrong, 1)}, nil, nil, []Guarantee{CompleteResponse}},
		{"late", []exchange{ended(kindStream, outcomeComplete, 30)}, nil, nil, []Guarantee{ServedOrRefusedInTime}},
		{"late, host frozen", []exchange{ended(kindStream, outcomeComplete, 12)}, []*faultPeriod{fault(faultFreezeHost, "a", 1, 8)}, nil, nil},
		{"interrupted", []exchange{ended(kindBuffered, outcomeInterrupted, 1)}, nil, nil, []Guarantee{ServedOrRefusedInTime}},
		{"interrupted, host killed", []exchange{ended(kindBuffered, outcomeInterrupted, 1)}, []*faultPeriod{fault(faultKillHost, "a", 0.9, 2)}, nil, nil},
		{"interrupted, planned stop", []exchange{ended(kindBuffered, outcomeInterrupted, 1)}, []*faultPeriod{fault(faultTerminateHost, "a", 0.5, 2)}, nil, []Guarantee{PlannedStopInterruptsNothing}},
		{"refused, ran", []exchange{ended(kindBuffered, outcomeNotRun, 1)}, nil, []standin.RequestRun{{Content: "x"}}, []Guarantee{NotRunIsTrue}},
		{"ran twice", []exchange{ended(kindBooking, outcomeMaybeRun, 1)}, nil, []standin.RequestRun{{Content: "x"}, {Content: "x"}}, []Guarantee{AtMostOnce}},
		{"refused twice, ran", []exchange{ended(kindKeyedBooking, outcomeNotRun, 1), ended(kindKeyedBooking, outcomeNotRun, 2)}, nil, []standin.RequestRun{{Content: "x"}}, []Guarantee{NotRunIsTrue}},
		{"answered, did not run", []exchange{ended(kindBooking, outcomeComplete, 1)}, nil, nil, []Guarantee{CompleteResponse}},
		{"run while leaving", nil, []*faultPeriod{fault(faultEngineLeaves, "b", -9, -1)}, []standin.RequestRun{{Backend: "b", At: second(-2)}}, []Guarantee{NoWorkWhileLeaving}},
		{"run within the grace period", nil, []*faultPeriod{fault(faultEngineLeaves, "b", -9, -1)}, []standin.RequestRun{{Backend: "b", At: second(-6)}}, nil},
		{
			"three crashes in a zone", nil,
			[]*faultPeriod{fault(faultCrashText, "x", -9, -1)},
			[]standin.RequestRun{
				{Content: "x", Backend: "sialkot-a-backend-1", Incarnation: "1"},
				{Content: "x", Backend: "sialkot-a-backend-1", Incarnation: "2"},
				{Content: "x", Backend: "sialkot-a-backend-2", Incarnation: "3"},
			},
			[]Guarantee{CrashesContained},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRun(t)
			r.exchangeLog.all, r.faultLog.all, r.platform.runs.runs = tt.exchanges, tt.faults, tt.runs
			r.checkResults()
			if got := breaches(r.tally); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got breaches %v, want %v: %v", got, tt.want, r.tally.Report())
			}
		})
	}
}

func breaches(t *Tally) []Guarantee {
	var found []Guarantee
	for g := range guaranteeCount {
		if t.breached[g] > 0 {
			found = append(found, g)
		}
	}
	return found
}

// TestCheckReplicas checks that a lowered number of replicas applies to loads after maxLoweringTime, and later if the store
// was down.
func TestCheckReplicas(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		loads  []time.Duration // seconds after the first decision, each on another backend server
		faults []*faultPeriod
		want   bool
	}{
		{"as decided", []time.Duration{1, 2}, nil, false},
		{"more than decided", []time.Duration{1, 2, 3}, nil, true},
		{"just after lowering", []time.Duration{1, 50}, nil, false},
		{"long after lowering", []time.Duration{1, 80}, nil, true},
		{"long after lowering, store down", []time.Duration{1, 80}, []*faultPeriod{{kind: faultStoreDown, begin: now.Add(45 * time.Second)}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRun(t)
			record := r.config.records[0]
			record.accepted = []decision{{replicas: 2, at: now}, {replicas: 1, at: now.Add(45 * time.Second)}}
			r.faultLog.all = tt.faults
			for i, at := range tt.loads {
				r.platform.counter.Record(standin.ReplicaEvent{
					Backend: string(rune('a' + i)), Key: record.key, Loaded: true, At: now.Add(at * time.Second),
				})
			}
			r.checkReplicas()
			if got := r.tally.Breached(); got != tt.want {
				t.Errorf("got breached %v, want %v: %v", got, tt.want, r.tally.Report())
			}
		})
	}
}

// TestCheckSlots checks that more loaded replicas than slots in use are a breach.
func TestCheckSlots(t *testing.T) {
	now := time.Now()
	for _, slots := range []int{1, 2} {
		r := newTestRun(t)
		key := r.config.records[0].key
		r.slots = &slotHistory{changes: []slotChange{{key: key, used: slots, at: now.Add(-time.Second)}}}
		for _, backend := range []string{"a", "b"} {
			r.platform.counter.Record(standin.ReplicaEvent{Backend: backend, Key: key, Loaded: true, At: now})
		}
		r.checkSlots()
		if got, want := r.tally.Breached(), slots < 2; got != want {
			t.Errorf("got breached %v with 2 replicas and %d slots, want %v", got, slots, want)
		}
	}
}

// TestCheckRecord checks that a change that becomes active late on an entry host, or is reverted there, is a breach.
func TestCheckRecord(t *testing.T) {
	now := time.Now()
	r := newTestRun(t)
	record := r.config.records[0]
	record.accepted = []decision{{number: 1, at: now}, {number: 2, at: now.Add(time.Second)}}
	snapshotWith := func(mark string) model.Snapshot {
		return model.Snapshot{Models: []*model.RoutedModel{{Declaration: model.ModelDeclaration{Key: record.key, Adapters: []string{mark}}}}}
	}
	tests := []struct {
		name  string
		shown []string
		after time.Duration
		want  bool
	}{
		{"active", []string{"mark-1", "mark-2"}, 5 * time.Second, false},
		{"still in time", []string{"mark-1"}, 9 * time.Second, false},
		{"late", []string{"mark-1"}, 11 * time.Second, true},
		{"reverted", []string{"mark-2", "mark-1"}, time.Second, true},
		{"lost", []string{"mark-2", ""}, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r.tally = &Tally{}
			view := newHostView(now)
			for _, mark := range tt.shown {
				r.checkRecord(&entryHost{name: "a"}, view, record, now.Add(tt.after), snapshotWith(mark))
			}
			if got := r.tally.Breached(); got != tt.want {
				t.Errorf("got breached %v, want %v: %v", got, tt.want, r.tally.Report())
			}
		})
	}
}

// TestScheduleIsSeeded guards against runs that can't be repeated: a seed must always give the same schedule.
func TestScheduleIsSeeded(t *testing.T) {
	r := newTestRun(t)
	hosts := newEntryHosts(r.platform.zones, newAddressPool())
	first := newSchedule(r.random(scheduleStream), time.Minute, hosts, r.platform)
	second := newSchedule(r.random(scheduleStream), time.Minute, hosts, r.platform)
	if len(first) < 20 || !reflect.DeepEqual(first, second) {
		t.Errorf("got schedules of %d and %d faults, want the same schedule of at least 20 faults", len(first), len(second))
	}
}

// TestOverlappingLeaves guards against a leave that ends while another one of the same backend server is active: the host
// list must show the server as leaving until the last one has ended.
func TestOverlappingLeaves(t *testing.T) {
	r := newTestRun(t)
	e := r.platform.engines[0]
	r.platform.hosts.Lag = 0
	shown := func() model.HostState {
		for _, h := range r.platform.hosts.Hosts() {
			if h.Name == e.Backend {
				return h.State
			}
		}
		return ""
	}
	var ended sync.WaitGroup
	ended.Go(func() { r.injectLeave(t.Context(), fault{kind: faultEngineLeaves, duration: 10 * time.Millisecond}, e) })
	ended.Go(func() {
		r.injectLeave(t.Context(), fault{kind: faultEngineLeaves, duration: 400 * time.Millisecond}, e)
	})
	time.Sleep(hostListLag + 200*time.Millisecond)
	if got := shown(); got != model.HostLeaving {
		t.Errorf("got %s after the first leave, want %s", got, model.HostLeaving)
	}
	ended.Wait()
	if got := shown(); got != model.HostLive {
		t.Errorf("got %s after both, want %s", got, model.HostLive)
	}
}
