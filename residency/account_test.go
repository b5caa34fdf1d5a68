package residency

import (
	"testing"
	"time"

	"citronspread/model"
)

var start = time.Unix(1_000_000, 0)

func testSpec() *model.EngineSpec {
	spec := &model.EngineSpec{WeightMB: 230, AdapterSlots: 2, LoadsPerSecond: 3, Models: make(map[string]model.ModelSpec)}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		spec.Models[name] = model.ModelSpec{
			Name: name, MB: 72, AdapterMB: 1,
			ColdLoad: 6 * time.Second, DiskLoad: 800 * time.Millisecond, MemoryLoad: 600 * time.Millisecond,
		}
	}
	return spec
}

// synced returns an account that agrees with a report of these models.
func synced(loaded ...string) *Account {
	incarnation := model.BackendIncarnation{ID: "i-1", Born: 7}
	a := NewAccount(start, "i-1", incarnation, testSpec())
	report := model.BackendReport{Life: incarnation, OnDisk: []string{"d", "e"}}
	for _, name := range loaded {
		report.Models = append(report.Models, model.ReportedModel{Name: name})
	}
	a.ApplyReport(start, report)
	return a
}

// next sends the next order of the account, which must have the given kind and model.
func next(t *testing.T, a *Account, now time.Time, kind Kind, name string) Order {
	t.Helper()
	step, ok := a.Next(now, true)
	if !ok {
		t.Fatalf("got no order, want %v %s", kind, name)
	}
	if step.Order.Kind != kind || step.Order.Model != name {
		t.Fatalf("got %v %s, want %v %s", step.Order.Kind, step.Order.Model, kind, name)
	}
	a.Sent(*step.Order)
	return *step.Order
}

func TestLoadEvictsLeastRecentlyUsedModel(t *testing.T) {
	a, now := synced("a", "b", "c"), start.Add(time.Minute)
	a.RecordUsage(now.Add(-2*time.Second), "host", model.Usage{Key: model.ModelKey{Model: "a"}})
	a.RecordUsage(now.Add(-3*time.Second), "host", model.Usage{Key: model.ModelKey{Model: "c"}})
	a.RecordUsage(now.Add(-time.Second), "host", model.Usage{Key: model.ModelKey{Model: "b"}, Running: 1})
	if got := a.AddDemand(now, "d", ""); got.Ready {
		t.Fatal("got ready for a model that is not loaded, want a wait")
	}
	o := next(t, a, now, Unload, "c")
	if o.Expected != 0 {
		t.Errorf("got expected %d, want 0", o.Expected)
	}
	a.Answered(now, o, Accepted)
	if step, ok := a.Next(now, true); ok {
		t.Fatalf("got order %v while one is in progress, want none", step.Order)
	}
	a.ApplyReport(now, model.BackendReport{Life: a.Life, Sequence: 1, Models: []model.ReportedModel{{Name: "a"}, {Name: "b"}}})
	o = next(t, a, now, Load, "d")
	if o.Expected != 1 {
		t.Errorf("got expected %d, want 1", o.Expected)
	}
}

func TestModelWithFewestRequestsIsEvicted(t *testing.T) {
	a, now := synced("a", "b", "c"), start.Add(time.Minute)
	for i, name := range []string{"a", "b", "c"} {
		a.RecordUsage(now, "host", model.Usage{Key: model.ModelKey{Model: name}, Running: 3 - i})
	}
	a.AddDemand(now, "d", "")
	next(t, a, now, Unload, "c")
}

func TestUsageExpires(t *testing.T) {
	a := synced("a")
	a.RecordUsage(start, "host", model.Usage{Key: model.ModelKey{Model: "a"}, Running: 2})
	tests := []struct {
		after time.Duration
		want  int
	}{{after: time.Second, want: 2}, {after: usageTTL, want: 0}}
	for _, tt := range tests {
		if got := a.Models["a"].Running(start.Add(tt.after)); got != tt.want {
			t.Errorf("after %v got %d running, want %d", tt.after, got, tt.want)
		}
	}
}

// TestNewOwnerKeepsModelsInUse guards against a new owner that takes all models it finds for newly loaded ones, so that
// those in use, which need no protection any more, are evicted first.
func TestNewOwnerKeepsModelsInUse(t *testing.T) {
	a, now := synced("a", "b", "c"), start.Add(evictionGrace/2)
	a.RecordUsage(now, "host", model.Usage{Key: model.ModelKey{Model: "a"}})
	a.AddDemand(now, "d", "")
	next(t, a, now, Unload, "b")
}

