package routing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronspread/model"
)

const (
	simulationStep = 5 * time.Millisecond
	reportEvery    = time.Second
	reportLag      = 2 * time.Second
	tokenTime      = 20 * time.Millisecond // time per token of a stream that runs alone
	batchOverhead  = 0.05                  // share of tokenTime that each further stream in the batch adds
	burstPeriod    = 10 * time.Second
	prefillTime    = 50 * time.Millisecond
)

// plan describes a simulation in virtual time.
type plan struct {
	seed         uint64
	routers      int
	replicas     int
	capacity     int
	length       time.Duration
	policy       Policy
	picker       Picker
	shortRate    float64 // arrivals per second
	longRate     float64
	shortTokens  int // mean length
	longTokens   int
	shortTimeout time.Duration
	longTimeout  time.Duration
	slowFactor   float64       // slowdown of a third of the replicas at a time
	slowFor      time.Duration // duration of a slowdown
	slowEvery    time.Duration // interval between the starts of slowdowns
	burst        float64       // factor on the arrivals of short requests in every third burstPeriod
	noDeadline   bool          // the router is not given the deadlines
	noPrediction bool          // requests are refused only when their deadline has passed
	engineQueue  bool          // the router sends all requests at once and the engines queue them
	enginePrio   bool          // the engines schedule by priority
	moves        bool          // responses may be moved to a faster replica
	zones        int           // zones of the replicas; the routers are in the first one; 0 means one
	reportEvery  time.Duration // 0 means reportEvery and reportLag
	reportLag    time.Duration
	finishWithin time.Duration // time after the arrivals for the requests to finish; 0 means length
}

// results are the results of a plan.
type results struct {
	short, long  *hdrhistogram.Histogram // milliseconds from the arrival of the request
	shortSent    int
	shortInTime  int
	longSent     int
	longFinished int
	longRefused  int
	moves        int
	refused      int
}

// simulatedReplica simulates a replica with continuous batching.
type simulatedReplica struct {
	name      string
	slowUntil time.Time
	running   []*simulatedStream
	waiting   []*simulatedStream
	reports   []simulatedReport
}

type simulatedReport struct {
	at      time.Time
	running int
	waiting int
}

type simulatedStream struct {
	ticket     *Ticket
	grant      *Grant
	arrivedAt  time.Time
	deadline   time.Time
	long       bool
	tokens     int
	prefill    time.Duration
	progress   float64
	progressAt time.Time // last token, or last check for a move
	router     int       // index in policySimulation.routers
}

// policySimulation runs routers against simulated replicas.
type policySimulation struct {
	plan
	random       *rand.Rand
	now          time.Time
	routers      []*Router
	replicas     []*simulatedReplica
	waiting      [][]*simulatedStream // by router
	results      results
	movedStreams []*simulatedStream
	reportedAt   time.Time
	slowedAt     time.Time

	onStep   func()                   // called in each step, nil for none
	onFinish func(s *simulatedStream) // called for each complete response, nil for none
	onRefuse func(s *simulatedStream) // called for each refused request, nil for none
}

func newPolicySimulation(p plan) *policySimulation {
	if p.reportEvery == 0 {
		p.reportEvery, p.reportLag = reportEvery, reportLag
	}
	sm := &policySimulation{plan: p, random: rand.New(rand.NewPCG(p.seed, 7)), now: testTime}
	sm.results.short = hdrhistogram.New(1, 3_600_000, 3)
	sm.results.long = hdrhistogram.New(1, 3_600_000, 3)
	for i := range p.replicas {
		sm.replicas = append(sm.replicas, &simulatedReplica{name: backendName(i)})
	}
	for i := range p.routers {
		r := newRouter(p.policy)
		r.Picker = p.picker
		r.Seed = p.seed + uint64(i)
		r.random = rand.New(rand.NewPCG(r.Seed, 3))
		sm.routers = append(sm.routers, r)
	}
	sm.waiting = make([][]*simulatedStream, p.routers)
	sm.report()
	return sm
}

