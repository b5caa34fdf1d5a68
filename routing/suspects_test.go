package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/model"
)

const (
	maxPropagationDelay = 100 * time.Millisecond // maximum delay of a suspect to another entry host
	restartTime         = 3 * time.Second
	crashingRequest     = model.Fingerprint(666)
)

// suspectSimulation simulates a zone with entry hosts, backend servers and one request that crashes every backend server.
type suspectSimulation struct {
	random    *rand.Rand
	now       time.Time
	routers   []*Router
	updates   []suspectUpdate
	downUntil map[string]time.Time
	attempts  []*simulatedAttempt
	resend    []time.Time // when the caller sends the request again
	crashed   int
	refused   int
}

// suspectUpdate is a suspect that is being sent to an entry host.
type suspectUpdate struct {
	at      time.Time
	host    int
	suspect model.Suspect
}

// simulatedAttempt is a request that is being checked, waiting or running.
type simulatedAttempt struct {
	host      int
	ticket    *Ticket
	confirmAt time.Time
	claimed   bool
	queued    bool
	grant     *Grant
	crashAt   time.Time
	endAt     time.Time // before testTime if the grant was revoked
	stopped   bool
}

func newSuspectSimulation(seed uint64, hosts, backends int, share bool) *suspectSimulation {
	sm := &suspectSimulation{random: rand.New(rand.NewPCG(seed, seed)), now: testTime, downUntil: make(map[string]time.Time)}
	for i := range hosts {
		var replicas []model.Replica
		for j := range backends {
			replicas = append(replicas, replica(backendName(j), 8))
		}
		r := newRouter(DefaultPolicy(), replicas...)
		r.Policy.StaleAfter = time.Hour
		r.Name = fmt.Sprint("entry-", i)
		r.Suspects.Name = r.Name
		if share {
			r.Suspects.Publish = func(s model.Suspect) { sm.broadcast(i, s) }
		}
		sm.routers = append(sm.routers, r)
	}
	return sm
}

func (sm *suspectSimulation) broadcast(from int, s model.Suspect) {
	for i := range sm.routers {
		if i != from {
			delay := time.Duration(sm.random.Int64N(int64(maxPropagationDelay)))
			sm.updates = append(sm.updates, suspectUpdate{at: sm.now.Add(delay), host: i, suspect: s})
		}
	}
}

func (sm *suspectSimulation) send(host int, f model.Fingerprint) {
	tk := ticket(sm.now, 10, time.Minute)
	tk.Fingerprint = f
	sm.attempts = append(sm.attempts, &simulatedAttempt{host: host, ticket: tk})
}

// step advances the time by 20 ms.
func (sm *suspectSimulation) step() {
	sm.now = sm.now.Add(20 * time.Millisecond)
	sm.deliver()
	for _, r := range sm.routers {
		r.Step(sm.now)
	}
	for _, at := range sm.resend {
		if !at.After(sm.now) {
			sm.send(sm.random.IntN(len(sm.routers)), crashingRequest)
		}
	}
	sm.resend = filter(sm.resend, func(at time.Time) bool { return at.After(sm.now) })
	for _, attempt := range sm.attempts {
		sm.advance(attempt)
	}
	for _, attempt := range sm.attempts {
		if attempt.grant != nil && !attempt.stopped && attempt.ticket.Fingerprint == crashingRequest && !sm.now.Before(attempt.crashAt) {
			sm.crash(attempt.grant.Replica.Backend)
		}
	}
	sm.attempts = filter(sm.attempts, func(attempt *simulatedAttempt) bool { return !attempt.stopped })
}

func (sm *suspectSimulation) deliver() {
	due := sm.updates
	sm.updates = filter(sm.updates, func(u suspectUpdate) bool { return u.at.After(sm.now) })
	for _, u := range due {
		if u.at.After(sm.now) {
			continue
		}
		r := sm.routers[u.host]
		r.mu.Lock()
		r.mergeSuspects(sm.now, []model.Suspect{u.suspect})
		r.mu.Unlock()
	}
}

