package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"citronspread/model"
)

var (
	testKey  = model.ModelKey{Model: "faults", Version: "v1"}
	testTime = time.Unix(1_000_000, 0)
)

// newRouter returns a router that runs in virtual time.
func newRouter(policy Policy, replicas ...model.Replica) *Router {
	r := &Router{
		Name: "entry-1", Zone: "muenchen", Policy: policy, Picker: LeastPicker{},
		Budget: &Budget{Share: 0.1, Floor: 5}, Snapshot: &atomic.Pointer[model.Snapshot]{},
		Suspects: &Suspects{Name: "entry-1", RefuseFor: time.Minute, ClaimPropagationDelay: 200 * time.Millisecond, TrialClaimTTL: time.Second, Retention: time.Hour, Limit: 1000},
		Seed:     1,
	}
	r.once.Do(r.init)
	publish(r, replicas...)
	return r
}

func publish(r *Router, replicas ...model.Replica) {
	r.Snapshot.Store(&model.Snapshot{Models: []*model.RoutedModel{{
		Declaration: model.ModelDeclaration{Key: testKey, Adapters: []string{"gate", "door"}}, Replicas: replicas,
	}}})
}

func replica(name string, capacity int) model.Replica {
	return model.Replica{Key: testKey, Backend: name, Zone: "muenchen", Capacity: capacity, UpdatedAt: testTime}
}

var testSequence atomic.Uint64

func ticket(now time.Time, maxTokens int, timeout time.Duration) *Ticket {
	return &Ticket{
		Request: Request{
			Target: Target{Key: testKey}, Fingerprint: model.Fingerprint(testSequence.Add(1)),
			Priority: 50, Deadline: now.Add(timeout), MaxTokens: maxTokens,
		},
		result: make(chan result, 1),
	}
}

// outcome returns the backend server of the grant, the reason of the refusal, "suspected" or "waiting".
func (t *Ticket) outcome() (string, *Grant) {
	select {
	case res := <-t.result:
		if res.suspected {
			return "suspected", nil
		}
		if refused, ok := res.err.(*RefusedError); ok {
			return string(refused.Reason), nil
		}
		return res.grant.Replica.Backend, res.grant
	default:
		return "waiting", nil
	}
}

