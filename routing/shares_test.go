package routing

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/fairshare"
)

// workspaceTicket returns a ticket of a workspace with a cost of 100 and a deadline that is far away.
func workspaceTicket(now time.Time, workspace string) *Ticket {
	t := ticket(now, 0, time.Hour)
	t.Workspace, t.PromptTokens = workspace, 100
	return t
}

// grantAll runs one request at a time on the replica "a" until none waits, and returns the tickets in the order of service.
// Its service is charged with the expected cost.
func grantAll(r *Router, now time.Time, waiting []*Ticket) []*Ticket {
	var order []*Ticket
	for {
		var granted *Ticket
		var grant *Grant
		for _, t := range waiting {
			if _, g := t.outcome(); g != nil {
				granted, grant = t, g
			}
		}
		if granted == nil {
			return order
		}
		order = append(order, granted)
		grant.Done(now, OutcomeRejected)
	}
}

func names(tickets []*Ticket) []string {
	var found []string
	for _, t := range tickets {
		found = append(found, t.ID)
	}
	return found
}

// TestOrderOfService guards against a workspace that is served more than others of its priority because it sends more
// requests or states earlier deadlines, and against streams that are not resumed first.
func TestOrderOfService(t *testing.T) {
	type request struct {
		id, workspace string
		priority      int
		deadline      time.Duration // 0 for an hour
		resumed       bool
	}
	tests := []struct {
		name     string
		served   map[string]float64 // while they wait
		requests []request
		want     []string
	}{
		{
			name:     "workspaces in turn",
			requests: []request{{id: "a1", workspace: "a"}, {id: "a2", workspace: "a"}, {id: "a3", workspace: "a"}, {id: "b1", workspace: "b"}, {id: "b2", workspace: "b"}},
			want:     []string{"a1", "b1", "a2", "b2", "a3"},
		},
		{
			name:     "the one that was served less first",
			served:   map[string]float64{"a": 250},
			requests: []request{{id: "a1", workspace: "a"}, {id: "b1", workspace: "b"}, {id: "b2", workspace: "b"}, {id: "b3", workspace: "b"}, {id: "b4", workspace: "b"}},
			want:     []string{"b1", "b2", "b3", "a1", "b4"},
		},
		{
			name:     "deadlines within a workspace only",
			requests: []request{{id: "a1", workspace: "a"}, {id: "b1", workspace: "b", deadline: time.Minute}, {id: "b2", workspace: "b", deadline: time.Second * 30}, {id: "a2", workspace: "a"}},
			want:     []string{"b2", "a1", "b1", "a2"},
		},
		{
			name:     "priority before service",
			served:   map[string]float64{"a": 5000},
			requests: []request{{id: "b1", workspace: "b"}, {id: "a1", workspace: "a", priority: 90}, {id: "a2", workspace: "a", priority: 90}},
			want:     []string{"a1", "a2", "b1"},
		},
		{
			name:     "resumed streams first",
			served:   map[string]float64{"a": 5000},
			requests: []request{{id: "b1", workspace: "b"}, {id: "b2", workspace: "b", resumed: true}, {id: "a1", workspace: "a", resumed: true, deadline: time.Minute}, {id: "", workspace: ""}},
			want:     []string{"a1", "b2", "", "b1"},
		},
		{
			name:     "a resumed stream of a lower priority",
			requests: []request{{id: "a1", workspace: "a", priority: 90}, {id: "b1", workspace: "b", resumed: true}},
			want:     []string{"a1", "b1"},
		},
		{
			name:     "requests without a workspace are one of the workspaces",
			requests: []request{{id: "1"}, {id: "2", deadline: time.Minute}, {id: "3", priority: 60}, {id: "a1", workspace: "a"}, {id: "a2", workspace: "a"}},
			want:     []string{"3", "a1", "2", "a2", "1"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(DefaultPolicy())
			var waiting []*Ticket
			for _, q := range tt.requests {
				tk := workspaceTicket(testTime, q.workspace)
				tk.ID, tk.Resumed = q.id, q.resumed
				tk.Priority = cmp.Or(q.priority, tk.Priority)
				if q.deadline > 0 {
					tk.Deadline = testTime.Add(q.deadline)
				}
				r.admit(testTime, tk)
				waiting = append(waiting, tk)
			}
			for workspace, service := range tt.served {
				r.queue.Shares.Charge(testTime, testTime, workspace, service)
			}
			publish(r, replica("a", 1))
			r.Step(testTime)
			if got := names(grantAll(r, testTime, waiting)); !slices.Equal(got, tt.want) {
				t.Errorf("got order %q, want %q", got, tt.want)
			}
		})
	}
}

