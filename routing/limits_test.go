package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/ratelimit"
)

// heldAllowances records the requests for allowances of a router. The test replies to them.
type heldAllowances struct{ requests []AllowanceRequest }

func (h *heldAllowances) RequestAllowances(requests []AllowanceRequest) {
	h.requests = append(h.requests, requests...)
}

// take returns the requests for an allowance since the last call, without reports.
func (h *heldAllowances) take() (asked []AllowanceRequest) {
	for _, r := range h.requests {
		if r.Count > 0 {
			asked = append(asked, r)
		}
	}
	h.requests = nil
	return asked
}

func limitOf(backend string, perSecond float64) model.BackendStatement {
	return model.BackendStatement{Backend: backend, PerSecond: perSecond, Stated: true, At: testTime}
}

// submit queues a ticket and sends the requests for allowances that are due.
func (r *Router) submit(now time.Time, t *Ticket) *Ticket {
	r.admit(now, t)
	r.requestAllowances(r.takeAllowanceRequests(now))
	return t
}

// TestLimitedBackendGetsWhatItsLeaderAllows guards against requests that are sent to a backend server with a limit without an
// allowance, and against requests that wait although they can't be sent in time.
func TestLimitedBackendGetsWhatItsLeaderAllows(t *testing.T) {
	held := &heldAllowances{}
	r := newRouter(DefaultPolicy(), replica("a", 16))
	r.AllowanceRequester = held
	r.RecordLimit(limitOf("a", 2))
	now := testTime
	var tickets []*Ticket
	for range 6 {
		tickets = append(tickets, r.submit(now, ticket(now, 10, 2*time.Second)))
	}
	asked := held.take()
	if len(asked) != 1 || asked[0].Count != 1 || !asked[0].Queued {
		t.Fatalf("got requests %+v, want one for one request that waits", asked)
	}
	now = now.Add(2 * time.Millisecond)
	r.ApplyAllowance(now, limitOf("a", 2), ratelimit.Reply{Count: 1, ValidFor: time.Second, RetryAfter: 500 * time.Millisecond, Spacing: 500 * time.Millisecond})
	if got, _ := tickets[0].outcome(); got != "a" {
		t.Errorf("got %s for the first request, want a", got)
	}
	refused := 0
	for _, tk := range tickets[1:] {
		if got, _ := tk.outcome(); got == string(ReasonLimited) {
			refused++
		}
	}
	if refused < 2 {
		t.Errorf("got %d of 5 requests refused at once, want at least those 2 that would have to wait 2 s and longer", refused)
	}
	if granted := r.fleet.get("a").ownRequests; granted != 1 {
		t.Errorf("got %d requests sent, want 1", granted)
	}
}

// TestRequestsGoToBackendsWithoutLimit guards against callers that wait for a backend server with a limit while another one
// could serve them, and against a backend server with a limit that gets nothing.
func TestRequestsGoToBackendsWithoutLimit(t *testing.T) {
	held := &heldAllowances{}
	r := newRouter(DefaultPolicy(), replica("a", 16), replica("b", 16))
	r.AllowanceRequester = held
	r.RecordLimit(limitOf("a", 2))
	now := testTime
	first := r.submit(now, ticket(now, 10, 2*time.Second))
	asked := held.take()
	if len(asked) != 1 || asked[0].Queued {
		t.Fatalf("got requests %+v, want one for a request that can be sent elsewhere", asked)
	}
	r.ApplyAllowance(now, limitOf("a", 2), ratelimit.Reply{RetryAfter: time.Second, Spacing: time.Second})
	second := r.submit(now, ticket(now, 10, 2*time.Second))
	for i, tk := range []*Ticket{first, second} {
		if got, _ := tk.outcome(); got != "b" {
			t.Errorf("got %s for request %d, want b", got, i)
		}
	}
	if asked := held.take(); len(asked) != 0 {
		t.Errorf("got requests %+v before RetryAfter, want none", asked)
	}
	now = now.Add(time.Second)
	third := r.submit(now, ticket(now, 10, 2*time.Second))
	r.Step(now.Add(maxReplyWait))
	if got, _ := third.outcome(); got != "b" {
		t.Errorf("got %s without a reply for %v, want b", got, maxReplyWait)
	}
}