func (sm *suspectSimulation) advance(attempt *simulatedAttempt) {
	r := sm.routers[attempt.host]
	switch {
	case attempt.stopped:
	case attempt.grant != nil:
		sm.advanceRunning(attempt)
	case attempt.queued:
		sm.collect(attempt)
	case attempt.claimed:
		if sm.now.Before(attempt.confirmAt) {
			return
		}
		attempt.claimed = false
		if r.Suspects.Confirm(sm.now, attempt.ticket.Fingerprint) {
			attempt.ticket.trial = true
			sm.enqueue(attempt)
		}
	default:
		sm.check(attempt)
	}
}

func (sm *suspectSimulation) check(attempt *simulatedAttempt) {
	verdict := sm.routers[attempt.host].Suspects.Check(sm.now, attempt.ticket.Fingerprint)
	switch verdict.State {
	case StateClear:
		sm.enqueue(attempt)
	case StateRefused:
		attempt.stopped = true
		sm.refused++
	case StateClaimed:
		attempt.claimed, attempt.confirmAt, attempt.ticket.recent = true, verdict.Until, verdict.Recent
	}
}

func (sm *suspectSimulation) enqueue(attempt *simulatedAttempt) {
	attempt.queued = true
	sm.routers[attempt.host].admit(sm.now, attempt.ticket)
	sm.collect(attempt)
}

func (sm *suspectSimulation) collect(attempt *simulatedAttempt) {
	got, g := attempt.ticket.outcome()
	if got == "suspected" {
		attempt.queued, attempt.ticket.clearance = false, clearance{}
		return
	}
	if g == nil {
		attempt.stopped = got != "waiting"
		if attempt.stopped && attempt.ticket.trial {
			sm.routers[attempt.host].Suspects.Release(attempt.ticket.Fingerprint)
		}
		return
	}
	attempt.grant = g
	attempt.crashAt = sm.now.Add(time.Duration(sm.random.IntN(1000)) * time.Millisecond)
	attempt.endAt = sm.now.Add(time.Duration(sm.random.IntN(4000)) * time.Millisecond)
	g.OnRevoke(func() { attempt.endAt = sm.now.Add(-time.Hour) })
	if sm.now.Before(sm.downUntil[g.Replica.Backend]) {
		g.Done(sm.now, OutcomeUnreachable)
		attempt.stopped = true
	}
}

func (sm *suspectSimulation) advanceRunning(attempt *simulatedAttempt) {
	if sm.now.Before(attempt.endAt) || attempt.ticket.Fingerprint == crashingRequest && attempt.endAt.After(testTime) {
		return
	}
	attempt.stopped = true
	if attempt.endAt.Before(testTime) {
		attempt.grant.Done(sm.now, OutcomeAbandoned)
		return
	}
	attempt.grant.Done(sm.now, OutcomeComplete)
}

// crash ends all attempts that run on the backend server. Their callers send the requests again.
func (sm *suspectSimulation) crash(name string) {
	sm.crashed++
	sm.downUntil[name] = sm.now.Add(restartTime)
	for _, attempt := range sm.attempts {
		if attempt.grant == nil || attempt.stopped || attempt.grant.Replica.Backend != name {
			continue
		}
		attempt.stopped = true
		attempt.grant.Done(sm.now, OutcomeConnectionLost)
		f := attempt.ticket.Fingerprint
		again := time.Duration(sm.random.IntN(2)*sm.random.IntN(3000)) * time.Millisecond
		if f == crashingRequest {
			sm.resend = append(sm.resend, sm.now.Add(again))
			continue
		}
		sm.send(attempt.host, f)
	}
}

func filter[T any](list []T, matches func(T) bool) []T {
	var matching []T
	for _, e := range list {
		if matches(e) {
			matching = append(matching, e)
		}
	}
	return matching
}