// referenceBefore is the order of service in a deployment without workspaces.
func referenceBefore(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Class, b.Class), a.Deadline.Compare(b.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// fixedPredictor predicts the same wait for each request.
type fixedPredictor struct {
	each, service time.Duration
}

func (p fixedPredictor) Forecast(time.Time, Target, Class) Forecast {
	return Forecast{Start: p.each, Each: p.each}
}

func (p fixedPredictor) ServiceTime(time.Time, *Ticket) time.Duration { return p.service }

// TestQueueWithoutWorkspaces is a fuzz that guards against any change for deployments without workspaces: the order of
// service, the refused request of a full queue, the predicted positions and the requests that are predicted to be late are
// those of sorted class queues.
func TestQueueWithoutWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Limit: rapid.IntRange(1, 20).Draw(t, "limit")}
		targets := []Target{{Key: testKey}, {Key: testKey, Adapter: "gate"}}
		var waiting []*Ticket
		classQueueOf := func(target Target, class Class) []*Ticket {
			found := slices.DeleteFunc(slices.Clone(waiting), func(w *Ticket) bool { return w.Target != target || w.Class != class })
			slices.SortFunc(found, referenceBefore)
			return found
		}
		now := testTime
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				tk := ticket(now, 0, time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout"))*100*time.Millisecond)
				tk.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				tk.Resumed = rapid.Bool().Draw(t, "resumed")
				tk.Class = Class(rapid.IntRange(0, 1).Draw(t, "class"))
				tk.Target = rapid.SampledFrom(targets).Draw(t, "target")
				tk.cost = float64(rapid.IntRange(0, 1000).Draw(t, "cost"))
				refused := q.Push(now, tk)
				var want *Ticket
				if len(waiting) == q.Limit {
					last := slices.MaxFunc(waiting, func(a, b *Ticket) int { return compareTickets(a, b) })
					if want = tk; last.Priority < tk.Priority {
						want = last
					}
				}
				if refused != want {
					t.Fatalf("got %+v refused, want %+v", refused, want)
				}
				waiting = append(waiting, tk)
				waiting = slices.DeleteFunc(waiting, func(w *Ticket) bool { return w == refused })
			},
			"grant": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("no waiting requests")
				}
				cursors := q.cursors()
				got := cursors[bestCursor(cursors)].ticket()
				if want := slices.MinFunc(waiting, referenceBefore); got != want {
					t.Fatalf("got %+v served first, want %+v", got.Request, want.Request)
				}
				q.Grant(now, got)
				waiting = slices.DeleteFunc(waiting, func(w *Ticket) bool { return w == got })
			},
			"withdraw": func(t *rapid.T) {
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
					q.Withdraw(now, waiting[i])
					waiting = slices.Delete(waiting, i, i+1)
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				predictor := fixedPredictor{each: time.Duration(rapid.IntRange(0, 400).Draw(t, "each")) * time.Millisecond, service: 100 * time.Millisecond}
				var want []*Ticket
				for _, target := range targets {
					for class := range classes {
						ahead := 0
						sorted := classQueueOf(target, class)
						for i, w := range sorted {
							classQueue := &q.TargetQueue(target).ByClass[class]
							if got, found := classQueue.position(w, q.Shares.Scale(now)); !found || got != i {
								t.Fatalf("got position %d of %d, want %d", got, len(sorted), i)
							}
							if got := classQueue.endPosition(w, q.Shares.Scale(now)); got != len(sorted) {
								t.Fatalf("got position %d at the end, want %d", got, len(sorted))
							}
							start := now.Add(Forecast{Start: predictor.each, Each: predictor.each}.Wait(ahead))
							if w.isLate(start, start.Add(predictor.service)) || !now.Before(w.expiresAt()) {
								want = append(want, w)
								continue
							}
							ahead++
						}
					}
				}
				got := q.PredictedLate(now, predictor)
				slices.SortFunc(got, func(a, b *Ticket) int { return cmp.Compare(a.sequence, b.sequence) })
				slices.SortFunc(want, func(a, b *Ticket) int { return cmp.Compare(a.sequence, b.sequence) })
				if !slices.Equal(got, want) {
					t.Fatalf("got %d late, want %d", len(got), len(want))
				}
			},
		})
	})
}