func TestReplicaChoice(t *testing.T) {
	stale := testTime.Add(-time.Minute)
	tests := []struct {
		name     string
		replicas []model.Replica
		adapter  string
		software string
		avoid    []string
		want     string
	}{
		{name: "same zone first", replicas: []model.Replica{{Backend: "far", Zone: "augsburg", Capacity: 9, UpdatedAt: testTime}, replica("near", 1)}, want: "near"},
		{name: "other zone when full", replicas: []model.Replica{{Backend: "far", Zone: "augsburg", Capacity: 9, UpdatedAt: testTime}, {Backend: "near", Zone: "muenchen", Capacity: 1, Running: 1, UpdatedAt: testTime}}, want: "far"},
		{name: "draining", replicas: []model.Replica{{Backend: "leaving", Zone: "muenchen", Capacity: 9, Draining: true, UpdatedAt: testTime}}, want: "waiting"},
		{name: "stale only without a fresh one", replicas: []model.Replica{{Backend: "stale", Zone: "muenchen", Capacity: 9, UpdatedAt: stale}, {Backend: "far", Zone: "augsburg", Capacity: 9, UpdatedAt: testTime}}, want: "far"},
		{name: "stale when there is no other", replicas: []model.Replica{{Backend: "stale", Zone: "muenchen", Capacity: 9, UpdatedAt: stale}}, want: "stale"},
		{name: "adapter not loaded", replicas: []model.Replica{replica("a", 9)}, adapter: "gate", want: "waiting"},
		{name: "adapter loaded", replicas: []model.Replica{replica("a", 9), {Backend: "b", Zone: "muenchen", Capacity: 9, Adapters: []string{"gate"}, UpdatedAt: testTime}}, adapter: "gate", want: "b"},
		{name: "request failed there", replicas: []model.Replica{replica("a", 9), replica("b", 1)}, avoid: []string{"a"}, want: "b"},
		{name: "request failed there but there is no other", replicas: []model.Replica{replica("a", 9)}, avoid: []string{"a"}, want: "a"},
		{name: "no replica", want: "waiting"},
		{name: "software version", replicas: []model.Replica{replica("a", 9), {Backend: "b", Zone: "muenchen", Capacity: 1, Software: "v2", UpdatedAt: testTime}}, software: "v2", want: "b"},
		{name: "software version not in service", replicas: []model.Replica{replica("a", 9), {Backend: "b", Zone: "muenchen", Capacity: 9, Software: "v2", UpdatedAt: testTime}}, software: "v1", want: "waiting"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(DefaultPolicy(), tt.replicas...)
			tk := ticket(testTime, 10, time.Minute)
			tk.Target.Adapter, tk.Target.Software, tk.Avoid = tt.adapter, tt.software, tt.avoid
			r.admit(testTime, tk)
			if got, _ := tk.outcome(); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

func TestLongCap(t *testing.T) {
	r := newRouter(DefaultPolicy(), replica("a", 8))
	var long, short []*Ticket
	for range 8 {
		long = append(long, ticket(testTime, 4000, time.Hour))
		r.admit(testTime, long[len(long)-1])
	}
	running := count(long, "a")
	if running != 4 {
		t.Errorf("got %d running long requests, want the limit of 4", running)
	}
	for range 8 {
		short = append(short, ticket(testTime, 10, time.Minute))
		r.admit(testTime, short[len(short)-1])
	}
	if got := count(short, "a"); got != 4 {
		t.Errorf("got %d running short requests beside the long ones, want 4", got)
	}
}

// TestLongIsNotStarved guards against a long request that is never served because short ones keep the replica full.
func TestLongIsNotStarved(t *testing.T) {
	for _, capacity := range []int{1, 2, 8} {
		r := newRouter(DefaultPolicy(), replica("a", capacity))
		now := testTime
		long := ticket(now, 4000, time.Hour)
		var running []*Grant
		waiting := 0
		for step := range 200 {
			now = now.Add(10 * time.Millisecond)
			if step == 10 {
				r.admit(now, long)
			}
			tk := ticket(now, 10, time.Minute)
			r.admit(now, tk)
			if _, g := tk.outcome(); g != nil {
				running = append(running, g)
			} else {
				waiting++
			}
			if len(running) == capacity {
				running[0].Done(now, OutcomeComplete)
				running = running[1:]
			}
		}
		if got, _ := long.outcome(); got != "a" {
			t.Errorf("got long request %s on a replica of capacity %d, want it granted", got, capacity)
		}
	}
}

func TestRefusals(t *testing.T) {
	policy := DefaultPolicy()
	policy.QueueLimit = 2
	r := newRouter(policy, replica("a", 1))
	first := ticket(testTime, 10, time.Hour)
	r.admit(testTime, first)
	_, g := first.outcome()
	g.Done(testTime.Add(10*time.Second), OutcomeComplete)
	now := testTime.Add(10 * time.Second)
	r.admit(now, ticket(now, 10, time.Hour))
	late := ticket(now, 10, 5*time.Second)
	r.admit(now, late)
	if got, _ := late.outcome(); got != string(ReasonLate) {
		t.Errorf("got %s at a predicted wait of 10 s, want %s", got, ReasonLate)
	}
	waiting := []*Ticket{ticket(now, 10, time.Hour), ticket(now, 10, time.Hour)}
	for _, tk := range waiting {
		r.admit(now, tk)
	}
	full, urgent := ticket(now, 10, time.Hour), ticket(now, 10, time.Hour)
	urgent.Priority = 90
	r.admit(now, full)
	r.admit(now, urgent)
	if got, _ := full.outcome(); got != string(ReasonQueueFull) {
		t.Errorf("got %s, want %s", got, ReasonQueueFull)
	}
	if got, _ := waiting[1].outcome(); got != string(ReasonDisplaced) {
		t.Errorf("got %s, want %s", got, ReasonDisplaced)
	}
	if got, _ := urgent.outcome(); got != "waiting" {
		t.Errorf("got %s for the urgent request, want waiting", got)
	}
}

// TestRequestsResolvedByDeadline guards against requests that wait past their deadline for a model that is never loaded.
// Without steps the audit must find such requests, which shows that the check works.
func TestRequestsResolvedByDeadline(t *testing.T) {
	for _, withoutSteps := range []bool{true, false} {
		r := newRouter(DefaultPolicy())
		r.Policy.ColdStart = 0
		for i := range 50 {
			r.admit(testTime, ticket(testTime, 10, time.Duration(i+1)*100*time.Millisecond))
		}
		for now := testTime; now.Before(testTime.Add(10 * time.Second)); now = now.Add(tickInterval) {
			if withoutSteps {
				r.queue.Audit(now, overdueTolerance)
				continue
			}
			r.Step(now)
		}
		if got := r.queue.Counts.Unsettled > 0; got != withoutSteps {
			t.Errorf("got requests waiting past their deadline %v, want %v", got, withoutSteps)
		}
	}
}

func TestLoadDemands(t *testing.T) {
	r := newRouter(DefaultPolicy())
	tk := ticket(testTime, 10, time.Minute)
	if got := len(r.admit(testTime, tk)); got != 1 {
		t.Errorf("got %d load demands for the first request, want 1", got)
	}
	if got := len(r.admit(testTime, ticket(testTime, 10, time.Minute))); got != 0 {
		t.Errorf("got %d load demands for the second request, want 0", got)
	}
	demands := r.dueDemands(testTime.Add(r.Policy.DemandInterval))
	if len(demands) != 1 || demands[0].Waiting != 2 || !demands[0].Deadline.Equal(tk.Deadline) {
		t.Errorf("got %+v, want one repeated load demand for 2 requests", demands)
	}
}

func TestPickers(t *testing.T) {
	candidates := []Candidate{
		{Backend: "busy", Capacity: 8, Outstanding: 4, Others: 3, Latency: 100 * time.Millisecond, ObservedAt: testTime, Credits: 1},
		{Backend: "slow", Capacity: 8, Outstanding: 1, Latency: 5 * time.Second, ObservedAt: testTime, Credits: 2},
		{Backend: "good", Capacity: 8, Outstanding: 2, Latency: 100 * time.Millisecond, ObservedAt: testTime, Credits: 5},
	}
	tests := []struct {
		name   string
		picker Picker
		never  int
		atMost int
	}{
		{name: "least outstanding", picker: LeastPicker{}, never: 0},
		{name: "latency", picker: LatencyPicker{}, never: 1, atMost: 5},
		{name: "two choices", picker: TwoChoicesPicker{}, never: 1, atMost: 150},
		{name: "credits", picker: CreditPicker{}, never: 0},
	}
	for _, tt := range tests {
		random, picked := rand.New(rand.NewPCG(1, 1)), 0
		for range 1000 {
			if tt.picker.Pick(testTime, candidates, random) == tt.never {
				picked++
			}
		}
		if picked > tt.atMost {
			t.Errorf("%s: got %s %d times of 1000, want at most %d", tt.name, candidates[tt.never].Backend, picked, tt.atMost)
		}
	}
}

func TestBudget(t *testing.T) {
	b := Budget{Share: 0.1, Floor: 2}
	for range 100 {
		b.Request(testTime)
	}
	spent := 0
	for range 50 {
		if b.Spend(testTime, ExtraRetry) {
			spent++
		}
	}
	if spent != 12 {
		t.Errorf("got %d retries for 100 requests, want 12", spent)
	}
	if b.Spend(testTime.Add(budgetBuckets*time.Second), ExtraHedge) {
		t.Error("got a hedge without recent requests, want none")
	}
	if !b.Spend(testTime.Add(budgetBuckets*time.Second), ExtraResume) {
		t.Error("got a resumption refused in a new window, want it allowed by the floor")
	}
}

func TestResolve(t *testing.T) {
	x := newIndex(&model.Snapshot{Models: []*model.RoutedModel{
		{Declaration: model.ModelDeclaration{Key: model.ModelKey{Model: "m", Version: "v9"}, Adapters: []string{"a"}}},
		{Declaration: model.ModelDeclaration{Key: model.ModelKey{Model: "m", Version: "v10"}}},
	}}, nil)
	tests := map[string]string{"m": "m@v10", "m@v9": "m@v9", "m@v9:a": "m@v9 a", "m:a": "", "m@v8": "", "x": "", "": ""}
	for name, want := range tests {
		target, routed := x.resolve(name)
		got := ""
		if routed != nil {
			got = target.Key.String()
			if target.Adapter != "" {
				got += " " + target.Adapter
			}
		}
		if got != want {
			t.Errorf("got %q for %q, want %q", got, name, want)
		}
	}
}

func count(tickets []*Ticket, want string) int {
	return len(slices.DeleteFunc(slices.Clone(tickets), func(t *Ticket) bool {
		got, _ := t.outcome()
		return got != want
	}))
}

func backendName(i int) string { return fmt.Sprint("backend-", i) }

// TestNoGrantRightAfterFreeze guards against grants to a backend server that began to leave while the process of the
// entry host was frozen: waiting requests must not be granted before the updates have had time to arrive.
func TestNoGrantRightAfterFreeze(t *testing.T) {
	r := newRouter(DefaultPolicy(), replica("leaving", 9))
	r.Step(testTime)
	resumed := testTime.Add(6 * time.Second)
	first, second := ticket(resumed, 10, time.Minute), ticket(resumed, 10, time.Minute)
	r.admit(resumed, first)
	r.Step(resumed.Add(time.Millisecond))
	r.admit(resumed.Add(2*time.Millisecond), second)
	for _, tk := range []*Ticket{first, second} {
		if got, _ := tk.outcome(); got != "waiting" {
			t.Errorf("got %s right after the freeze, want waiting", got)
		}
	}
	leaving, staying := replica("leaving", 9), replica("staying", 9)
	leaving.Draining = true
	publish(r, leaving, staying)
	r.Step(resumed.Add(postFreezeDelay + 2*time.Millisecond))
	for _, tk := range []*Ticket{first, second} {
		if got, _ := tk.outcome(); got != "staying" {
			t.Errorf("got %s, want staying", got)
		}
	}
}