// runSuspectSimulation sends copies of the crashing request among harmless ones for 30 s of virtual time.
func runSuspectSimulation(sm *suspectSimulation, copies int) {
	for range copies {
		sm.send(sm.random.IntN(len(sm.routers)), crashingRequest)
	}
	for step := range 1500 {
		if step%10 == 0 && step < 1000 {
			sm.send(sm.random.IntN(len(sm.routers)), model.Fingerprint(1000+step))
		}
		sm.step()
	}
}

// TestCrashingRequestIsStopped guards against one request that crashes many backend servers because its caller sends it
// again after each crash, through any entry host. With suspects that are not shared the limit must be exceeded, which
// shows that the check works.
func TestCrashingRequestIsStopped(t *testing.T) {
	breaches := 0
	for seed := range uint64(20) {
		sm := newSuspectSimulation(seed, 3, 6, false)
		runSuspectSimulation(sm, 1)
		if sm.crashed > 2 {
			breaches++
		}
	}
	if breaches == 0 {
		t.Error("got at most two crashed backend servers with suspects that are not shared, want more")
	}
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		sm := newSuspectSimulation(rapid.Uint64().Draw(t, "seed"), hosts, rapid.IntRange(1, 6).Draw(t, "backends"), true)
		runSuspectSimulation(sm, copies)
		// Copies that start at several entry hosts before the first crash is known can each crash one backend server.
		if want := max(2, min(hosts, copies)); sm.crashed > want {
			t.Fatalf("got %d crashed backend servers, want at most %d", sm.crashed, want)
		}
		for i, r := range sm.routers {
			if refused := r.Suspects.Totals().Convicts; refused > 1 {
				t.Fatalf("got %d requests refused after two crashes at host %d, want only the crashing request", refused, i)
			}
		}
	})
}

// TestTrialsRunOneByOne guards against trials that share a backend server after a crash made many requests suspects:
// a second crash would not show which one is the cause. The next trial starts when the first one has passed.
func TestTrialsRunOneByOne(t *testing.T) {
	const requests = 12
	r := newRouter(DefaultPolicy(), replica("a", 32), replica("b", 32))
	now := testTime
	var running []*Grant
	for i := range requests {
		tk := ticket(now, 400, time.Minute)
		tk.clearance = clearance{trial: true, recent: true, passTokens: trialPassMargin}
		r.admit(now, tk)
		running = append(running, collectGrants(tk)...)
		if want := min(2, i+1); len(running) != want {
			t.Fatalf("got %d concurrent trials on two backend servers, want %d", len(running), want)
		}
		if i < 2 {
			continue
		}
		for range trialPassMargin {
			running[0].Token(now)
		}
		r.Step(now.Add(time.Millisecond))
		running = append(running[1:], collectGrants(tk)...)
	}
}

func collectGrants(t *Ticket) []*Grant {
	if _, g := t.outcome(); g != nil {
		return []*Grant{g}
	}
	return nil
}

// TestSuspectedWhileWaiting guards against granting a request that became a suspect while it waited.
func TestSuspectedWhileWaiting(t *testing.T) {
	r := newRouter(DefaultPolicy())
	r.Policy.ColdStart = 0
	tk := ticket(testTime, 10, time.Minute)
	r.admit(testTime, tk)
	r.mergeSuspects(testTime, []model.Suspect{{Fingerprint: tk.Fingerprint, Deaths: 1, Lost: []model.BackendCrash{{Backend: "b", At: testTime}}}})
	publish(r, replica("a", 8))
	r.Step(testTime)
	if got, _ := tk.outcome(); got != "suspected" {
		t.Errorf("got %s, want suspected", got)
	}
}