// run runs the plan. Arrivals end after plan.length; the requests then get the same time again, or finishWithin, to finish.
func (sm *policySimulation) run() results {
	end := testTime.Add(sm.length + cmp.Or(sm.finishWithin, sm.length))
	for sm.now.Before(end) {
		sm.now = sm.now.Add(simulationStep)
		if sm.now.Before(testTime.Add(sm.length)) {
			sm.arrive(false, sm.shortRate*sm.currentBurst())
			sm.arrive(true, sm.longRate)
			if sm.onStep != nil {
				sm.onStep()
			}
		}
		sm.slow()
		for _, r := range sm.replicas {
			sm.advance(r)
		}
		for _, s := range sm.movedStreams {
			sm.submit(s)
		}
		sm.movedStreams = sm.movedStreams[:0]
		if sm.now.Sub(sm.reportedAt) >= sm.reportEvery {
			sm.report()
		}
		for i, r := range sm.routers {
			if sm.noPrediction {
				r.estimates = newEstimates()
			}
			if sm.now.UnixMilli()%int64(tickInterval/time.Millisecond) == 0 {
				r.Step(sm.now)
			}
			sm.collect(i)
		}
	}
	return sm.results
}

func (sm *policySimulation) currentBurst() float64 {
	if sm.burst > 0 && int(sm.now.Sub(testTime)/burstPeriod)%3 == 1 {
		return sm.burst
	}
	return 1
}

func (sm *policySimulation) arrive(long bool, rate float64) {
	for range sm.poisson(rate * simulationStep.Seconds()) {
		s := &simulatedStream{arrivedAt: sm.now, long: long, prefill: prefillTime, tokens: sm.draw(sm.shortTokens)}
		timeout := sm.shortTimeout
		if long {
			s.tokens, timeout = sm.draw(sm.longTokens), sm.longTimeout
			sm.results.longSent++
		} else {
			sm.results.shortSent++
		}
		s.deadline = sm.now.Add(timeout)
		if sm.noDeadline {
			timeout = time.Hour
		}
		s.ticket = ticket(sm.now, 1<<log2(s.tokens), timeout)
		s.router = sm.random.IntN(sm.plan.routers)
		sm.submit(s)
	}
}

func (sm *policySimulation) submit(s *simulatedStream) {
	sm.routers[s.router].Budget.Request(sm.now)
	sm.waiting[s.router] = append(sm.waiting[s.router], s)
	sm.routers[s.router].admit(sm.now, s.ticket)
	sm.collect(s.router)
}

// move moves a stalled response to another replica if the router allows it, and reports whether it did.
func (sm *policySimulation) move(s *simulatedStream) bool {
	if !sm.moves || sm.now.Sub(s.progressAt) < sm.policy.MoveSilence {
		return false
	}
	s.progressAt = sm.now
	if !s.grant.ShouldMove(sm.now) {
		return false
	}
	sm.results.moves++
	old := s.ticket
	s.grant.Done(sm.now, OutcomeBad)
	s.ticket = ticket(sm.now, old.MaxTokens, old.Deadline.Sub(sm.now))
	s.ticket.Remaining, s.ticket.Moves = s.tokens, old.Moves+1
	s.ticket.Avoid = append(old.Avoid, s.grant.Replica.Backend)
	s.prefill, s.progress = prefillTime, 0
	sm.movedStreams = append(sm.movedStreams, s)
	return true
}

// draw returns a random length, uniformly distributed between half the mean and 1.5 times the mean.
func (sm *policySimulation) draw(mean int) int {
	return max(1, int(float64(mean)*(0.5+sm.random.Float64())))
}

func (sm *policySimulation) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), sm.random.Float64(), 0
	for product > limit {
		product *= sm.random.Float64()
		n++
	}
	return n
}

// slow slows down a third of the replicas for slowFor, once every slowEvery.
func (sm *policySimulation) slow() {
	if sm.slowFactor == 0 || sm.now.Sub(sm.slowedAt) < sm.slowEvery {
		return
	}
	sm.slowedAt = sm.now
	for _, i := range sm.random.Perm(len(sm.replicas))[:len(sm.replicas)/3] {
		sm.replicas[i].slowUntil = sm.now.Add(sm.slowFor)
	}
}