// TestFullQueue guards against a workspace that fills the queue, so that requests of others are refused, and against a
// request that is refused and comes back at once in place of one that waited.
func TestFullQueue(t *testing.T) {
	policy := DefaultPolicy()
	policy.QueueLimit = 6
	r := newRouter(policy)
	var flood []*Ticket
	for range 6 {
		tk := workspaceTicket(testTime, "flood")
		flood = append(flood, tk)
		r.admit(testTime, tk)
	}
	refusal := func(tk *Ticket) string {
		got, _ := tk.outcome()
		return got
	}
	for _, name := range []string{"flood", "flood"} { // also one that comes back at once
		tk := workspaceTicket(testTime, name)
		tk.Deadline = testTime.Add(time.Minute)
		r.admit(testTime, tk)
		if got := refusal(tk); got != string(ReasonQueueFull) {
			t.Errorf("got %s for a further request of the workspace that fills the queue, want %s", got, ReasonQueueFull)
		}
	}
	var others []*Ticket
	for i := range 3 {
		tk := workspaceTicket(testTime, "usual")
		others = append(others, tk)
		r.admit(testTime, tk)
		if got := refusal(flood[5-i]); got != string(ReasonDisplaced) {
			t.Errorf("got %s for the last request of the workspace that fills the queue, want %s", got, ReasonDisplaced)
		}
	}
	equal := workspaceTicket(testTime, "usual")
	r.admit(testTime, equal)
	if got := refusal(equal); got != string(ReasonQueueFull) {
		t.Errorf("got %s for a request beyond the workspace's half of the queue, want %s", got, ReasonQueueFull)
	}
	r.queue.Shares.Charge(testTime, testTime, "flood", 50)
	resumed := workspaceTicket(testTime, "flood")
	resumed.Resumed = true
	r.admit(testTime, resumed)
	if got := refusal(resumed); got != "waiting" {
		t.Errorf("got %s for a resumed stream, want it waiting", got)
	}
	if got := count(others, "waiting"); got != 3 {
		t.Errorf("got %d waiting requests of the other workspace, want 3", got)
	}
}

