package routing

import (
	"errors"
	"testing"
	"time"

	"citronspread/model"
)

// bornReplica returns a replica on an incarnation of a backend server.
func bornReplica(name string, born int64) model.Replica {
	r := replica(name, 16)
	r.Born = born
	return r
}

// newBornEndpointRouter returns a router with one endpoint for each incarnation.
func newBornEndpointRouter(incarnations ...model.BackendIncarnation) *Router {
	r := newRouter(DefaultPolicy())
	publishEndpoints(r, incarnations...)
	return r
}

func publishEndpoints(r *Router, incarnations ...model.BackendIncarnation) {
	var endpoints []model.ServiceEndpoint
	for _, i := range incarnations {
		endpoints = append(endpoints, model.ServiceEndpoint{Service: "desk", Backend: i.ID, Born: i.Born, Zone: "muenchen", Address: i.ID + ":1"})
	}
	r.Snapshot.Store(&model.Snapshot{Services: endpoints})
}

// leavingStatement is a statement of another host that an incarnation is leaving.
func leavingStatement(backend string, born int64, at time.Time) model.BackendStatement {
	return model.BackendStatement{Backend: backend, LeavingAt: at, StatedTo: "entry-2", Born: born}
}

// TestLeavingBackendGetsNothing guards against requests to a backend server that has stated that it is leaving: new, waiting,
// pinned and resumed ones, trials, and calls to plain services.
func TestLeavingBackendGetsNothing(t *testing.T) {
	sources := map[string]func(r *Router, now time.Time){
		"stated to this host": func(r *Router, now time.Time) { r.RecordLeaving(now, "a", 1) },
		"stated to another": func(r *Router, now time.Time) {
			r.MergeStatements(now, []model.BackendStatement{leavingStatement("a", 1, now)})
		},
	}
	requests := map[string]func(r *Router, now time.Time, t *Ticket){
		"new":              func(*Router, time.Time, *Ticket) {},
		"resumed":          func(_ *Router, _ time.Time, t *Ticket) { t.Resumed = true },
		"trial":            func(_ *Router, _ time.Time, t *Ticket) { t.trial = true },
		"failed elsewhere": func(_ *Router, _ time.Time, t *Ticket) { t.Avoid = []string{"b"} },
	}
	for source, state := range sources {
		for kind, prepare := range requests {
			t.Run(source+", "+kind, func(t *testing.T) {
				r, now := newRouter(DefaultPolicy(), bornReplica("a", 1), bornReplica("b", 1)), testTime
				state(r, now)
				for range 8 {
					now = now.Add(10 * time.Millisecond)
					tk := ticket(now, 10, 2*time.Second)
					prepare(r, now, tk)
					r.admit(now, tk)
					if got, _ := tk.outcome(); got != "b" {
						t.Fatalf("got %s, want b", got)
					}
				}
			})
		}
		t.Run(source+", waiting", func(t *testing.T) {
			r, now := newRouter(DefaultPolicy(), bornReplica("a", 1)), testTime
			r.fleet.get("a").pausedUntil = now.Add(100 * time.Millisecond)
			waiting := ticket(now, 10, time.Minute)
			r.admit(now, waiting)
			state(r, now)
			now = now.Add(200 * time.Millisecond)
			r.Step(now)
			if got, _ := waiting.outcome(); got != "waiting" {
				t.Errorf("got %s for a waiting request, want it to wait for another backend server", got)
			}
			if demands := r.dueDemands(now.Add(time.Second)); len(demands) != 1 {
				t.Errorf("got %d load demands, want 1 for the model that no other backend server has", len(demands))
			}
		})
		t.Run(source+", plain service", func(t *testing.T) {
			r := newBornEndpointRouter(model.BackendIncarnation{ID: "a", Born: 1}, model.BackendIncarnation{ID: "b", Born: 1})
			state(r, testTime)
			for i := range 8 {
				if got := r.mustGrantEndpoint(t, testTime, model.Fingerprint(i), i%2 > 0).Endpoint.Backend; got != "b" {
					t.Fatalf("got %s, want b", got)
				}
			}
			_, err := r.grantEndpoint(testTime, &Request{Service: "desk", Avoid: []string{"b:1"}}, false)
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != ReasonNoEndpoint {
				t.Errorf("got %v with the other endpoint avoided, want a refusal", err)
			}
		})
	}
}

