package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"citronspread/model"
)

// newLoadRouter returns a router with one replica and the policy of hosts on the platform.
func newLoadRouter(replicas ...model.Replica) *Router {
	policy := evenPolicy()
	policy.FillFactor = 1.25
	r := newRouter(policy, replicas...)
	r.Picker = EvenPicker{4}
	return r
}

// TestFullServerGetsNoRequestUntilSomethingChanges guards against requests that are sent to a backend server that has just
// refused another one as full, the same request again or one that waits on the host.
func TestFullServerGetsNoRequestUntilSomethingChanges(t *testing.T) {
	at := func(d time.Duration) time.Time { return testTime.Add(d) }
	full := model.StatedLoad{Running: 16, Waiting: 2, Slots: 16, Slowness: 100}
	room := model.StatedLoad{Running: 10, Slots: 16, Slowness: 100}
	tests := []struct {
		name   string
		change func(r *Router, running *Grant)
		want   string
	}{
		{name: "nothing", change: func(*Router, *Grant) {}, want: "waiting"},
		{name: "the same load again", change: func(r *Router, _ *Grant) {
			r.RecordLoad(at(300*time.Millisecond), "a", LoadStatement{Load: full, Stated: true})
		}, want: "waiting"},
		{name: "a load with room", change: func(r *Router, _ *Grant) {
			r.RecordLoad(at(300*time.Millisecond), "a", LoadStatement{Load: room, Stated: true})
		}, want: "a"},
		{name: "another host knows of room", change: func(r *Router, _ *Grant) {
			l := model.BackendLoad{Backend: "a", Stated: room}
			l.Stated.At = at(250 * time.Millisecond)
			r.MergeLoads(at(300*time.Millisecond), []model.BackendLoad{l}, true)
		}, want: "a"},
		{name: "older news of room", change: func(r *Router, _ *Grant) {
			l := model.BackendLoad{Backend: "a", Held: model.HeldLoad{Requests: 3, At: at(-time.Second)}}
			r.MergeLoads(at(300*time.Millisecond), []model.BackendLoad{l}, true)
		}, want: "waiting"},
		{name: "a request there has ended", change: func(_ *Router, running *Grant) { running.Done(at(300*time.Millisecond), OutcomeComplete) }, want: "a"},
		{name: "a request there was refused", change: func(_ *Router, running *Grant) { running.Done(at(300*time.Millisecond), OutcomeOverloaded) }, want: "waiting"},
		{name: "the pause has passed", change: func(r *Router, _ *Grant) { r.Step(at(fullPause * 5 / 4)) }, want: "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newLoadRouter(replica("a", 16))
			running, refused, waiting := ticket(testTime, 10, time.Minute), ticket(testTime, 10, time.Minute), ticket(testTime, 10, time.Minute)
			r.admit(testTime, running)
			_, runningGrant := running.outcome()
			r.admit(testTime, refused)
			_, g := refused.outcome()
			r.RecordLoad(at(100*time.Millisecond), "a", LoadStatement{Load: full, Stated: true, Full: true})
			g.Done(at(100*time.Millisecond), OutcomeOverloaded)
			r.admit(at(200*time.Millisecond), waiting)
			if got, _ := waiting.outcome(); got != "waiting" {
				t.Fatalf("got %s after the refusal, want waiting", got)
			}
			tt.change(r, runningGrant)
			r.Step(at(400 * time.Millisecond))
			if got, _ := waiting.outcome(); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestOneRequestFindsOutWhetherServerIsFull guards against all waiting requests that are sent when the pause of a full backend
// server has passed, and against pauses that do not grow.
func TestOneRequestFindsOutWhetherServerIsFull(t *testing.T) {
	r := newLoadRouter(replica("a", 16))
	r.RecordLoad(testTime, "a", LoadStatement{Load: model.StatedLoad{Running: 16, Waiting: 2, Slots: 16}, Stated: true, Full: true})
	b := r.fleet.get("a")
	b.full.refuse(testTime, true, r.random)
	var tickets []*Ticket
	for range 5 {
		tickets = append(tickets, ticket(testTime, 10, time.Hour))
		r.admit(testTime, tickets[len(tickets)-1])
	}
	now, last := testTime, time.Duration(0)
	for round := range 4 {
		started := now
		var g *Grant
		for g == nil {
			if now = now.Add(10 * time.Millisecond); now.Sub(started) > 2*maxFullPause {
				t.Fatal("got no request after the longest pause")
			}
			r.Step(now)
			for _, tk := range tickets {
				if _, granted := tk.outcome(); granted != nil {
					if g != nil {
						t.Fatalf("round %d: got two requests at once, want one", round)
					}
					g = granted
				}
			}
		}
		pause := now.Sub(started)
		if pause < last*5/6 {
			t.Errorf("round %d: got a pause of %v after %v, want it to grow", round, pause, last)
		}
		last = pause
		g.Done(now, OutcomeOverloaded)
	}
}

// TestServerIsFullForAllHosts guards against a refusal that only the refused host heeds.
func TestServerIsFullForAllHosts(t *testing.T) {
	r := newLoadRouter(replica("a", 16), replica("b", 16))
	held := model.HeldLoad{Requests: 12, At: testTime.Add(-time.Second)}
	r.MergeLoads(testTime, []model.BackendLoad{{Backend: "a", Held: held, FullAt: testTime.Add(-300 * time.Millisecond)}, {Backend: "b", Held: held}}, true)
	for range 20 {
		tk := ticket(testTime, 10, time.Minute)
		r.admit(testTime, tk)
		if got, _ := tk.outcome(); got == "a" {
			t.Fatal("got a request at the backend server that refused one of another host, want all at the other")
		}
	}
}

// TestRefusalNamesFullServers guards against requests that wait for full backend servers and are refused without a trace of it.
func TestRefusalNamesFullServers(t *testing.T) {
	r := newLoadRouter(replica("a", 4))
	r.RecordLoad(testTime, "a", LoadStatement{Load: model.StatedLoad{Running: 4, Waiting: 12, Slots: 4}, Stated: true, Full: true})
	r.fleet.get("a").full.refuse(testTime, true, r.random)
	tk := ticket(testTime, 10, 100*time.Millisecond)
	r.admit(testTime, tk)
	r.Step(testTime.Add(200 * time.Millisecond))
	var refused *RefusedError
	select {
	case res := <-tk.result:
		if !errors.As(res.err, &refused) || refused.Reason != ReasonFull || len(refused.Backends) != 1 {
			t.Errorf("got %v, want a refusal that names the full backend server", res.err)
		}
	default:
		t.Error("got a request that waits beyond its deadline")
	}
}

// TestCallWaitsForFullEndpoint guards against calls to plain services that are sent to a full endpoint again, that wait although
// another endpoint has room, and that do not learn when there is room.
func TestCallWaitsForFullEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEndpointRouter("a", "b")
		r.Policy.AnyZone = true
		r.Picker = EvenPicker{4}
		started := time.Now()
		request := func(timeout time.Duration) Request {
			return Request{Service: "desk", Deadline: time.Now().Add(timeout), Fingerprint: model.Fingerprint(rand.Uint64())}
		}
		acquire := func(timeout time.Duration) (*EndpointGrant, error) {
			return r.AcquireEndpoint(context.Background(), request(timeout))
		}
		first, err := acquire(time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		first.Done(time.Now(), OutcomeOverloaded)
		running, err := acquire(time.Minute)
		if err != nil || running.Endpoint.Address == first.Endpoint.Address {
			t.Fatalf("got %v, %v after a refusal, want the other endpoint", running, err)
		}
		second, err := acquire(time.Minute)
		if err != nil || second.Endpoint.Address == first.Endpoint.Address {
			t.Fatalf("got %v, %v after a refusal, want the other endpoint", second, err)
		}
		second.Done(time.Now(), OutcomeOverloaded)
		var refused *RefusedError
		if _, err := acquire(100 * time.Millisecond); !errors.As(err, &refused) || refused.Reason != ReasonFull || len(refused.Backends) != 2 {
			t.Errorf("got %v while both are full, want a refusal that names them", err)
		}
		if time.Since(started) > 0 {
			t.Errorf("got a refusal after %v, want it at once", time.Since(started))
		}
		go func() {
			time.Sleep(50 * time.Millisecond)
			running.Done(time.Now(), OutcomeComplete)
		}()
		third, err := acquire(time.Minute)
		if err != nil || third.Endpoint.Address != running.Endpoint.Address || time.Since(started) != 50*time.Millisecond {
			t.Errorf("got %v, %v after %v, want the endpoint at which a call has ended, after 50ms", third, err, time.Since(started))
		}
		fourth, err := acquire(time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(started); waited < blindPause*3/4 || waited > blindPause*3/2 {
			t.Errorf("got the next call to a full endpoint (%s) after %v, want it after a pause of about %v", fourth.Endpoint.Address, waited, blindPause)
		}
	})
}

// TestServerWithLimitIsNotFull guards against a long pause of a backend server that refuses a request because its stated limit
// is used up.
func TestServerWithLimitIsNotFull(t *testing.T) {
	r := newLoadRouter(replica("a", 16))
	r.RecordLimit(limitOf("a", 2))
	b := r.fleet.get("a")
	r.RecordLoad(testTime, "a", LoadStatement{Full: true})
	r.endFull(testTime, &b.full, "a", testTime, OutcomeOverloaded)
	if got := b.full.until.Sub(testTime); got > 2*deniedPause {
		t.Errorf("got a pause of %v, want at most %v", got, 2*deniedPause)
	}
	if l, _ := r.Load("a"); !l.FullAt.IsZero() {
		t.Error("got a full backend server, want it not reported as full")
	}
}