func TestAdapterLoadEvictsLeastRecentlyUsed(t *testing.T) {
	a, now := synced("a"), start.Add(time.Minute)
	for _, adapter := range []string{"x", "y"} {
		a.AddDemand(now, "a", adapter)
		o := next(t, a, now, LoadAdapter, "a")
		a.Answered(now, o, Accepted)
	}
	if got := a.AddDemand(now, "a", "x"); got.Ready || got.Wait <= 0 {
		t.Errorf("got %+v for an adapter being loaded, want a wait", got)
	}
	now = now.Add(AdapterLoad)
	if got := a.AddDemand(now, "a", "x"); !got.Ready {
		t.Errorf("got %+v, want ready", got)
	}
	now = now.Add(time.Second)
	a.AddDemand(now, "a", "x") // makes y the least recently used
	a.AddDemand(now, "a", "z")
	o := next(t, a, now, UnloadAdapter, "a")
	if o.Adapter != "y" {
		t.Errorf("got %s unloaded, want y, the least recently used one", o.Adapter)
	}
	a.Answered(now, o, AlreadyDone)
	next(t, a, now, LoadAdapter, "a")
}

func TestAdapterInUseIsNotEvicted(t *testing.T) {
	a, now := synced("a"), start.Add(time.Minute)
	for _, adapter := range []string{"x", "y"} {
		a.AddDemand(now, "a", adapter)
		a.Answered(now, next(t, a, now, LoadAdapter, "a"), Accepted)
		a.RecordUsage(now, "host", model.Usage{Key: model.ModelKey{Model: "a"}, Adapter: adapter, Running: 1})
	}
	now = now.Add(AdapterLoad)
	a.AddDemand(now, "a", "z")
	if step, ok := a.Next(now, true); ok {
		t.Errorf("got order %+v, want none while all adapters are in use", step.Order)
	}
}

func TestColdLoadNeedsPermit(t *testing.T) {
	a := synced("a")
	a.AddDemand(start, "b", "")
	if _, ok := a.Next(start, false); ok {
		t.Error("got a load from the weight store without a permit, want none")
	}
	if !a.NeedsWeightLoad() {
		t.Error("got NeedsWeightLoad false, want true")
	}
	a.AddDemand(start, "d", "")
	step, ok := a.Next(start, false)
	if !ok || step.Order.Model != "d" || step.Source != FromDisk {
		t.Errorf("got %+v, want the load from disk", step)
	}
}

func TestUnansweredOrder(t *testing.T) {
	a := synced("a", "b")
	a.AddDemand(start, "d", "")
	o := next(t, a, start, Load, "d")
	a.Answered(start, o, Unanswered)
	if _, ok := a.Next(start.Add(time.Second), true); ok {
		t.Fatal("got an order before a report, want none")
	}
	// According to the report, the order has not been accepted. It still may be, unless another order is accepted first.
	a.ApplyReport(start.Add(time.Second), model.BackendReport{Life: a.Life, Models: []model.ReportedModel{{Name: "a"}, {Name: "b"}}})
	a.AddDemand(start.Add(time.Second), "d", "")
	again := next(t, a, start.Add(time.Second), Load, "d")
	if again.Expected != o.Expected {
		t.Errorf("got expected %d, want %d, so that the backend server accepts only one of them", again.Expected, o.Expected)
	}
}

// TestLateOrderAfterRestart checks that memory stays reserved for an unanswered order after the backend server has
// restarted. Otherwise, an order that reaches the new incarnation late overcommits the memory.
func TestLateOrderAfterRestart(t *testing.T) {
	a := synced("a", "b")
	a.Sequence = 3
	a.AddDemand(start, "d", "")
	o := next(t, a, start, Load, "d")
	a.Answered(start, o, Unanswered)
	incarnation := model.BackendIncarnation{ID: "i-1", Born: 8}
	a.ResetForIncarnation(start, incarnation)
	a.ApplyReport(start.Add(time.Second), model.BackendReport{Life: incarnation, OnDisk: []string{"a", "b", "c", "d"}})
	now := start.Add(time.Second)
	loads := 0
	for range 3 {
		for _, name := range []string{"a", "b", "c"} {
			a.AddDemand(now, name, "")
		}
		step, ok := a.Next(now, true)
		if !ok || step.Order.Kind != Load {
			break
		}
		loads++
		a.Sent(*step.Order)
		a.Answered(now, *step.Order, Accepted)
		report := model.BackendReport{Life: incarnation, Sequence: a.Sequence}
		for name := range a.Models {
			report.Models = append(report.Models, model.ReportedModel{Name: name})
		}
		a.ApplyReport(now, report)
		if err := a.Check(); err != nil {
			t.Fatal(err)
		}
	}
	if loads != 2 {
		t.Errorf("got %d loads, want 2 besides the late one", loads)
	}
}

func TestConflictIsResolvedByReport(t *testing.T) {
	a := synced("a")
	a.AddDemand(start, "d", "")
	o := next(t, a, start, Load, "d")
	a.Answered(start, o, Conflict)
	if a.ReportDue(start) {
		t.Error("got a report due at once, want a delay that makes it newer than the response")
	}
	now := start.Add(reportLag)
	if !a.ReportDue(now) {
		t.Fatal("got no report due after reportLag, want one")
	}
	a.ApplyReport(now, model.BackendReport{Life: a.Life, Sequence: 1, Models: []model.ReportedModel{{Name: "a"}, {Name: "d"}}})
	if got := a.AddDemand(now, "d", ""); !got.Ready {
		t.Errorf("got %+v, want ready, loaded by an earlier order", got)
	}
}

