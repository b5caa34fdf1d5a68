package routing

import (
	"errors"
	"testing"
	"time"

	"citronspread/model"
)

// TestBackendInBackOffGetsNothing guards against requests to one of three backend servers that has turned a request away with
// Retry-After, under load, and against a burst when the time is over.
func TestBackendInBackOffGetsNothing(t *testing.T) {
	const (
		wait       = 2 * time.Second
		step       = 5 * time.Millisecond // a request each
		mostInRamp = 4                    // in any 50 ms of the first half of rampTime
	)
	granted := map[string]func() func(now time.Time) (backend string, done func(now time.Time, o Outcome)){
		"model": func() func(now time.Time) (string, func(now time.Time, o Outcome)) {
			r := newRouter(DefaultPolicy(), bornReplica("a", 1), bornReplica("b", 1), bornReplica("c", 1))
			r.RecordBackOff(testTime, "a", 1, wait)
			return func(now time.Time) (string, func(now time.Time, o Outcome)) {
				tk := ticket(now, 10, 2*time.Second)
				r.admit(now, tk)
				backend, grant := tk.outcome()
				if grant == nil {
					return backend, func(time.Time, Outcome) {}
				}
				return backend, grant.Done
			}
		},
		"plain service": func() func(now time.Time) (string, func(now time.Time, o Outcome)) {
			r := newBornEndpointRouter(model.BackendIncarnation{ID: "a", Born: 1}, model.BackendIncarnation{ID: "b", Born: 1}, model.BackendIncarnation{ID: "c", Born: 1})
			r.RecordBackOff(testTime, "a", 1, wait)
			return func(now time.Time) (string, func(now time.Time, o Outcome)) {
				grant, err := r.grantEndpoint(now, &Request{Service: "desk"}, false)
				if err != nil {
					return err.Error(), func(time.Time, Outcome) {}
				}
				return grant.Endpoint.Backend, grant.Done
			}
		},
	}
	for kind, start := range granted {
		t.Run(kind, func(t *testing.T) {
			grant := start()
			var at []time.Duration // of requests to a
			for after := time.Duration(0); after < wait+2*rampTime; after += step {
				backend, done := grant(testTime.Add(after))
				switch backend {
				case "a":
					at = append(at, after)
				case "b", "c":
				default:
					t.Fatalf("got %s after %v, want a grant", backend, after)
				}
				done(testTime.Add(after+step/2), OutcomeComplete)
			}
			if len(at) == 0 || at[0] < wait {
				t.Fatalf("got requests to the backend server in back-off at %v, want the first after %v", at, wait)
			}
			for i := mostInRamp; i < len(at) && at[i] < wait+rampTime/2; i++ {
				if at[i]-at[i-mostInRamp] <= rampInterval {
					t.Errorf("got %d requests from %v to %v, want at most %d in %v", mostInRamp+1, at[i-mostInRamp], at[i], mostInRamp, rampInterval)
				}
			}
			if last := at[len(at)-1]; last < wait+rampTime {
				t.Errorf("got the last request after %v, want requests after the ramp", last)
			}
		})
	}
}

// TestWaitingRequestsFollowBackOffAtIntervals guards against a burst of the requests that wait when a back-off ends.
func TestWaitingRequestsFollowBackOffAtIntervals(t *testing.T) {
	const wait, waiting = time.Second, 12
	r := newRouter(DefaultPolicy(), bornReplica("a", 1), bornReplica("b", 1))
	r.RecordBackOff(testTime, "a", 1, wait)
	r.fleet.get("b").pausedUntil = testTime.Add(time.Hour) // not in back-off, but without room
	var tickets []*Ticket
	for range waiting {
		tickets = append(tickets, ticket(testTime, 10, time.Minute))
		r.admit(testTime, tickets[len(tickets)-1])
	}
	granted := 0
	for after := time.Duration(0); after < wait+rampTime; after += tickInterval {
		r.Step(testTime.Add(after))
		inStep := 0
		for _, tk := range tickets {
			if got, _ := tk.outcome(); got == "a" {
				inStep++
			} else if got != "waiting" {
				t.Fatalf("got %s after %v, want a or a longer wait", got, after)
			}
		}
		if inStep > 0 && after < wait || inStep > 1 {
			t.Errorf("got %d grants after %v, want none before %v and one at a time then", inStep, after, wait)
		}
		granted += inStep
	}
	if granted != waiting {
		t.Errorf("got %d of %d requests granted at the end of the ramp, want all", granted, waiting)
	}
}

