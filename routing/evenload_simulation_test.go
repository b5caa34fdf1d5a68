package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronspread/load"
	"citronspread/model"
)

// Times of the exchange between hosts, as in package gateway.
const (
	evenStep    = 5 * time.Millisecond
	usageEvery  = 500 * time.Millisecond
	followEvery = time.Second
	// In zones of more hosts, loads are exchanged half as often.
	largeZoneHosts = 32
	evenWarmUp     = 10 * time.Second
	startTimeout   = 2 * time.Second // from the arrival to the first token
	maxRepeats     = 4               // after refusals by backend servers
	evenPrefill    = 60 * time.Millisecond
	queueFactor    = 3 // requests that a backend server queues, as a multiple of its slots
	oldPause       = 50 * time.Millisecond
	oldMaxDoubles  = 5
)

// evenPlan describes a load on many entry hosts and backend servers in virtual time.
type evenPlan struct {
	seed        uint64
	hosts       int
	zones       int
	servers     int
	slots       int
	perServer   int     // models that a backend server holds
	lag         float64 // the copies of a model are those for its demand to this power; 0 means 1
	models      int
	rate        float64 // arrivals per second
	length      time.Duration
	policy      Policy
	picker      Picker
	cacheTokens int
	tokens      int  // mean of a request
	noMemory    bool // hosts do not know the memory of the backend servers

	today      bool // a refusal pauses the backend server for oldPause, doubled, as before this comparison
	statements bool // backend servers state their load
	usage      bool // owners return the sum of the reports
	follow     bool // hosts exchange loads over their relays
	perfect    bool // each host knows the exact load at each time
	grants     int  // owners that are asked for a place before a request is sent, 0 for none
	grantLimit float64
	reserve    bool    // hosts ask for a place when Grant.NeedsPlace says so
	slowShare  float64 // share of the backend servers that are slow
	slowFactor float64
	unequal    bool // a third of the backend servers has half the slots

	burst float64 // further arrivals per second for one model of middling demand, in every second burstPeriod of 5 s

	event func(sm *evenSimulation) // called in each step
}

// evenResults are the results of a plan, after evenWarmUp.
type evenResults struct {
	requests   int
	arrivals   []int // by backend server, also those that were not run
	notRun     int
	refused    int
	late       int // first tokens after startTimeout
	messages   int
	seconds    float64
	hosts      int
	first      *hdrhistogram.Histogram // milliseconds
	overfilled int                     // requests that made a backend server hold more tokens than its memory
	again      int                     // sends to a backend server that had refused a request of this host within 100 ms
}

func (r *evenResults) busiest() float64 {
	sum, highest := 0.0, 0.0
	for _, n := range r.arrivals {
		sum += float64(n)
		highest = max(highest, float64(n))
	}
	return highest * float64(len(r.arrivals)) / max(sum, 1)
}

func (r *evenResults) percentNotRun() float64 {
	sum := 0
	for _, n := range r.arrivals {
		sum += n
	}
	return 100 * float64(r.notRun) / float64(max(1, sum))
}

// add adds the results of another seed. Its backend servers are others.
func (r *evenResults) add(other *evenResults) {
	r.arrivals = append(r.arrivals, other.arrivals...)
	r.requests += other.requests
	r.notRun += other.notRun
	r.refused += other.refused
	r.late += other.late
	r.messages += other.messages
	r.overfilled += other.overfilled
	r.again += other.again
	r.seconds += other.seconds
	r.first.Merge(other.first)
}

func (r *evenResults) percent(n int) float64 { return 100 * float64(n) / float64(max(1, r.requests)) }

// perHost returns the messages of a host per second, without replies.
func (r *evenResults) perHost() float64 { return float64(r.messages) / r.seconds / float64(r.hosts) }

func (r *evenResults) String() string {
	return fmt.Sprintf("busiest/mean %.2f, not run %.2f%%, first token p50 %d ms, p99 %d ms, refused %.2f%%, late %.2f%%, messages %.1f a host and second, overfilled %d, again %d",
		r.busiest(), r.percentNotRun(), r.first.ValueAtQuantile(50), r.first.ValueAtQuantile(99), r.percent(r.refused), r.percent(r.late), r.perHost(), r.overfilled, r.again)
}