// TestRefusalIsToldToHostsThatMissedIt guards against an entry host that was cut off when the others learned of two
// crashes and that accepts copies of the request ever after.
func TestRefusalIsToldToHostsThatMissedIt(t *testing.T) {
	var published []model.Suspect
	s := newRouter(DefaultPolicy()).Suspects
	s.RecordCrash(testTime, 1, "a", true, 0)
	s.RecordCrash(testTime.Add(time.Second), 1, "b", true, 0)
	s.Republish = func(e model.Suspect) { published = append(published, e) }
	const refusals, interval = 30, 100 * time.Millisecond
	for i := range refusals {
		if got := s.Check(testTime.Add(2*time.Second+time.Duration(i)*interval), 1).State; got != StateRefused {
			t.Fatalf("got state %d, want %d", got, StateRefused)
		}
	}
	if want := 3; len(published) != want {
		t.Fatalf("got %d publications in 3 s of refusals, want %d", len(published), want)
	}
	missed := newRouter(DefaultPolicy()).Suspects
	now := testTime.Add(5 * time.Second)
	if news := missed.Merge(now, published); len(news) != 1 || missed.Check(now, 1).State != StateRefused {
		t.Errorf("got %d news and state %d, want 1 and %d", len(news), missed.Check(now, 1).State, StateRefused)
	}
}

func TestMergeSuspect(t *testing.T) {
	crash := func(name string, after time.Duration) model.BackendCrash {
		return model.BackendCrash{Backend: name, At: testTime.Add(after)}
	}
	tests := []struct {
		name    string
		a, b    model.Suspect
		crashes int
		holder  string
	}{
		{name: "same crash reported twice", a: model.Suspect{Lost: []model.BackendCrash{crash("a", 0)}}, b: model.Suspect{Lost: []model.BackendCrash{crash("a", 500*time.Millisecond)}}, crashes: 1},
		{name: "two backend servers", a: model.Suspect{Lost: []model.BackendCrash{crash("a", 0)}}, b: model.Suspect{Lost: []model.BackendCrash{crash("b", 0)}}, crashes: 2},
		{name: "one backend server twice", a: model.Suspect{Lost: []model.BackendCrash{crash("a", 0)}}, b: model.Suspect{Lost: []model.BackendCrash{crash("a", time.Minute)}}, crashes: 2},
		{name: "cleared", a: model.Suspect{Lost: []model.BackendCrash{crash("a", 0)}}, b: model.Suspect{ClearedAt: testTime.Add(time.Second)}, crashes: 0},
		{name: "smaller holder name wins", a: model.Suspect{Holder: "y", Epoch: 1}, b: model.Suspect{Holder: "x", Epoch: 1}, holder: "x"},
		{name: "higher epoch wins", a: model.Suspect{Holder: "y", Epoch: 2}, b: model.Suspect{Holder: "x", Epoch: 1}, holder: "y"},
	}
	for _, tt := range tests {
		for _, got := range []model.Suspect{MergeSuspect(tt.a, tt.b), MergeSuspect(tt.b, tt.a)} {
			if got.Deaths != tt.crashes || got.Holder != tt.holder {
				t.Errorf("%s: got %d crashes, holder %q, want %d, %q", tt.name, got.Deaths, got.Holder, tt.crashes, tt.holder)
			}
		}
	}
}

// BenchmarkPolicySuspects counts the backend servers that one request crashes, over 100 simulations.
func BenchmarkPolicySuspects(b *testing.B) {
	for _, share := range []bool{false, true} {
		for _, copies := range []int{1, 2, 3} {
			b.Run(fmt.Sprintf("shared=%v/copies=%d", share, copies), func(b *testing.B) {
				var simulations [10]int
				for seed := range uint64(100) {
					sm := newSuspectSimulation(seed, 3, 6, share)
					runSuspectSimulation(sm, copies)
					simulations[min(sm.crashed, len(simulations)-1)]++
				}
				b.ReportMetric(0, "ns/op")
				for lost, count := range simulations {
					if count > 0 {
						b.ReportMetric(float64(count), fmt.Sprintf("lost%d", lost))
					}
				}
			})
		}
	}
}
