package faults

import (
	"reflect"
	"sync"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/standin"
)

func newJudged(t *testing.T) *Run {
	t.Helper()
	p := newPlatform(newAddresses())
	r := &Run{platform: p, tally: &Tally{}, Log: t.Logf}
	r.config = newConfiguration(p, r.random(configStream))
	return r
}

func TestJudgeBites(t *testing.T) {
	now := time.Now()
	second := func(n float64) time.Time { return now.Add(time.Duration(n * float64(time.Second))) }
	ended := func(kind exchangeKind, o outcome, after float64) exchange {
		return exchange{kind: kind, content: "x", host: "a", begin: now, end: second(after), outcome: o}
	}
	fault := func(kind faultKind, target string, begin, end float64) *disturbance {
		return &disturbance{kind: kind, target: target, begin: second(begin), end: second(end)}
	}
	tests := []struct {
		name      string
		exchanges []exchange
		faults    []*disturbance
		runs      []standin.Run
		want      []Promise
	}{
		{"whole", []exchange{ended(kindStream, outcomeWhole, 1)}, nil, nil, nil},
		{"wrong", []exchange{ended(kindStream, outcomeWrong, 1)}, nil, nil, []Promise{WholeAnswer}},
		{"late", []exchange{ended(kindStream, outcomeWhole, 30)}, nil, nil, []Promise{ServedOrRefusedInTime}},
		{"late, frozen", []exchange{ended(kindStream, outcomeWhole, 12)}, []*disturbance{fault(faultFreezeHost, "a", 1, 8)}, nil, nil},
		{"cut", []exchange{ended(kindAnswer, outcomeCut, 1)}, nil, nil, []Promise{ServedOrRefusedInTime}},
		{"cut, killed", []exchange{ended(kindAnswer, outcomeCut, 1)}, []*disturbance{fault(faultKillHost, "a", 0.9, 2)}, nil, nil},
		{"cut, planned stop", []exchange{ended(kindAnswer, outcomeCut, 1)}, []*disturbance{fault(faultTerminateHost, "a", 0.5, 2)}, nil, []Promise{PlannedStopCutsNothing}},
		{"refused, ran", []exchange{ended(kindAnswer, outcomeNotRun, 1)}, nil, []standin.Run{{Content: "x"}}, []Promise{NotRunIsTrue}},
		{"ran twice", []exchange{ended(kindBooking, outcomeMaybeRun, 1)}, nil, []standin.Run{{Content: "x"}, {Content: "x"}}, []Promise{AtMostOnce}},
		{"refused twice, ran", []exchange{ended(kindKeyedBooking, outcomeNotRun, 1), ended(kindKeyedBooking, outcomeNotRun, 2)}, nil, []standin.Run{{Content: "x"}}, []Promise{NotRunIsTrue}},
		{"answered, never ran", []exchange{ended(kindBooking, outcomeWhole, 1)}, nil, nil, []Promise{WholeAnswer}},
		{"run while leaving", nil, []*disturbance{fault(faultEngineLeaves, "b", -9, -1)}, []standin.Run{{Backend: "b", At: second(-2)}}, []Promise{NoWorkWhileLeaving}},
		{"run just after leaving", nil, []*disturbance{fault(faultEngineLeaves, "b", -9, -1)}, []standin.Run{{Backend: "b", At: second(-6)}}, nil},
		{
			"three engines lost in a zone", nil,
			[]*disturbance{fault(faultCrashText, "x", -9, -1)},
			[]standin.Run{
				{Content: "x", Backend: "sialkot-a-backend-1", Life: "1"},
				{Content: "x", Backend: "sialkot-a-backend-1", Life: "2"},
				{Content: "x", Backend: "sialkot-a-backend-2", Life: "3"},
			},
			[]Promise{SuspectsContained},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newJudged(t)
			r.exchanges.all, r.disturbances.all, r.platform.runs.runs = tt.exchanges, tt.faults, tt.runs
			r.judge()
			if got := breaches(r.tally); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got breaches %v, want %v: %v", got, tt.want, r.tally.Lines())
			}
		})
	}
}

func breaches(t *Tally) []Promise {
	var found []Promise
	for p := range promiseCount {
		if t.breached[p] > 0 {
			found = append(found, p)
		}
	}
	return found
}