// evenServer is a backend server with continuous batching. Its work advances more slowly the more requests are in the batch.
type evenServer struct {
	name      string
	slots     int
	slowness  float64
	progress  float64 // seconds of work that each running request has got since the start
	running   workHeap
	waiting   []*evenRequest
	reserved  int // by grants of the owner
	tokens    int
	ledger    load.Ledger
	owner     int // host
	lies      func(model.StatedLoad) model.StatedLoad
	silent    bool // states nothing
	refuses   bool // refuses everything as full
	refusedAt map[int]time.Time
	down      bool // its work stands still
}

// evenRequest is one request of a caller.
type evenRequest struct {
	host      int
	model     int
	tokens    int
	arrivedAt time.Time
	work      float64 // seconds alone in the batch
	endsAt    float64 // progress of the server at which it ends
	prefillTo float64 // progress at which it brings its first token
	first     bool
	ticket    *Ticket
	grant     *Grant
	server    *evenServer
	sends     int
	denied    []string
}

type workHeap []*evenRequest

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(*evenRequest)) }
func (h *workHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// evenMessage is a message that arrives at a time.
type evenMessage struct {
	at      time.Time
	deliver func()
}

type messageHeap []evenMessage

func (h messageHeap) Len() int           { return len(h) }
func (h messageHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h messageHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *messageHeap) Push(x any)        { *h = append(*h, x.(evenMessage)) }
func (h *messageHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type evenHost struct {
	router       *Router
	waiting      []*evenRequest
	usageAt      time.Time
	followAt     time.Time
	steppedAt    time.Time
	sentSequence int64 // of the own loads that the relay has been told
	seenSequence int64 // of the relay's loads
	cut          bool  // exchanges nothing
	oldOverloads map[string]int
}

type evenSimulation struct {
	evenPlan
	random   *rand.Rand
	now      time.Time
	hosts    []*evenHost
	servers  []*evenServer
	byName   map[string]*evenServer
	weights  []float64 // cumulative demand of the placed models
	messages messageHeap
	results  evenResults
}

func newEvenSimulation(p evenPlan) *evenSimulation {
	sm := &evenSimulation{evenPlan: p, random: rand.New(rand.NewPCG(p.seed, 11)), now: testTime, byName: make(map[string]*evenServer)}
	sm.results = evenResults{first: hdrhistogram.New(1, 3_600_000, 3), arrivals: make([]int, p.servers), hosts: p.hosts}
	for i := range p.servers {
		s := &evenServer{name: backendName(i), slots: p.slots, slowness: 1, owner: i % p.hosts, refusedAt: make(map[int]time.Time)}
		if p.unequal && i%3 == 0 {
			s.slots = p.slots / 2
		}
		if float64(i) < p.slowShare*float64(p.servers) {
			s.slowness = p.slowFactor
		}
		sm.servers = append(sm.servers, s)
		sm.byName[s.name] = s
	}
	snapshot := sm.place()
	for i := range p.hosts {
		h := &evenHost{oldOverloads: make(map[string]int)}
		h.router = newRouter(p.policy)
		h.router.Name = fmt.Sprint("host-", i)
		h.router.Picker = p.picker
		h.router.random = rand.New(rand.NewPCG(p.seed, uint64(1000+i)))
		h.router.Snapshot = &atomic.Pointer[model.Snapshot]{}
		h.router.Snapshot.Store(snapshot)
		h.usageAt = sm.now.Add(time.Duration(sm.random.Int64N(int64(usageEvery))))
		h.followAt = sm.now.Add(time.Duration(sm.random.Int64N(int64(followEvery))))
		h.steppedAt = sm.now.Add(-time.Duration(sm.random.Int64N(int64(idleInterval))))
		sm.hosts = append(sm.hosts, h)
	}
	return sm
}

func evenKey(i int) model.ModelKey {
	return model.ModelKey{Model: fmt.Sprint("model-", i), Version: "v1"}
}

// place gives each of the busiest models a copy on a random backend server, and busier ones further copies by their demand.
// The rest of the models, which would have to be loaded, gets no requests.
func (sm *evenSimulation) place() *model.Snapshot {
	places := sm.evenPlan.servers * sm.perServer
	placed := min(sm.models, places*3/5)
	cacheTokens := sm.cacheTokens
	if sm.noMemory {
		cacheTokens = 0
	}
	lag := sm.lag
	if lag == 0 {
		lag = 1
	}
	demand, copies := make([]float64, placed), make([]int, placed)
	for i := range placed {
		demand[i], copies[i] = math.Pow(float64(i+1), -0.9), 1
	}
	for range places - placed {
		best := 0
		for i := range placed {
			if math.Pow(demand[i], lag)/float64(copies[i]) > math.Pow(demand[best], lag)/float64(copies[best]) && copies[i] < sm.evenPlan.servers {
				best = i
			}
		}
		copies[best]++
	}
	free := make([]int, sm.evenPlan.servers)
	for i := range free {
		free[i] = sm.perServer
	}
	snapshot := &model.Snapshot{Routers: sm.evenPlan.hosts / sm.zones, Hosts: sm.evenPlan.hosts, Declared: 1}
	sum := 0.0
	for i := range placed {
		routed := &model.RoutedModel{Declaration: model.ModelDeclaration{Key: evenKey(i)}}
		order := sm.random.Perm(sm.evenPlan.servers)
		slices.SortStableFunc(order, func(a, b int) int { return free[b] - free[a] })
		for _, s := range order[:copies[i]] {
			if free[s] == 0 {
				break
			}
			free[s]--
			server := sm.servers[s]
			routed.Replicas = append(routed.Replicas, model.Replica{
				Key: routed.Declaration.Key, Backend: server.name, Zone: fmt.Sprint("zone-", s%sm.zones), Capacity: server.slots, CacheTokens: cacheTokens, UpdatedAt: testTime,
			})
		}
		snapshot.Models = append(snapshot.Models, routed)
		sum += demand[i]
		sm.weights = append(sm.weights, sum)
	}
	return snapshot
}

func (sm *evenSimulation) run() *evenResults {
	end := testTime.Add(sm.length)
	for sm.now.Before(end) {
		sm.now = sm.now.Add(evenStep)
		if sm.event != nil {
			sm.event(sm)
		}
		for range poisson(sm.random, sm.rate*evenStep.Seconds()) {
			sm.arrive(-1)
		}
		if period := int(sm.now.Sub(testTime) / (5 * time.Second)); sm.burst > 0 && period%2 == 1 {
			for range poisson(sm.random, sm.burst*evenStep.Seconds()) {
				sm.arrive(20 + period%10)
			}
		}
		for len(sm.messages) > 0 && !sm.messages[0].at.After(sm.now) {
			heap.Pop(&sm.messages).(evenMessage).deliver()
		}
		for _, s := range sm.servers {
			sm.advance(s)
		}
		for i, h := range sm.hosts {
			interval := idleInterval
			if h.router.queue.Len() > 0 {
				interval = tickInterval
			}
			if sm.now.Sub(h.steppedAt) >= interval {
				h.steppedAt = sm.now
				h.router.Step(sm.now)
			}
			sm.collect(i)
			sm.exchange(i)
		}
	}
	sm.results.seconds = (sm.length - evenWarmUp).Seconds()
	return &sm.results
}

func poisson(r *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), r.Float64(), 0
	for product > limit {
		product *= r.Float64()
		n++
	}
	return n
}

func (sm *evenSimulation) counts() bool { return sm.now.Sub(testTime) >= evenWarmUp }

// arrive is the arrival of a request for a model, or for one drawn by demand if it is negative.
func (sm *evenSimulation) arrive(m int) {
	if m < 0 {
		m, _ = slices.BinarySearch(sm.weights, sm.random.Float64()*sm.weights[len(sm.weights)-1])
	}
	q := &evenRequest{host: sm.random.IntN(sm.evenPlan.hosts), model: m, arrivedAt: sm.now, work: 0.7 + 2.1*sm.random.Float64()}
	if sm.tokens > 0 {
		q.tokens = sm.tokens/2 + sm.random.IntN(sm.tokens)
	}
	if sm.counts() {
		sm.results.requests++
	}
	sm.submit(q)
}

func (sm *evenSimulation) submit(q *evenRequest) {
	h := sm.hosts[q.host]
	q.ticket = ticket(sm.now, 100, 30*time.Second)
	q.ticket.Target.Key = evenKey(q.model)
	q.ticket.StartBy = q.arrivedAt.Add(startTimeout - 300*time.Millisecond)
	q.ticket.Tokens = q.tokens
	q.ticket.Avoid = q.denied
	if sm.perfect {
		sm.informPerfectly(h.router, q.model)
	}
	h.waiting = append(h.waiting, q)
	h.router.admit(sm.now, q.ticket)
	sm.collect(q.host)
}

// informPerfectly gives a router the exact load of the replicas of a model.
func (sm *evenSimulation) informPerfectly(r *Router, m int) {
	for _, replica := range r.Snapshot.Load().Models[m].Replicas {
		s := sm.byName[replica.Backend]
		k := r.loads.get(sm.now, s.name)
		k.Held = model.HeldLoad{Requests: s.reserved, Tokens: s.tokens, At: sm.now.Add(heldLag)}
		b := r.fleet.get(s.name)
		for i := range b.loadHistory {
			b.loadHistory[i] = b.ownRequests
		}
	}
}

// collect sends the granted requests of a host and counts the refused ones.
func (sm *evenSimulation) collect(host int) {
	h := sm.hosts[host]
	if len(h.waiting) == 0 {
		return
	}
	var granted []*evenRequest
	h.waiting = slices.DeleteFunc(h.waiting, func(q *evenRequest) bool {
		got, g := q.ticket.outcome()
		if got == "waiting" {
			return false
		}
		if g == nil {
			sm.refuse(q)
			return true
		}
		q.grant, q.server = g, sm.byName[g.Replica.Backend]
		granted = append(granted, q)
		return true
	})
	for _, q := range granted {
		if sm.reserve && q.grant.NeedsPlace() {
			sm.reservePlace(q)
			continue
		}
		if sm.grants > 0 {
			sm.askOwner(q)
			continue
		}
		q.server.reserved++
		sm.after(sm.latency(false), func() { sm.reach(q) })
	}
}

func (sm *evenSimulation) refuse(q *evenRequest) {
	if sm.counts() {
		sm.results.refused++
	}
}

// latency returns the time of a message. A path between zones takes a millisecond or two more.
func (sm *evenSimulation) latency(remote bool) time.Duration {
	d := time.Millisecond + time.Duration(sm.random.Int64N(int64(time.Millisecond)))
	if remote {
		d += 2 * time.Millisecond
	}
	return d
}

func (sm *evenSimulation) after(d time.Duration, deliver func()) {
	heap.Push(&sm.messages, evenMessage{at: sm.now.Add(d), deliver: deliver})
}

func (sm *evenSimulation) send() {
	if sm.counts() {
		sm.results.messages++
	}
}

// askOwner asks the owner of the chosen backend server, and with grants above 1 that of another one, for a place. The owner
// knows the places that it has given.
func (sm *evenSimulation) askOwner(q *evenRequest) {
	h := sm.hosts[q.host]
	asked := []*evenServer{q.server}
	if sm.grants > 1 {
		replicas := h.router.Snapshot.Load().Models[q.model].Replicas
		if other := sm.byName[replicas[sm.random.IntN(len(replicas))].Backend]; other != q.server {
			asked = append(asked, other)
		}
	}
	for range asked {
		sm.send()
	}
	sm.after(2*sm.latency(true), func() {
		best := asked[0]
		for _, s := range asked[1:] {
			if float64(s.reserved)/float64(s.slots)*s.slowness < float64(best.reserved)/float64(best.slots)*best.slowness {
				best = s
			}
		}
		if float64(best.reserved) >= sm.grantLimit*float64(best.slots) {
			q.grant.Done(sm.now, OutcomeNotLoaded)
			delete(h.router.fleet.get(q.server.name).notLoadedAt, q.ticket.Target)
			q.denied = append(q.denied, q.server.name)
			if len(q.denied) >= 4 {
				sm.refuse(q)
				return
			}
			sm.submit(q)
			return
		}
		best.reserved++
		q.server = best
		sm.after(sm.latency(false), func() { sm.reach(q) })
	})
}

// reservePlace asks the owner of the chosen backend server for a place.
func (sm *evenSimulation) reservePlace(q *evenRequest) {
	h := sm.hosts[q.host]
	sm.send()
	sm.after(sm.latency(true), func() {
		s := q.server
		placed := s.ledger.Reserve(sm.now, load.Place{Host: fmt.Sprint(q.host), Tokens: q.grant.Tokens()}, load.Room{
			Requests: sm.policy.FillFactor * float64(s.slots), Tokens: int(MemoryShare * float64(sm.cacheTokens)),
		})
		sum, repliedAt := s.ledger.Sum(sm.now), sm.now
		sm.after(sm.latency(true), func() {
			h.router.MergeLoads(sm.now, receiveLoads(sm.now, repliedAt, []model.BackendLoad{{Backend: s.name, Held: sum}}), false)
			if placed {
				q.grant.Placed()
				s.reserved++
				sm.after(sm.latency(false), func() { sm.reach(q) })
				return
			}
			q.grant.Done(sm.now, OutcomeNoPlace)
			sm.submit(q)
		})
	})
}

// reach is the arrival of a request at its backend server.
func (sm *evenSimulation) reach(q *evenRequest) {
	s := q.server
	q.sends++
	if sm.counts() {
		sm.results.arrivals[slices.Index(sm.servers, s)]++
		if sm.now.Sub(s.refusedAt[q.host]) < 100*time.Millisecond {
			sm.results.again++
		}
	}
	if s.refuses || len(s.waiting) >= queueFactor*s.slots {
		s.refusedAt[q.host] = sm.now
		s.reserved--
		if sm.counts() {
			sm.results.notRun++
		}
		sm.after(sm.latency(false), func() { sm.refused(q) })
		return
	}
	s.tokens += q.tokens
	if sm.cacheTokens > 0 && s.tokens > sm.cacheTokens && sm.counts() {
		sm.results.overfilled++
	}
	s.waiting = append(s.waiting, q)
}

// refused handles the refusal of a backend server at the host.
func (sm *evenSimulation) refused(q *evenRequest) {
	h := sm.hosts[q.host]
	h.router.RecordLoad(sm.now, q.server.name, LoadStatement{Load: sm.statement(q.server), Stated: sm.statements && !q.server.silent, Full: !sm.today})
	q.grant.Done(sm.now, OutcomeOverloaded)
	if sm.today {
		b := h.router.fleet.get(q.server.name)
		b.full = fullState{}
		b.pausedUntil = sm.now.Add(oldPause << h.oldOverloads[q.server.name])
		h.oldOverloads[q.server.name] = min(h.oldOverloads[q.server.name]+1, oldMaxDoubles)
	}
	if q.sends > maxRepeats || !h.router.Budget.Spend(sm.now, ExtraRetry) {
		sm.refuse(q)
		return
	}
	sm.submit(q)
}

func (sm *evenSimulation) statement(s *evenServer) model.StatedLoad {
	stated := model.StatedLoad{Running: len(s.running), Waiting: len(s.waiting), Slots: s.slots, Slowness: int(100 * s.slowness)}
	if s.lies != nil {
		stated = s.lies(stated)
	}
	return stated
}

// advance simulates one step of a backend server.
func (sm *evenSimulation) advance(s *evenServer) {
	if s.down {
		return
	}
	for len(s.running) < s.slots && len(s.waiting) > 0 {
		q := s.waiting[0]
		s.waiting = s.waiting[1:]
		q.prefillTo = s.progress + evenPrefill.Seconds()
		q.endsAt = s.progress + evenPrefill.Seconds() + q.work
		heap.Push(&s.running, q)
	}
	s.progress += evenStep.Seconds() / (s.slowness * (1 + max(0, float64(len(s.running)-1))/float64(s.slots)))
	for _, q := range s.running {
		if !q.first && s.progress >= q.prefillTo {
			q.first = true
			sm.after(sm.latency(false), func() { sm.begin(q) })
		}
	}
	for len(s.running) > 0 && s.running[0].endsAt <= s.progress {
		q := heap.Pop(&s.running).(*evenRequest)
		s.reserved--
		s.tokens -= q.tokens
		sm.after(sm.latency(false), func() { q.grant.Done(sm.now, OutcomeComplete) })
	}
}

// begin is the arrival of the first token at the host.
func (sm *evenSimulation) begin(q *evenRequest) {
	r := sm.hosts[q.host].router
	r.RecordLoad(sm.now, q.server.name, LoadStatement{Load: sm.statement(q.server), Stated: sm.statements && !q.server.silent})
	q.grant.Token(sm.now)
	if sm.today {
		sm.hosts[q.host].oldOverloads[q.server.name] = 0
	}
	if sm.counts() {
		_ = sm.results.first.RecordValue(sm.now.Sub(q.arrivedAt).Milliseconds())
		if sm.now.Sub(q.arrivedAt) > startTimeout {
			sm.results.late++
		}
	}
}

// exchange sends the messages of a host that are due.
func (sm *evenSimulation) exchange(i int) {
	h := sm.hosts[i]
	if sm.now.Sub(h.usageAt) >= usageEvery {
		h.usageAt = sm.now
		sm.reportUsage(i)
	}
	interval := followEvery
	if sm.evenPlan.hosts/sm.zones > largeZoneHosts {
		interval *= 2
	}
	if sm.now.Sub(h.followAt) >= interval {
		h.followAt = sm.now
		sm.callRelay(i)
	}
}

// reportUsage reports what a host has on backend servers to their owners.
func (sm *evenSimulation) reportUsage(i int) {
	h := sm.hosts[i]
	byOwner := make(map[int]map[string]load.Report)
	for _, u := range h.router.TakeUsage() {
		s := sm.byName[u.Backend]
		if byOwner[s.owner] == nil {
			byOwner[s.owner] = make(map[string]load.Report)
		}
		r := byOwner[s.owner][u.Backend]
		r.Started, r.Requests, r.Tokens = r.Started+u.Requests, r.Requests+u.Running, r.Tokens+u.Tokens
		byOwner[s.owner][u.Backend] = r
	}
	for _, owner := range slices.Sorted(keysOf(byOwner)) {
		reports := byOwner[owner]
		sm.send()
		if h.cut || sm.hosts[owner].cut {
			continue
		}
		var known []model.BackendLoad
		if sm.usage {
			for backend := range reports {
				if l, found := h.router.Load(backend); found {
					known = append(known, l)
				}
			}
		}
		sentAt := sm.now
		sm.after(sm.latency(true), func() { sm.receiveUsage(i, owner, sentAt, reports, known) })
	}
}

func keysOf[V any](m map[int]V) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// receiveUsage handles a report at an owner, which replies with the load of its backend servers.
func (sm *evenSimulation) receiveUsage(from, owner int, sentAt time.Time, reports map[string]load.Report, known []model.BackendLoad) {
	for backend, r := range reports {
		sm.byName[backend].ledger.Record(sm.now, fmt.Sprint(from), r)
	}
	if !sm.usage {
		return
	}
	o := sm.hosts[owner].router
	o.MergeLoads(sm.now, receiveLoads(sm.now, sentAt, known), false)
	var sums, reply []model.BackendLoad
	for _, s := range sm.servers {
		if s.owner == owner {
			sums = append(sums, model.BackendLoad{Backend: s.name, Held: s.ledger.Sum(sm.now)})
		}
	}
	o.MergeLoads(sm.now, sums, false)
	for _, s := range sums {
		if l, found := o.Load(s.Backend); found {
			reply = append(reply, l)
		}
	}
	repliedAt := sm.now
	sm.after(sm.latency(true), func() {
		sm.hosts[from].router.MergeLoads(sm.now, receiveLoads(sm.now, repliedAt, reply), false)
		sm.collect(from)
	})
}

// receiveLoads returns the loads of a message. Its receiver does not know how long it took.
func receiveLoads(now, sentAt time.Time, loads []model.BackendLoad) []model.BackendLoad {
	shifted := slices.Clone(loads)
	for i := range shifted {
		l, took := &shifted[i], now.Sub(sentAt)
		for _, at := range []*time.Time{&l.Stated.At, &l.Held.At, &l.FullAt} {
			if !at.IsZero() {
				*at = at.Add(took)
			}
		}
	}
	return load.Receive(now, shifted)
}

// callRelay is a host's call to the relay of its zone, the zone's first host.
func (sm *evenSimulation) callRelay(i int) {
	relay := i % sm.zones
	if relay == i {
		return
	}
	sm.send()
	h := sm.hosts[i]
	if !sm.follow || h.cut || sm.hosts[relay].cut {
		return
	}
	sentAt := sm.now
	own, sequence := h.router.LoadsAfter(sm.now, h.sentSequence, true)
	seen := h.seenSequence
	sm.after(sm.latency(false), func() {
		r := sm.hosts[relay].router
		r.MergeLoads(sm.now, receiveLoads(sm.now, sentAt, own), false)
		all, last := r.LoadsAfter(sm.now, seen, false)
		repliedAt := sm.now
		sm.after(sm.latency(false), func() {
			h.sentSequence, h.seenSequence = sequence, last
			h.router.MergeLoads(sm.now, receiveLoads(sm.now, repliedAt, all), true)
			sm.collect(i)
		})
	})
}