// TestAllBackendsInBackOff guards against callers that wait, or come back too early, while no backend server that could serve them
// wants requests.
func TestAllBackendsInBackOff(t *testing.T) {
	ends := map[string]time.Duration{"a": 7 * time.Second, "b": 3 * time.Second, "c": 5 * time.Second}
	state := func(r *Router) {
		for backend, wait := range ends {
			r.RecordBackOff(testTime, backend, 1, wait)
		}
	}
	check := func(t *testing.T, err error) {
		t.Helper()
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != ReasonBackOff || refused.RetryAfter != 3*time.Second || len(refused.Backends) != 3 {
			t.Errorf("got %v, want a refusal for the back-off of 3 backend servers with the earliest end, after 3 s", err)
		}
	}
	t.Run("model", func(t *testing.T) {
		r := newRouter(DefaultPolicy(), bornReplica("a", 1), bornReplica("b", 1), bornReplica("c", 1))
		for backend := range ends {
			r.fleet.get(backend).pausedUntil = testTime.Add(time.Second)
		}
		waiting, late := ticket(testTime, 10, time.Minute), ticket(testTime, 10, time.Minute)
		r.admit(testTime, waiting)
		if got, _ := waiting.outcome(); got != "waiting" {
			t.Fatalf("got %s before the statements, want waiting", got)
		}
		state(r)
		r.admit(testTime, late)
		for _, tk := range []*Ticket{waiting, late} {
			select {
			case res := <-tk.result:
				check(t, res.err)
			default:
				t.Error("got a request that waits, want a refusal")
			}
		}
		if got := r.BackOffWait(testTime, Target{Key: testKey}, ""); got != 3*time.Second {
			t.Errorf("got a wait of %v, want 3 s", got)
		}
	})
	t.Run("plain service", func(t *testing.T) {
		r := newBornEndpointRouter(model.BackendIncarnation{ID: "a", Born: 1}, model.BackendIncarnation{ID: "b", Born: 1}, model.BackendIncarnation{ID: "c", Born: 1})
		state(r)
		_, err := r.grantEndpoint(testTime, &Request{Service: "desk"}, false)
		check(t, err)
		if got := r.BackOffWait(testTime, Target{}, "desk"); got != 3*time.Second {
			t.Errorf("got a wait of %v, want 3 s", got)
		}
	})
}

// TestBackOffOfIncarnation guards against back-offs that outlive the process that stated them, are cut short by a later statement,
// or last for hours.
func TestBackOffOfIncarnation(t *testing.T) {
	type statement struct {
		after, wait time.Duration
		born        int64
	}
	tests := []struct {
		name       string
		statements []statement
		born       int64
		want       time.Duration // end, 0 for none
	}{
		{name: "one", statements: []statement{{0, time.Second, 5}}, born: 5, want: time.Second},
		{name: "none", statements: []statement{{0, 0, 5}}, born: 5},
		{name: "negative", statements: []statement{{0, -time.Second, 5}}, born: 5},
		{name: "hours", statements: []statement{{0, 1000 * time.Hour, 5}}, born: 5, want: maxBackOff},
		{name: "restarted", statements: []statement{{0, time.Second, 5}}, born: 6},
		{name: "later end", statements: []statement{{0, time.Second, 5}, {500 * time.Millisecond, time.Second, 5}}, born: 5, want: 1500 * time.Millisecond},
		{name: "earlier end", statements: []statement{{0, 2 * time.Second, 5}, {500 * time.Millisecond, time.Second, 5}}, born: 5, want: 2 * time.Second},
		{name: "late statement of an earlier incarnation", statements: []statement{{0, time.Second, 6}, {500 * time.Millisecond, 9 * time.Second, 5}}, born: 6, want: time.Second},
		{name: "unknown incarnation", statements: []statement{{0, time.Second, 0}}, want: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(DefaultPolicy())
			var now time.Time
			for _, s := range tt.statements {
				now = testTime.Add(s.after)
				r.RecordBackOff(now, "a", s.born, s.wait)
			}
			r.RetainStatements(now, func(string) (int64, bool) { return tt.born, true })
			if got := r.CountStatements(now).InBackOff; got > 0 != (tt.want > 0) {
				t.Errorf("got %d backend servers counted as in back-off, want in back-off %v", got, tt.want > 0)
			}
			until, inBackOff := r.BackOffEnd(now, "a", tt.born)
			if want := testTime.Add(tt.want); inBackOff != (tt.want > 0) || inBackOff && !until.Equal(want) {
				t.Errorf("got %v, %v, want the end after %v", until.Sub(testTime), inBackOff, tt.want)
			}
			r.Step(testTime.Add(maxBackOff + rampTime))
			if got := len(r.stated.backOffs); got > 0 {
				t.Errorf("got %d back-offs after the longest one, want none", got)
			}
		})
	}
}
