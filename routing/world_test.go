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
	worldStep    = 5 * time.Millisecond
	reportEvery  = time.Second
	reportLag    = 2 * time.Second
	tokenTime    = 20 * time.Millisecond // of a stream that runs alone
	batchSlowing = 0.05                  // share that each further stream adds to the time of a token
	swingPart    = 10 * time.Second
	firstDelay   = 50 * time.Millisecond // prefill
)

// plan is one experiment in virtual time.
type plan struct {
	seed         uint64
	routers      int
	replicas     int
	capacity     int
	length       time.Duration
	policy       Policy
	picker       Picker
	shortRate    float64 // arrivals a second
	longRate     float64
	shortTokens  int // mean
	longTokens   int
	shortTimeout time.Duration
	longTimeout  time.Duration
	slowFactor   float64 // of a third of the replicas for moments
	slowFor      time.Duration
	slowEvery    time.Duration
	swing        float64 // factor on the arrivals of short work in every third ten seconds
	noDeadline   bool    // the router does not learn the deadlines
	noPrediction bool    // requests are refused only when their deadline has passed
	engineQueue  bool    // the router sends everything at once and the engines queue it
	enginePrio   bool    // the engines honour priorities
	moves        bool    // a faster replica may take an answer over
	zones        int     // of the replicas, of which the routers are in the first; 0 for one
}

// figures are the results of a plan.
type figures struct {
	short, long   *hdrhistogram.Histogram // milliseconds from the time a request was due
	shortSent     int
	shortInTime   int
	longSent      int
	longFinished  int
	longWaitedOut int
	moves         int
	refused       int
}

// worldReplica is a replica with continuous batching.
type worldReplica struct {
	name      string
	slowUntil time.Time
	running   []*worldStream
	waiting   []*worldStream
	reports   []worldReport
}

type worldReport struct {
	at      time.Time
	running int
	waiting int
}

type worldStream struct {
	ticket   *Ticket
	grant    *Grant
	due      time.Time
	deadline time.Time
	long     bool
	tokens   int
	prefill  time.Duration
	progress float64
	heard    time.Time // when the last token came or a move was asked for
	host     int
}

// policyWorld drives routers against replicas.
type policyWorld struct {
	plan
	random   *rand.Rand
	now      time.Time
	routers  []*Router
	replicas []*worldReplica
	waiting  [][]*worldStream // by router
	figures  figures
	moved    []*worldStream
	reported time.Time
	slowed   time.Time
}

func newPolicyWorld(p plan) *policyWorld {
	w := &policyWorld{plan: p, random: rand.New(rand.NewPCG(p.seed, 7)), now: testTime}
	w.figures.short = hdrhistogram.New(1, 3_600_000, 3)
	w.figures.long = hdrhistogram.New(1, 3_600_000, 3)
	for i := range p.replicas {
		w.replicas = append(w.replicas, &worldReplica{name: backendName(i)})
	}
	for i := range p.routers {
		r := newRouter(p.policy)
		r.Picker = p.picker
		r.Seed = p.seed + uint64(i)
		r.random = rand.New(rand.NewPCG(r.Seed, 3))
		w.routers = append(w.routers, r)
	}
	w.waiting = make([][]*worldStream, p.routers)
	w.report()
	return w
}

// run plays the plan; arrivals end with its length, running requests get as long again.
func (w *policyWorld) run() figures {
	for w.now.Before(testTime.Add(2 * w.length)) {
		w.now = w.now.Add(worldStep)
		if w.now.Before(testTime.Add(w.length)) {
			w.arrive(false, w.shortRate*w.swingNow())
			w.arrive(true, w.longRate)
		}
		w.slow()
		for _, r := range w.replicas {
			w.advance(r)
		}
		for _, s := range w.moved {
			w.submit(s)
		}
		w.moved = w.moved[:0]
		if w.now.Sub(w.reported) >= reportEvery {
			w.report()
		}
		for i, r := range w.routers {
			if w.noPrediction {
				r.estimates = newEstimates()
			}
			if w.now.UnixMilli()%int64(tickInterval/time.Millisecond) == 0 {
				r.Step(w.now)
			}
			w.collect(i)
		}
	}
	return w.figures
}

func (w *policyWorld) swingNow() float64 {
	if w.swing > 0 && int(w.now.Sub(testTime)/swingPart)%3 == 1 {
		return w.swing
	}
	return 1
}

func (w *policyWorld) arrive(long bool, rate float64) {
	for range w.poisson(rate * worldStep.Seconds()) {
		s := &worldStream{due: w.now, long: long, prefill: firstDelay, tokens: w.draw(w.shortTokens)}
		timeout := w.shortTimeout
		if long {
			s.tokens, timeout = w.draw(w.longTokens), w.longTimeout
			w.figures.longSent++
		} else {
			w.figures.shortSent++
		}
		s.deadline = w.now.Add(timeout)
		if w.noDeadline {
			timeout = time.Hour
		}
		s.ticket = ticket(w.now, 1<<log2(s.tokens), timeout)
		s.host = w.random.IntN(w.plan.routers)
		w.submit(s)
	}
}

func (w *policyWorld) submit(s *worldStream) {
	w.routers[s.host].Budget.Request(w.now)
	w.waiting[s.host] = append(w.waiting[s.host], s)
	w.routers[s.host].admit(w.now, s.ticket)
	w.collect(s.host)
}