// TestLeavingAppliesToOneIncarnation guards against a backend server that gets no requests because an earlier process of it was
// leaving, and against late statements that bring this back or lose it.
func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	tests := []struct {
		name   string
		states []model.BackendStatement // in the order of their arrival
		born   int64                    // of the listed incarnation
		after  time.Duration
		want   bool
	}{
		{name: "none", born: 5},
		{name: "stated", states: []model.BackendStatement{leavingStatement("a", 5, testTime)}, born: 5, want: true},
		{name: "long ago", states: []model.BackendStatement{leavingStatement("a", 5, testTime)}, born: 5, after: 24 * time.Hour, want: true},
		{name: "restarted", states: []model.BackendStatement{leavingStatement("a", 5, testTime)}, born: 6},
		{name: "late statement of the earlier incarnation", states: []model.BackendStatement{leavingStatement("a", 6, testTime), leavingStatement("a", 5, testTime.Add(time.Second))}, born: 6, want: true},
		{name: "late statement after the restart", states: []model.BackendStatement{leavingStatement("a", 5, testTime)}, born: 6},
		{name: "both incarnations", states: []model.BackendStatement{leavingStatement("a", 5, testTime), leavingStatement("a", 6, testTime)}, born: 6, want: true},
		{name: "the list has an earlier incarnation", states: []model.BackendStatement{leavingStatement("a", 6, testTime)}, born: 5, want: true},
		{name: "limit without the statement", states: []model.BackendStatement{leavingStatement("a", 5, testTime), limitOf("a", 2), {Backend: "a", At: testTime.Add(time.Second)}}, born: 5, want: true},
		{name: "unknown incarnation", states: []model.BackendStatement{leavingStatement("a", 0, testTime)}, want: true},
		{name: "unknown incarnation, long ago", states: []model.BackendStatement{leavingStatement("a", 0, testTime)}, after: unknownIncarnationTTL},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(DefaultPolicy())
			for _, s := range tt.states {
				r.MergeStatements(testTime, []model.BackendStatement{s})
			}
			now := testTime.Add(tt.after)
			r.RetainStatements(now, func(string) (int64, bool) { return tt.born, true })
			r.Step(now)
			if got := r.IsLeaving(now, "a", tt.born); got != tt.want {
				t.Errorf("got leaving %v, want %v", got, tt.want)
			}
			if got := r.CountStatements(now).Leaving; got > 0 != tt.want {
				t.Errorf("got %d backend servers counted as leaving, want leaving %v", got, tt.want)
			}
		})
	}
}

// TestLeavingOutlivesListing guards against a backend server that gets requests again because a restored store lists it without
// the state draining.
func TestLeavingOutlivesListing(t *testing.T) {
	r := newRouter(DefaultPolicy())
	r.RecordLeaving(testTime, "a", 5)
	r.ForgetLimit("a") // its entry was removed
	gone := func(string) (int64, bool) { return 0, false }
	r.RetainStatements(testTime.Add(departureRetention), gone)
	if !r.IsLeaving(testTime.Add(departureRetention), "a", 5) {
		t.Error("got a statement that ended with the entry in the list, want it kept")
	}
	r.RetainStatements(testTime.Add(departureRetention+time.Second), gone)
	if got := r.Statements(); len(got) > 0 {
		t.Errorf("got %v after the backend server is long gone, want nothing", got)
	}
}

// TestLeavingIsReportedOnce guards against a message for each response of a backend server that is leaving, and against a
// report that withdraws its limit.
func TestLeavingIsReportedOnce(t *testing.T) {
	held := &heldAllowances{}
	r := newRouter(DefaultPolicy(), bornReplica("a", 5))
	r.AllowanceRequester = held
	r.RecordLimit(limitOf("a", 2))
	held.requests = nil
	for i := range 100 {
		r.RecordLeaving(testTime.Add(time.Duration(i)*100*time.Millisecond), "a", 5)
	}
	if len(held.requests) != 1 || !held.requests[0].Limit.LeavingAt.Equal(testTime) || held.requests[0].Limit.PerSecond != 2 {
		t.Errorf("got reports %+v, want one with the first time and the limit", held.requests)
	}
	r.MergeStatements(testTime, []model.BackendStatement{leavingStatement("b", 5, testTime)})
	held.requests = nil
	r.RecordLeaving(testTime, "b", 5)
	if len(held.requests) != 0 {
		t.Errorf("got reports %+v of what another host has reported, want none", held.requests)
	}
}
