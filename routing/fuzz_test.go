package routing

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/model"
)

// routerMachine drives a router in virtual time with random actions and checks that each ticket gets exactly one result
// by its deadline, that no replica gets more requests than its capacity, and that draining replicas get no new ones.
type routerMachine struct {
	router   *Router
	now      time.Time
	replicas []model.Replica
	waiting  []*Ticket
	running  []*Grant
	resolved int
	pushed   int
}

func (m *routerMachine) Submit(t *rapid.T) {
	tk := ticket(m.now, rapid.SampledFrom([]int{0, 10, 100, 600, 4000}).Draw(t, "tokens"),
		time.Duration(rapid.IntRange(1, 5000).Draw(t, "timeout"))*time.Millisecond)
	tk.Priority = rapid.IntRange(0, 100).Draw(t, "priority")
	tk.Target.Adapter = rapid.SampledFrom([]string{"", "gate", "door"}).Draw(t, "adapter")
	tk.Workspace = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "workspace")
	tk.PromptTokens = rapid.IntRange(0, 4000).Draw(t, "prompt")
	tk.Resumed = rapid.Bool().Draw(t, "resumed")
	tk.Fingerprint = model.Fingerprint(rapid.Uint64Range(0, 50).Draw(t, "fingerprint"))
	m.pushed++
	m.waiting = append(m.waiting, tk)
	m.router.admit(m.now, tk)
}

func (m *routerMachine) Withdraw(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("no waiting requests")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")
	if m.router.queue.Withdraw(m.now, m.waiting[i]) {
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.resolved++
	}
}

func (m *routerMachine) Done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no running requests")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	g := m.running[i]
	for range rapid.IntRange(0, 3).Draw(t, "tokens") {
		g.Token(m.now)
	}
	g.Done(m.now, Outcome(rapid.IntRange(0, int(OutcomeRejected)).Draw(t, "outcome")))
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *routerMachine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	m.router.Step(m.now)
}

func (m *routerMachine) Publish(t *rapid.T) {
	m.replicas = nil
	for i := range rapid.IntRange(0, 3).Draw(t, "replicas") {
		m.replicas = append(m.replicas, model.Replica{
			Key: testKey, Backend: backendName(i), Capacity: rapid.IntRange(1, 4).Draw(t, "capacity"),
			Zone:      rapid.SampledFrom([]string{"muenchen", "augsburg"}).Draw(t, "zone"),
			Adapters:  rapid.SampledFrom([][]string{nil, {"gate"}, {"gate", "door"}}).Draw(t, "adapters"),
			Draining:  rapid.IntRange(0, 4).Draw(t, "draining") == 0,
			Running:   rapid.IntRange(0, 3).Draw(t, "running"),
			UpdatedAt: m.now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second),
		})
	}
	publish(m.router, m.replicas...)
	m.router.Step(m.now)
}

func (m *routerMachine) Check(t *rapid.T) {
	m.collect(t)
	if m.resolved+len(m.waiting) != m.pushed || !m.router.queue.Balanced() {
		t.Fatalf("got %d resolved and %d waiting of %d pushed requests, want all accounted for", m.resolved, len(m.waiting), m.pushed)
	}
	if c := m.router.queue.Counts; c.LateGrant+c.Unsettled > 0 {
		t.Fatalf("got %d late grants and %d requests waiting past their deadline, want none", c.LateGrant, c.Unsettled)
	}
	own, long := make(map[string]int), make(map[string]int)
	for _, g := range m.running {
		own[g.Replica.Backend]++
		if g.long {
			long[g.Replica.Backend]++
		}
	}
	for name, b := range m.router.fleet.backends {
		if b.ownRequests != own[name] || b.ownLongRequests != long[name] || b.trials != 0 {
			t.Fatalf("got %d running and %d long requests and %d trials on %s, want %d, %d and 0", b.ownRequests, b.ownLongRequests, b.trials, name, own[name], long[name])
		}
	}
}

func (m *routerMachine) collect(t *rapid.T) {
	m.waiting = slices.DeleteFunc(m.waiting, func(tk *Ticket) bool {
		got, g := tk.outcome()
		if got == "waiting" {
			return false
		}
		m.resolved++
		if g != nil {
			m.checkGrant(t, tk, g)
			m.running = append(m.running, g)
		}
		return true
	})
}

func (m *routerMachine) checkGrant(t *rapid.T, tk *Ticket, g *Grant) {
	if g.Replica.Draining {
		t.Fatalf("got a grant for the draining replica %s, want none", g.Replica.Backend)
	}
	if g.startedAt.After(tk.Deadline) {
		t.Fatalf("got a grant at %v, want it by the deadline %v", g.startedAt, tk.Deadline)
	}
	if b := m.router.fleet.get(g.Replica.Backend); g.startedAt.Equal(m.now) && b.ownRequests > m.router.capacity(&g.Replica) {
		t.Fatalf("got %d running on %s, want at most %d", b.ownRequests, g.Replica.Backend, g.Replica.Capacity)
	}
}

// TestRouterAgainstOracle guards against lost requests, late grants and replicas above their capacity, which unusual
// orders of events may cause. The expected state is that of routerMachine.
func TestRouterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.QueueLimit = rapid.IntRange(1, 20).Draw(t, "limit")
		m := &routerMachine{router: newRouter(policy), now: testTime}
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "submit": m.Submit, "submit more": m.Submit, "withdraw": m.Withdraw,
			"done": m.Done, "advance": m.Advance, "publish": m.Publish,
		})
		m.now = m.now.Add(time.Hour)
		m.router.Step(m.now)
		m.collect(t)
		if len(m.waiting) != 0 {
			t.Fatalf("got %d waiting past every deadline, want none", len(m.waiting))
		}
	})
}