// TestRefusalByTurn guards against requests that wait although others will be served before them until they are late, and
// against a Retry-After at which they are refused again.
func TestRefusalByTurn(t *testing.T) {
	r := newRouter(DefaultPolicy(), replica("a", 1))
	first := workspaceTicket(testTime, "flood")
	r.admit(testTime, first)
	_, g := first.outcome()
	now := testTime.Add(time.Second)
	g.Token(now)
	g.Done(now, OutcomeComplete) // a request takes a second
	running := workspaceTicket(now, "flood")
	r.admit(now, running)
	for range 4 {
		r.admit(now, workspaceTicket(now, "usual"))
	}
	r.queue.Shares.Charge(now, now, "flood", 1000)
	late := &Ticket{Request: workspaceTicket(now, "flood").Request, result: make(chan result, 1)}
	late.Deadline = now.Add(4500 * time.Millisecond)
	r.admit(now, late)
	res := <-late.result
	refused, ok := res.err.(*RefusedError)
	if !ok || refused.Reason != ReasonLate {
		t.Fatalf("got %+v, want a refusal as late", res)
	}
	if got, want := refused.RetryAfter, 5*time.Second; got < want || got > 2*want {
		t.Errorf("got to retry after %v, want after the four requests before it", got)
	}
	if turn := refused.Turn; turn == nil || turn.Workspace != "flood" || turn.Counter < 1000 || turn.Lowest > 500 || turn.Ahead != 4 {
		t.Errorf("got turn %+v, want the counters of both workspaces and 4 requests ahead", turn)
	}
	inTime := workspaceTicket(now, "usual-2")
	inTime.Deadline = late.Deadline
	r.admit(now, inTime)
	if got, _ := inTime.outcome(); got != "waiting" {
		t.Errorf("got %s for a workspace whose turn comes earlier, want it waiting", got)
	}
}

// TestTurnCountsLaterRequests guards against the prediction that a workspace is served as soon as those that wait now are,
// while others get four grants for each one of it.
func TestTurnCountsLaterRequests(t *testing.T) {
	var q ClassQueue
	var shares fairshare.Counters
	add := func(workspace string) *Ticket {
		tk := workspaceTicket(testTime, workspace)
		tk.account = shares.Account(testTime, workspace)
		tk.sequence = uint64(q.Len() + 1)
		q.insert(tk)
		return tk
	}
	flood := []*Ticket{add("flood"), add("flood"), add("flood")}
	for i := range 20 {
		tk := flood[0]
		if i%5 > 0 {
			tk = add("usual")
		}
		q.recordGrant(tk)
		if i%5 > 0 {
			q.remove(tk)
		}
	}
	ahead, found := q.position(flood[2], shares.Scale(testTime))
	if !found || ahead < 8 || ahead > 11 {
		t.Errorf("got %d requests before the third one of the workspace, want about 10", ahead)
	}
}

// TestTurnCountsOvertaking guards against the prediction that a workspace with a high counter is served as soon as those that
// wait now are, although most grants go to requests that arrive later, and against a workspace with a low counter that is
// refused because of them.
func TestTurnCountsOvertaking(t *testing.T) {
	var q ClassQueue
	var shares fairshare.Counters
	add := func(workspace string, service float64) *Ticket {
		shares.Charge(testTime, testTime, workspace, service)
		tk := workspaceTicket(testTime, workspace)
		tk.account, tk.cost = shares.Account(testTime, workspace), 100
		tk.sequence = testSequence.Add(1)
		q.insert(tk)
		return tk
	}
	high := add("high", 900)
	waiting := []*Ticket{add("a", 10), add("b", 20), add("c", 30)}
	for range 20 {
		tk := add("low", 0)
		q.recordGrant(tk)
		q.remove(tk)
	}
	if got, _ := q.position(high, shares.Scale(testTime)); got <= len(waiting) || got > 2*len(waiting)+1 {
		t.Errorf("got %d requests before that with the highest counter, want more than the %d that wait", got, len(waiting))
	}
	if got, _ := q.position(waiting[0], shares.Scale(testTime)); got != 0 {
		t.Errorf("got %d requests before that with the lowest counter, want none", got)
	}
}