func TestOffers(t *testing.T) {
	a, now := synced("a", "b"), start.Add(time.Minute)
	spec := testSpec()
	tests := []struct {
		name string
		want time.Duration
	}{
		{name: "a", want: 0},
		{name: "d", want: spec.Models["d"].DiskLoad},
		{name: "c", want: spec.Models["c"].ColdLoad},
	}
	for _, tt := range tests {
		if got := a.Offer(now, tt.name); got != tt.want {
			t.Errorf("got offer %v for %s, want %v", got, tt.name, tt.want)
		}
	}
}

// TestBusyModelIsSpread checks that the busiest model of a backend server is loaded elsewhere only at a high request
// rate.
func TestBusyModelIsSpread(t *testing.T) {
	tests := []struct {
		name      string
		perSecond int
		want      string
	}{{name: "few requests", perSecond: 1, want: ""}, {name: "many requests", perSecond: 6, want: "a"}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, now := synced("a", "b"), start
			for range 10 {
				now = now.Add(time.Second)
				a.RecordUsage(now, "host", model.Usage{Key: model.ModelKey{Model: "a"}, Requests: tt.perSecond})
				a.RecordUsage(now, "host", model.Usage{Key: model.ModelKey{Model: "b"}, Requests: tt.perSecond / 4})
			}
			if got, _ := a.ToSpread(now); got != tt.want {
				t.Errorf("got %q to be spread at a rate of %.1f, want %q", got, a.Rate(now), tt.want)
			}
			if got := a.Rate(now.Add(10 * rateDecay)); got > 0.1 {
				t.Errorf("got a rate of %.2f long after the last request, want none", got)
			}
		})
	}
}

// TestReportBeforeAnswer checks that an order counts once if a report that includes it arrives before its response.
func TestReportBeforeAnswer(t *testing.T) {
	a, now := synced("a", "b", "c"), start.Add(time.Minute)
	a.AddDemand(now, "d", "")
	o := next(t, a, now, Unload, "a")
	after := model.BackendReport{Life: a.Life, Sequence: 1, Models: []model.ReportedModel{{Name: "b"}, {Name: "c"}}}
	a.ApplyReport(now, after)
	a.Answered(now, o, Accepted)
	if a.Sequence != 1 {
		t.Errorf("got sequence %d, want 1", a.Sequence)
	}
	a.ApplyReport(now.Add(time.Second), after)
	next(t, a, now.Add(time.Second), Load, "d")
}

// TestAdaptersWaitForModelOrders checks that no adapter is ordered while a model is being loaded. The backend server
// would refuse the order, and each refusal costs a new report.
func TestAdaptersWaitForModelOrders(t *testing.T) {
	a, now := synced("a"), start.Add(time.Minute)
	a.AddDemand(now, "d", "")
	o := next(t, a, now, Load, "d")
	a.Answered(now, o, Accepted)
	got := a.AddDemand(now, "a", "x")
	if got.Ready || got.Wait < testSpec().Models["d"].DiskLoad {
		t.Errorf("got %+v for an adapter, want the wait for the load", got)
	}
	if step, ok := a.Next(now, true); ok {
		t.Errorf("got order %+v while a model is being loaded, want none", step.Order)
	}
	now = now.Add(time.Second)
	a.ApplyReport(now, model.BackendReport{Life: a.Life, Sequence: 1, Models: []model.ReportedModel{{Name: "a"}, {Name: "d"}}})
	next(t, a, now, LoadAdapter, "a")
}

// TestOfferIsHigherBesideAdapters checks that a load is offered later where requests with adapters would wait for it.
func TestOfferIsHigherBesideAdapters(t *testing.T) {
	a, now := synced("a"), start.Add(time.Minute)
	before := a.Offer(now, "d")
	a.AddDemand(now, "a", "x")
	a.Answered(now, next(t, a, now, LoadAdapter, "a"), Accepted)
	if got := a.Offer(now, "d"); got <= before {
		t.Errorf("got offer %v beside adapters in use, want more than %v", got, before)
	}
}

// TestUnreachableBackendIsAvoided checks that after an order to an unreachable backend server, waiting requests get a
// reason at once, so that they try another backend server until a report arrives again.
func TestUnreachableBackendIsAvoided(t *testing.T) {
	for _, answer := range []Answer{Unsent, Unanswered, OtherIncarnation} {
		a, now := synced("a"), start.Add(time.Minute)
		a.AddDemand(now, "d", "")
		a.Answered(now, next(t, a, now, Load, "d"), answer)
		if got := a.AddDemand(now, "e", ""); got.Reason == "" {
			t.Errorf("after %v got %+v, want a reason to try another backend server", answer, got)
		}
		if !a.ReportDue(now.Add(reportLag)) {
			t.Errorf("after %v got no report due, want another request for one", answer)
		}
		a.ApplyReport(now.Add(time.Second), model.BackendReport{Life: a.Life, Models: []model.ReportedModel{{Name: "a"}}})
		if got := a.AddDemand(now.Add(time.Second), "e", ""); got.Reason != "" {
			t.Errorf("after %v and a report got reason %q, want none", answer, got.Reason)
		}
	}
}