// move lets another replica go on with an answer.
func (w *policyWorld) move(s *worldStream) bool {
	if !w.moves || w.now.Sub(s.heard) < w.policy.MoveSilence {
		return false
	}
	s.heard = w.now
	if !s.grant.ShouldMove(w.now) {
		return false
	}
	w.figures.moves++
	old := s.ticket
	s.grant.Done(w.now, OutcomeBad)
	s.ticket = ticket(w.now, old.MaxTokens, old.Deadline.Sub(w.now))
	s.ticket.Remaining, s.ticket.Moves = s.tokens, old.Moves+1
	s.ticket.Avoid = append(old.Avoid, s.grant.Replica.Backend)
	s.prefill, s.progress = firstDelay, 0
	w.moved = append(w.moved, s)
	return true
}

// draw draws a length around the mean.
func (w *policyWorld) draw(mean int) int {
	return max(1, int(float64(mean)*(0.5+w.random.Float64())))
}

func (w *policyWorld) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), w.random.Float64(), 0
	for product > limit {
		product *= w.random.Float64()
		n++
	}
	return n
}

// slow slows a third of the replicas for a moment.
func (w *policyWorld) slow() {
	if w.slowFactor == 0 || w.now.Sub(w.slowed) < w.slowEvery {
		return
	}
	w.slowed = w.now
	for _, i := range w.random.Perm(len(w.replicas))[:len(w.replicas)/3] {
		w.replicas[i].slowUntil = w.now.Add(w.slowFor)
	}
}

// report gives the routers the state of the replicas as it was a lag ago.
func (w *policyWorld) report() {
	w.reported = w.now
	var replicas []model.Replica
	for _, r := range w.replicas {
		r.reports = append(r.reports, worldReport{at: w.now, running: len(r.running), waiting: len(r.waiting)})
		late := worldReport{at: testTime}
		for _, old := range r.reports {
			if w.now.Sub(old.at) >= reportLag {
				late = old
			}
		}
		one := replica(r.name, w.capacity)
		if zone := len(replicas) % max(1, w.zones); zone > 0 {
			one.Zone = fmt.Sprintf("zone-%d", zone)
		}
		if w.engineQueue {
			one.Capacity = 1 << 20
		}
		one.Running, one.Waiting, one.UpdatedAt = late.running, late.waiting, late.at
		replicas = append(replicas, one)
	}
	for i, r := range w.routers {
		mine := slices.Clone(replicas)
		for j := range mine {
			room := max(0, w.capacity-mine[j].Running-mine[j].Waiting)
			mine[j].Credits = room/w.plan.routers + r.fleet.get(mine[j].Backend).own
		}
		w.publish(i, mine)
	}
}

func (w *policyWorld) publish(i int, replicas []model.Replica) {
	w.routers[i].Snapshot.Store(&model.Snapshot{Routers: w.plan.routers, Models: []model.RoutedModel{{
		Declaration: model.ModelDeclaration{Key: testKey}, Replicas: replicas,
	}}})
}

// collect starts the granted requests and counts the refused ones.
func (w *policyWorld) collect(i int) {
	w.waiting[i] = slices.DeleteFunc(w.waiting[i], func(s *worldStream) bool {
		got, g := s.ticket.outcome()
		if got == "waiting" {
			return false
		}
		if g == nil {
			w.refuse(s)
			return true
		}
		s.grant, s.heard = g, w.now
		r := w.find(g.Replica.Backend)
		r.waiting = append(r.waiting, s)
		if w.enginePrio {
			slices.SortStableFunc(r.waiting, func(a, b *worldStream) int { return cmp.Compare(a.grant.Priority, b.grant.Priority) })
		}
		return true
	})
}

func (w *policyWorld) refuse(s *worldStream) {
	w.figures.refused++
	if s.long {
		w.figures.longWaitedOut++
	}
}

func (w *policyWorld) find(name string) *worldReplica {
	for _, r := range w.replicas {
		if r.name == name {
			return r
		}
	}
	return nil
}

// advance lets the streams of a replica make progress.
func (w *policyWorld) advance(r *worldReplica) {
	for len(r.running) < w.capacity && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	factor := 1.0
	if w.now.Before(r.slowUntil) {
		factor = w.slowFactor
	}
	each := tokenTime.Seconds() * (1 + batchSlowing*float64(len(r.running)-1)) * factor
	r.running = slices.DeleteFunc(r.running, func(s *worldStream) bool {
		if w.move(s) {
			return true
		}
		if s.prefill > 0 {
			s.prefill -= time.Duration(float64(worldStep) / factor)
			return false
		}
		s.progress += worldStep.Seconds() / each
		for s.progress >= 1 && s.tokens > 0 {
			s.progress--
			s.tokens--
			s.heard = w.now
			s.grant.Token(w.now)
		}
		if s.tokens > 0 {
			return false
		}
		w.finish(s)
		return true
	})
}

func (w *policyWorld) finish(s *worldStream) {
	took := w.now.Sub(s.due).Milliseconds()
	if s.long {
		w.figures.longFinished++
		_ = w.figures.long.RecordValue(took)
	} else {
		_ = w.figures.short.RecordValue(took)
		if !w.now.After(s.deadline) {
			w.figures.shortInTime++
		}
	}
	s.grant.Done(w.now, OutcomeWhole)
}

func log2(n int) int {
	b := 0
	for 1<<b < n {
		b++
	}
	return b
}