// TestRetriesAreCharged guards against retries that are free: each send counts, unless the backend server did not run it.
func TestRetriesAreCharged(t *testing.T) {
	tests := []struct {
		name      string
		maxTokens int
		tokens    int
		outcomes  []Outcome
		want      float64
	}{
		{name: "complete stream", tokens: 40, maxTokens: 100, outcomes: []Outcome{OutcomeComplete}, want: 180},
		{name: "interrupted and sent again", tokens: 40, outcomes: []Outcome{OutcomeConnectionLost, OutcomeComplete}, want: 360},
		{name: "not run", outcomes: []Outcome{OutcomeOverloaded, OutcomeNotLoaded, OutcomeUnreachable, OutcomeNoPlace}, want: 0},
		{name: "without events", maxTokens: 30, outcomes: []Outcome{OutcomeComplete}, want: 160},
		{name: "caller disconnected", maxTokens: 30, outcomes: []Outcome{OutcomeAbandoned}, want: 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(DefaultPolicy(), replica("a", 1))
			for i, outcome := range tt.outcomes {
				now := testTime.Add(time.Duration(i) * time.Microsecond)
				r.fleet.get("a").pausedUntil, r.fleet.get("a").full = time.Time{}, fullState{}
				clear(r.fleet.get("a").notLoadedAt)
				tk := workspaceTicket(now, "a")
				tk.MaxTokens = tt.maxTokens
				r.admit(now, tk)
				_, g := tk.outcome()
				for range tt.tokens {
					g.Token(now)
				}
				g.Done(now, outcome)
			}
			got := r.queue.Shares.Counter(testTime, r.queue.Shares.Account(testTime, "a"))
			if math.Abs(got-tt.want) > 0.1 {
				t.Errorf("got counter %v, want %v", got, tt.want)
			}
		})
	}
}

// TestExpectedOutputIsCharged guards against a workspace that gets many long responses at once because their tokens are
// charged only as they are produced.
func TestExpectedOutputIsCharged(t *testing.T) {
	r := newRouter(DefaultPolicy(), replica("a", 2))
	for range 2 {
		tk := workspaceTicket(testTime, "a")
		r.admit(testTime, tk)
		_, g := tk.outcome()
		before := r.queue.Shares.Counter(testTime, tk.account)
		for range 50 {
			g.Token(testTime)
		}
		g.Done(testTime, OutcomeComplete)
		if got, want := r.queue.Shares.Counter(testTime, tk.account)-before, 100.0; math.Abs(got-want) > 100.1 {
			t.Errorf("got %v more charged at the end, want at most %v", got, want)
		}
	}
	tk := workspaceTicket(testTime, "a")
	r.admit(testTime, tk)
	if got, want := r.queue.Shares.Counter(testTime, tk.account), 600.0; math.Abs(got-want) > 0.1 {
		t.Errorf("got counter %v when the third request is sent, want %v", got, want)
	}
}

// sharesMachine drives a router in virtual time with two workspaces that always have waiting requests, and others. It checks
// that no request is lost or waits past its deadline, and that the two get equal service but for a bounded amount.
type sharesMachine struct {
	router   *Router
	now      time.Time
	waiting  []*Ticket
	running  []*Grant
	service  map[string]float64
	pushed   int
	resolved int
}

const (
	machineCapacity  = 4
	machineMaxPrompt = 1000
	machineMaxTokens = 200
)

func (m *sharesMachine) submit(t *rapid.T, workspace string) {
	tk := ticket(m.now, rapid.IntRange(0, machineMaxTokens).Draw(t, "max"), time.Hour)
	tk.Workspace, tk.PromptTokens = workspace, rapid.IntRange(1, machineMaxPrompt).Draw(t, "prompt")
	tk.Deadline = tk.Deadline.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "later")) * time.Second)
	m.pushed++
	m.waiting = append(m.waiting, tk)
	m.router.admit(m.now, tk)
	m.collect()
}

func (m *sharesMachine) collect() {
	m.waiting = slices.DeleteFunc(m.waiting, func(tk *Ticket) bool {
		got, g := tk.outcome()
		if got == "waiting" {
			return false
		}
		m.resolved++
		if g != nil {
			m.running = append(m.running, g)
		}
		return true
	})
}