// report publishes the state of the replicas as it was reportLag ago to the routers.
func (sm *policySimulation) report() {
	sm.reportedAt = sm.now
	var replicas []model.Replica
	for _, r := range sm.replicas {
		r.reports = append(r.reports, simulatedReport{at: sm.now, running: len(r.running), waiting: len(r.waiting)})
		late := simulatedReport{at: testTime}
		for _, old := range r.reports {
			if sm.now.Sub(old.at) >= sm.reportLag {
				late = old
			}
		}
		one := replica(r.name, sm.capacity)
		if zone := len(replicas) % max(1, sm.zones); zone > 0 {
			one.Zone = fmt.Sprintf("zone-%d", zone)
		}
		if sm.engineQueue {
			one.Capacity = 1 << 20
		}
		one.Running, one.Waiting, one.UpdatedAt = late.running, late.waiting, late.at
		replicas = append(replicas, one)
	}
	for i, r := range sm.routers {
		own := slices.Clone(replicas)
		for j := range own {
			free := max(0, sm.capacity-own[j].Running-own[j].Waiting)
			own[j].Credits = free/sm.plan.routers + r.fleet.get(own[j].Backend).ownRequests
		}
		sm.publish(i, own)
	}
}

func (sm *policySimulation) publish(i int, replicas []model.Replica) {
	sm.routers[i].Snapshot.Store(&model.Snapshot{Routers: sm.plan.routers, Models: []*model.RoutedModel{{
		Declaration: model.ModelDeclaration{Key: testKey}, Replicas: replicas,
	}}})
}

// collect sends the granted requests to their replicas and counts the refused ones.
func (sm *policySimulation) collect(i int) {
	sm.waiting[i] = slices.DeleteFunc(sm.waiting[i], func(s *simulatedStream) bool {
		got, g := s.ticket.outcome()
		if got == "waiting" {
			return false
		}
		if g == nil {
			sm.refuse(s)
			return true
		}
		s.grant, s.progressAt = g, sm.now
		r := sm.find(g.Replica.Backend)
		r.waiting = append(r.waiting, s)
		if sm.enginePrio {
			slices.SortStableFunc(r.waiting, func(a, b *simulatedStream) int { return cmp.Compare(a.grant.Priority, b.grant.Priority) })
		}
		return true
	})
}

func (sm *policySimulation) refuse(s *simulatedStream) {
	sm.results.refused++
	if sm.onRefuse != nil {
		sm.onRefuse(s)
	}
	if s.long {
		sm.results.longRefused++
	}
}

func (sm *policySimulation) find(name string) *simulatedReplica {
	for _, r := range sm.replicas {
		if r.name == name {
			return r
		}
	}
	return nil
}

// advance simulates one step of the streams of a replica.
func (sm *policySimulation) advance(r *simulatedReplica) {
	for len(r.running) < sm.capacity && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	factor := 1.0
	if sm.now.Before(r.slowUntil) {
		factor = sm.slowFactor
	}
	perToken := tokenTime.Seconds() * (1 + batchOverhead*float64(len(r.running)-1)) * factor
	r.running = slices.DeleteFunc(r.running, func(s *simulatedStream) bool {
		if sm.move(s) {
			return true
		}
		if s.prefill > 0 {
			s.prefill -= time.Duration(float64(simulationStep) / factor)
			return false
		}
		s.progress += simulationStep.Seconds() / perToken
		for s.progress >= 1 && s.tokens > 0 {
			s.progress--
			s.tokens--
			s.progressAt = sm.now
			s.grant.Token(sm.now)
		}
		if s.tokens > 0 {
			return false
		}
		sm.finish(s)
		return true
	})
}

func (sm *policySimulation) finish(s *simulatedStream) {
	took := sm.now.Sub(s.arrivedAt).Milliseconds()
	if s.long {
		sm.results.longFinished++
		_ = sm.results.long.RecordValue(took)
	} else {
		_ = sm.results.short.RecordValue(took)
		if !sm.now.After(s.deadline) {
			sm.results.shortInTime++
		}
	}
	s.grant.Done(sm.now, OutcomeComplete)
	if sm.onFinish != nil {
		sm.onFinish(s)
	}
}

func log2(n int) int {
	b := 0
	for 1<<b < n {
		b++
	}
	return b
}