func TestJudgeReplicas(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		loads  []time.Duration // each on a backend server of its own
		faults []*disturbance
		want   bool
	}{
		{"as decided", []time.Duration{1, 2}, nil, false},
		{"more than decided", []time.Duration{1, 2, 3}, nil, true},
		{"just after lowering", []time.Duration{1, 50}, nil, false},
		{"long after lowering", []time.Duration{1, 80}, nil, true},
		{"long after lowering, store down", []time.Duration{1, 80}, []*disturbance{{kind: faultStoreDown, begin: now.Add(45 * time.Second)}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newJudged(t)
			record := r.config.records[0]
			record.accepted = []decision{{replicas: 2, at: now}, {replicas: 1, at: now.Add(45 * time.Second)}}
			r.disturbances.all = tt.faults
			for i, at := range tt.loads {
				r.platform.census.Record(standin.CensusEvent{
					Backend: string(rune('a' + i)), Key: record.key, Loaded: true, At: now.Add(at * time.Second),
				})
			}
			r.judgeReplicas()
			if got := r.tally.Breached(); got != tt.want {
				t.Errorf("got breached %v, want %v: %v", got, tt.want, r.tally.Lines())
			}
		})
	}
}

func TestJudgeSlots(t *testing.T) {
	now := time.Now()
	for _, slots := range []int{1, 2} {
		r := newJudged(t)
		key := r.config.records[0].key
		r.slots = &slotHistory{changes: []slotChange{{key: key, used: slots, at: now.Add(-time.Second)}}}
		for _, backend := range []string{"a", "b"} {
			r.platform.census.Record(standin.CensusEvent{Backend: backend, Key: key, Loaded: true, At: now})
		}
		r.judgeSlots()
		if got, want := r.tally.Breached(), slots < 2; got != want {
			t.Errorf("got breached %v with %d slots, want %v", got, slots, want)
		}
	}
}

func TestCheckRecord(t *testing.T) {
	now := time.Now()
	r := newJudged(t)
	record := r.config.records[0]
	record.accepted = []decision{{number: 1, at: now}, {number: 2, at: now.Add(time.Second)}}
	show := func(mark string) model.Snapshot {
		return model.Snapshot{Models: []model.RoutedModel{{Declaration: model.ModelDeclaration{Key: record.key, Adapters: []string{mark}}}}}
	}
	tests := []struct {
		name  string
		shown []string
		after time.Duration
		want  bool
	}{
		{"in force", []string{"mark-1", "mark-2"}, 5 * time.Second, false},
		{"not yet", []string{"mark-1"}, 9 * time.Second, false},
		{"late", []string{"mark-1"}, 11 * time.Second, true},
		{"reverted", []string{"mark-2", "mark-1"}, time.Second, true},
		{"lost", []string{"mark-2", ""}, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r.tally = &Tally{}
			view := newHostView(now)
			for _, mark := range tt.shown {
				r.checkRecord(&entryHost{name: "a"}, view, record, now.Add(tt.after), show(mark))
			}
			if got := r.tally.Breached(); got != tt.want {
				t.Errorf("got breached %v, want %v: %v", got, tt.want, r.tally.Lines())
			}
		})
	}
}

func TestScheduleIsSeeded(t *testing.T) {
	r := newJudged(t)
	hosts := newEntryHosts(r.platform.zones, newAddresses())
	first := newSchedule(r.random(scheduleStream), time.Minute, hosts, r.platform)
	second := newSchedule(r.random(scheduleStream), time.Minute, hosts, r.platform)
	if len(first) < 20 || !reflect.DeepEqual(first, second) {
		t.Errorf("got %d and %d faults, want the same ones for the same seed", len(first), len(second))
	}
}

// TestOverlappingLeaves holds that a backend server is shown as leaving until the last of its leaves has ended.
func TestOverlappingLeaves(t *testing.T) {
	r := newJudged(t)
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
	ended.Go(func() { r.leave(t.Context(), fault{kind: faultEngineLeaves, duration: 10 * time.Millisecond}, e) })
	ended.Go(func() { r.leave(t.Context(), fault{kind: faultEngineLeaves, duration: 400 * time.Millisecond}, e) })
	time.Sleep(hostListLag + 200*time.Millisecond)
	if got := shown(); got != model.HostLeaving {
		t.Errorf("got %s after the first leave, want %s", got, model.HostLeaving)
	}
	ended.Wait()
	if got := shown(); got != model.HostLive {
		t.Errorf("got %s after both, want %s", got, model.HostLive)
	}
}