// fill keeps two requests of each of the backlogged workspaces waiting.
func (m *sharesMachine) fill(t *rapid.T) {
	for _, workspace := range []string{"a", "b"} {
		for {
			held := 0
			for _, tk := range m.waiting {
				if tk.Workspace == workspace {
					held++
				}
			}
			if held >= 2 {
				break
			}
			m.submit(t, workspace)
		}
	}
}

// Done ends a running request.
func (m *sharesMachine) Done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no running requests")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	g := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	tokens := 0
	if limit := g.ticket.MaxTokens; limit > 0 {
		tokens = rapid.IntRange(1, limit).Draw(t, "tokens")
	}
	for range tokens {
		g.Token(m.now)
	}
	outcome := OutcomeConnectionLost
	if tokens > 0 {
		outcome = OutcomeComplete
	}
	m.service[g.ticket.Workspace] += fairshare.Cost(g.ticket.PromptTokens, tokens)
	g.Done(m.now, outcome)
	m.router.fleet.get("a").pausedUntil = time.Time{}
	m.router.Step(m.now)
	m.collect()
}

// Check is called after each action.
func (m *sharesMachine) Check(t *rapid.T) {
	m.fill(t)
	if m.resolved+len(m.waiting) != m.pushed || !m.router.queue.Balanced() {
		t.Fatalf("got %d resolved and %d waiting of %d requests, want all accounted for", m.resolved, len(m.waiting), m.pushed)
	}
	// One request more, those that run, which count only when they end here, and what was charged in advance in error.
	const bound = (machineCapacity+1)*(machineMaxPrompt+2*machineMaxTokens) + machineCapacity*2*machineMaxTokens
	if got := math.Abs(m.service["a"] - m.service["b"]); got > bound {
		t.Fatalf("got service %v of two workspaces that always wait, want a difference of at most %v", m.service, bound)
	}
}

// TestBackloggedWorkspacesGetEqualService guards against a workspace that is served more than another one by an order of
// requests, lengths and arrivals of others that simulations do not contain.
func TestBackloggedWorkspacesGetEqualService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.QueueLimit = 1000
		m := &sharesMachine{router: newRouter(policy, replica("a", machineCapacity)), now: testTime, service: make(map[string]float64)}
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "done": m.Done, "done again": m.Done, "and again": m.Done,
			"other":     func(t *rapid.T) { m.submit(t, rapid.SampledFrom([]string{"", "c", "d"}).Draw(t, "workspace")) },
			"more of a": func(t *rapid.T) { m.submit(t, "a") },
			"advance": func(*rapid.T) {
				m.now = m.now.Add(time.Millisecond)
				m.router.Step(m.now)
				m.collect()
			},
		})
		m.now = m.now.Add(24 * time.Hour)
		m.router.Step(m.now)
		m.collect()
		if len(m.waiting) != 0 {
			t.Fatalf("got %d requests that wait past their deadline, want none", len(m.waiting))
		}
	})
}

// BenchmarkGrantOfWorkspaces measures one request, from its arrival to its end, while requests of other workspaces wait.
func BenchmarkGrantOfWorkspaces(b *testing.B) {
	for _, workspaces := range []int{1, 16, 1000, 10_000} {
		for _, limit := range []int{1024, 10_240} {
			b.Run(fmt.Sprintf("workspaces=%d/queue=%d", workspaces, limit), func(b *testing.B) {
				policy := DefaultPolicy()
				policy.QueueLimit = limit
				r := newRouter(policy)
				submit := func(now time.Time, i int) *Ticket {
					tk := workspaceTicket(now, fmt.Sprint("w-", i%workspaces))
					r.admit(now, tk)
					return tk
				}
				now := testTime
				for i := range max(workspaces, limit) {
					submit(now, i)
				}
				publish(r, replica("a", 1))
				r.Step(now)
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					submit(now, i*7)
					for _, p := range r.pins { // of the running request
						p.grants[0].Done(now, OutcomeRejected)
						break
					}
				}
			})
		}
	}
}