// TestLimitEnds guards against a limit that goes on after it was withdrawn or the backend server was restarted, and against
// one that is brought back by an older statement.
func TestLimitEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(r *Router)
	}{
		{name: "withdrawn", end: func(r *Router) {
			r.RecordLimit(model.BackendStatement{Backend: "a", At: testTime.Add(2 * time.Second)})
			r.MergeStatements(testTime, []model.BackendStatement{limitOf("a", 2)})
		}},
		{name: "withdrawn elsewhere", end: func(r *Router) {
			r.MergeStatements(testTime, []model.BackendStatement{{Backend: "a", At: testTime.Add(time.Second)}})
		}},
		{name: "withdrawn at the leader", end: func(r *Router) {
			r.ApplyAllowance(testTime.Add(time.Second), model.BackendStatement{Backend: "a", At: testTime.Add(time.Second)}, ratelimit.Reply{})
		}},
		{name: "restarted", end: func(r *Router) { r.ForgetLimit("a") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(DefaultPolicy(), replica("a", 16))
			r.AllowanceRequester = &heldAllowances{}
			r.RecordLimit(limitOf("a", 2))
			waiting := r.submit(testTime, ticket(testTime, 10, 5*time.Second))
			if got, _ := waiting.outcome(); got != "waiting" {
				t.Fatalf("got %s at the limit, want waiting", got)
			}
			tt.end(r)
			r.Step(testTime.Add(2 * time.Second))
			if got, _ := waiting.outcome(); got != "a" {
				t.Errorf("got %s after the limit has ended, want a", got)
			}
		})
	}
}

// TestCallsOfLimitedServiceAreServedInOrder guards against calls to a plain service that overtake others at its limit, and
// against calls that wait although their turn comes too late.
func TestCallsOfLimitedServiceAreServedInOrder(t *testing.T) {
	held := &heldAllowances{}
	r := newEndpointRouter("a")
	r.AllowanceRequester = held
	r.RecordLimit(limitOf("a", 10))
	var offset atomic.Int64
	r.Now = func() time.Time { return testTime.Add(time.Duration(offset.Load())) }
	call := func() *Request {
		return &Request{Service: "desk", Deadline: testTime.Add(time.Second), Fingerprint: model.Fingerprint(offset.Add(1))}
	}
	first, second, third := call(), call(), call()
	for i, q := range []*Request{first, second, third} {
		_, err := r.grantEndpoint(testTime, q, false)
		var wait *allowanceWaitError
		if !errors.As(err, &wait) {
			t.Fatalf("got %v for call %d, want a wait", err, i)
		}
	}
	r.ApplyAllowance(testTime, limitOf("a", 10), ratelimit.Reply{Count: 1, ValidFor: time.Second, RetryAfter: 1200 * time.Millisecond, Spacing: 100 * time.Millisecond})
	if _, err := r.grantEndpoint(testTime, second, false); err == nil {
		t.Error("got a grant for the second call, want it behind the first")
	}
	if _, err := r.grantEndpoint(testTime, first, false); err != nil {
		t.Errorf("got %v for the first call, want a grant", err)
	}
	r.endWaiting(first)
	_, err := r.awaitEndpointGrant(context.Background(), third, false)
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != ReasonLimited || refused.RetryAfter < 1200*time.Millisecond {
		t.Errorf("got %v for the third call, want a refusal for the limit with the time of its turn", err)
	}
}

// TestCallIsNotSentAtItsDeadline guards against a call that waits for its turn until its deadline and is sent in vain.
func TestCallIsNotSentAtItsDeadline(t *testing.T) {
	tests := []struct {
		left time.Duration // at its turn
		want bool          // it is sent
	}{{left: time.Millisecond}, {left: minCallTime - time.Millisecond}, {left: minCallTime, want: true}}
	for _, tt := range tests {
		r := newEndpointRouter("a")
		r.AllowanceRequester = &heldAllowances{}
		r.RecordLimit(limitOf("a", 10))
		now := testTime
		r.Now = func() time.Time { return now }
		request := &Request{Service: "desk", Deadline: testTime.Add(time.Second), Fingerprint: 1}
		if _, err := r.grantEndpoint(now, request, false); err == nil {
			t.Fatal("got a grant, want a wait")
		}
		now = request.Deadline.Add(-tt.left)
		r.ApplyAllowance(now, limitOf("a", 10), ratelimit.Reply{Count: 1, ValidFor: time.Second})
		_, err := r.awaitEndpointGrant(context.Background(), request, false)
		var refused *RefusedError
		if sent := err == nil; sent != tt.want || !sent && (!errors.As(err, &refused) || refused.Reason != ReasonLimited) {
			t.Errorf("got %v with %v left, want a grant %v, else a refusal for the limit", err, tt.left, tt.want)
		}
	}
}

// TestChangingLimitIsReportedOnceASecond guards against a call to the leader of a limit for each response of a backend server
// whose limit changes all the time, or that states one in every other response.
func TestChangingLimitIsReportedOnceASecond(t *testing.T) {
	for _, alternating := range []bool{false, true} {
		held := &heldAllowances{}
		r := newRouter(DefaultPolicy(), replica("a", 16))
		r.AllowanceRequester = held
		for i := range 200 {
			s := model.BackendStatement{Backend: "a", PerSecond: float64(i + 1), Stated: true, At: testTime.Add(time.Duration(i) * 10 * time.Millisecond)}
			if alternating && i%2 > 0 {
				s.PerSecond, s.Stated = 0, false
			}
			r.RecordLimit(s)
		}
		if got := len(held.requests); got != 2 {
			t.Errorf("alternating %v: got %d reports in 2 s, want 2", alternating, got)
		}
	}
}
