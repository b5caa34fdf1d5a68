package ledger

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"citronspread/model"
)

const (
	simTick          = 200 * time.Millisecond
	simMaxOrderDelay = 4 * time.Second
	simReportLag     = 1500 * time.Millisecond // routers use a report of a replica for this long; shorter than drainNoticeTime
	simHostListLag   = 8 * time.Second
	simModelBytes    = 40
	simEngineBytes   = 100
	simMaxDelay      = 20 * time.Second
)

// setup is the configuration of a walk.
type setup struct {
	Hosts, Engines, Models int
	Zones                  int
	Fencing                []bool // per engine: it checks fencing tokens
	VolatileFencing        bool   // engines lose their fencing token in a restart
	TrustFencing           bool   // hosts trust fencing tokens
	RoutersReport          bool   // the routers report running requests, and the engines don't list them
	Replicas               []int
}

// breach is a violated guarantee.
type breach struct {
	Guarantee string
	Detail    string
}

func (b breach) Error() string { return b.Guarantee + ": " + b.Detail }

// world simulates the environment of the hosts: store, engines, network and time.
type world struct {
	setup
	rng                *rand.Rand
	now                time.Time
	start              time.Time
	queue              callQueue
	seq                int
	faults             bool
	processes          []*process
	engines            []*simEngine
	store              *simStore
	keys               []model.ModelKey
	config             []model.Source                  // per model: the newest generation of the operators' record
	secondConfig       []model.Source                  // per model: the newest generation of a second record that names it
	stopKnownAt        map[model.Incarnation]time.Time // from when on PeersChanged lists an incarnation as stopped
	reportedTerms      map[string]int64                // per backend server: the highest term under which a host has observed the engine
	reportedAt         map[replicaID]time.Time         // when the owner last reported the replica to the routers
	externalChecksOnly bool                            // ignore the invariants that the hosts assert themselves
	unloadTargets      map[string]*simModel            // per unload order: the loaded model that it was sent for
	intercept          func(*process, Event, []Action) []Action
	breach             *breach
	counts             counts
	trace              []string
	tracing            bool
}

// counts holds the numbers of events of a walk.
type counts struct{ Loads, StandingLoads, Unloads, Takeovers, Refused, Restarts, Steps int }

type replicaID struct {
	backend string
	key     model.ModelKey
}

// process is the process of an entry host. A restart gives it a new Host.
type process struct {
	index             int
	host              *Host
	running           bool
	frozen            bool
	inbox             []Event  // arrived while the process was frozen
	outbox            []Action // emitted, but not carried out before the process froze
	killedAt          time.Time
	storeDisconnected bool
	hiddenPeer        int // index of a process that this one does not see, -1 for none
	config            []model.Source
	secondConfig      []model.Source
	standingRequested bool
	interruptAt       interruptPoint
	interruptMode     interruptMode
}

// interruptPoint is the kind of action at which a process is frozen or killed.
type interruptPoint int

const (
	interruptNever interruptPoint = iota
	interruptModelWrite
	interruptBackendWrite
	interruptLoad
	interruptUnload
	interruptObserve
	interruptQuery
	interruptPointCount
)

// interruptMode is the way in which a process is interrupted.
type interruptMode int

const (
	freezeBefore interruptMode = iota
	freezeAfter
	killBefore
	killAfter
	interruptModeCount
)

// interruptsAt reports whether a process is to be interrupted at an action.
func (p *process) interruptsAt(a Action) bool {
	switch a := a.(type) {
	case WriteRecord:
		backend := strings.HasPrefix(a.Key, "backend/")
		return p.interruptAt == interruptBackendWrite && backend || p.interruptAt == interruptModelWrite && !backend
	case SendOrder:
		load := a.Order.Kind == model.OrderLoad
		return p.interruptAt == interruptLoad && load || p.interruptAt == interruptUnload && !load
	case ObserveEngine:
		return p.interruptAt == interruptObserve
	case QueryUnsent:
		return p.interruptAt == interruptQuery
	}
	return false
}

// interrupt freezes or kills a process if one of the actions is the one to interrupt it at.
func (w *world) interrupt(p *process, actions []Action) {
	if !w.faults || !slices.ContainsFunc(actions, p.interruptsAt) {
		return
	}
	p.interruptAt = interruptNever
	host, d := p.host, time.Duration(0)
	if p.interruptMode == freezeAfter || p.interruptMode == killAfter {
		d = 5 * time.Millisecond
	}
	stop := func() {
		switch {
		case p.host != host || !p.running || !w.faults:
		case p.interruptMode == killBefore || p.interruptMode == killAfter:
			w.kill(p)
			if w.chance(50) {
				w.after(100*time.Millisecond, func() {
					if !p.running {
						w.boot(p)
					}
				})
			}
		default:
			p.frozen = true
		}
	}
	if d == 0 {
		stop()
		return
	}
	w.after(d, stop)
}

type call struct {
	at  time.Time
	seq int
	run func()
}

type callQueue []call

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(call)) }
func (q *callQueue) Pop() any {
	old := *q
	c := old[len(old)-1]
	*q = old[:len(old)-1]
	return c
}

func newWorld(s setup) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		setup: s, now: start, start: start, rng: rand.New(rand.NewPCG(1, 1)), faults: true,
		stopKnownAt: map[model.Incarnation]time.Time{}, reportedTerms: map[string]int64{}, unloadTargets: map[string]*simModel{}, reportedAt: map[replicaID]time.Time{},
	}
	w.store = &simStore{w: w, entries: map[string][]simEntry{}, decided: map[sourceID]int64{}, used: map[model.ModelKey]int{}, allowed: map[model.ModelKey]int{}}
	for i := range s.Models {
		w.keys = append(w.keys, model.ModelKey{Model: fmt.Sprintf("m%d", i), Version: "1"})
		w.config = append(w.config, model.Source{Record: "a", Generation: 1, Replicas: s.Replicas[i]})
		w.secondConfig = append(w.secondConfig, model.Source{Record: "b", Generation: 1, Replicas: 0})
	}
	for i := range s.Engines {
		w.engines = append(w.engines, &simEngine{w: w, name: fmt.Sprintf("e%d", i), fencing: s.Fencing[i], models: map[model.ModelKey]*simModel{}})
	}
	for i := range s.Hosts {
		w.processes = append(w.processes, &process{index: i, hiddenPeer: -1})
		w.boot(w.processes[i])
	}
	w.tickAll()
	return w
}

// zone returns the zone of the host or engine with an index.
func (w *world) zone(index int) string {
	return fmt.Sprintf("z%d", index%w.Zones)
}

func (w *world) logf(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) fail(guarantee, format string, args ...any) {
	if w.breach == nil {
		w.breach = &breach{guarantee, fmt.Sprintf(format, args...)}
		w.logf("BREACH %v", w.breach)
	}
}

// boot starts a process on a host, as a new incarnation.
func (w *world) boot(p *process) {
	w.counts.Restarts++
	if p.host != nil {
		w.stopKnownAt[p.host.Incarnation] = w.now // another incarnation responds at its address
	}
	name := fmt.Sprintf("h%d", p.index)
	p.host = &Host{
		Name: name, Zone: w.zone(p.index), Address: "127.0.0.1:" + name, MaxOrderDelay: simMaxOrderDelay, TrustsFencing: w.TrustFencing,
		Incarnation: model.Incarnation(fmt.Sprintf("%s#%d", name, w.counts.Restarts)),
	}
	p.running, p.frozen, p.inbox, p.outbox, p.interruptAt = true, false, nil, nil, interruptNever
	p.config, p.secondConfig = slices.Clone(w.config), slices.Clone(w.secondConfig)
	w.sendMembers(p)
	w.sendSources(p)
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, call{w.now.Add(d), w.seq, run})
}

// advance moves the clock and runs the calls that become due.
func (w *world) advance(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) && w.breach == nil {
		c := heap.Pop(&w.queue).(call)
		w.now = c.at
		c.run()
	}
	w.now = until
}

// tickAll sends each process its tick and the periodic reports, and schedules itself again.
func (w *world) tickAll() {
	for _, p := range w.processes {
		if !p.running {
			continue
		}
		if w.rng.IntN(5) == 0 {
			w.sendMembers(p)
		}
		if w.RoutersReport && w.rng.IntN(5) < 2 {
			w.sendUsage(p)
		}
		w.deliver(p, Tick{})
		w.reportReplicas(p)
	}
	w.after(simTick, w.tickAll)
}

// reportReplicas makes the replicas of a host visible to the routers and counts takeovers.
func (w *world) reportReplicas(p *process) {
	if p.frozen {
		return
	}
	for _, o := range p.host.Owned() {
		if o.ObservedAt.IsZero() || o.Record.Term <= w.reportedTerms[o.Record.Backend] {
			continue
		}
		w.reportedTerms[o.Record.Backend] = o.Record.Term
		w.counts.Takeovers++
	}
	for _, r := range p.host.Replicas() {
		if !r.Draining && r.Term >= w.reportedTerms[r.Backend] {
			w.reportedAt[replicaID{r.Backend, r.Key}] = w.now
		}
	}
}

// deliver applies an event to a process. A frozen process stores it until it resumes, except for ticks.
func (w *world) deliver(p *process, e Event) {
	if !p.running {
		return
	}
	if p.frozen {
		if _, tick := e.(Tick); !tick {
			p.inbox = append(p.inbox, e)
		}
		return
	}
	w.counts.Steps++
	actions := p.host.Step(w.now, e)
	if w.intercept != nil {
		actions = w.intercept(p, e, actions)
	}
	w.interrupt(p, actions)
	for _, a := range actions {
		w.recordUnloadTarget(a)
		w.emit(p, a)
	}
}

// recordUnloadTarget records the loaded model that an unload order is sent for.
func (w *world) recordUnloadTarget(a Action) {
	if s, ok := a.(SendOrder); ok && s.Order.Kind == model.OrderUnload {
		w.unloadTargets[s.Order.ID] = w.engine(s.Backend).models[s.Order.Key]
	}
}

// emit carries out an action a few milliseconds later. A frozen process does so when it resumes, a stopped one never.
func (w *world) emit(p *process, a Action) {
	host := p.host
	w.after(w.shortDelay(), func() { w.performIfRunning(p, host, a) })
}

func (w *world) performIfRunning(p *process, host *Host, a Action) {
	if !p.running || p.host != host {
		return
	}
	if p.frozen {
		p.outbox = append(p.outbox, a)
		return
	}
	w.perform(p, a)
}

func (w *world) shortDelay() time.Duration {
	return time.Duration(1+w.rng.IntN(4000)) * time.Microsecond
}

// delay draws the delay of a message: usually short, sometimes up to simMaxDelay.
func (w *world) delay() time.Duration {
	if !w.faults {
		return w.shortDelay()
	}
	switch n := w.rng.IntN(100); {
	case n < 85:
		return w.shortDelay()
	case n < 97:
		return time.Duration(w.rng.IntN(1500)) * time.Millisecond
	default:
		return time.Duration(w.rng.Int64N(int64(simMaxDelay)))
	}
}

// chance returns true with the given probability in percent, and false once faults have ended.
func (w *world) chance(percent int) bool {
	return w.faults && w.rng.IntN(100) < percent
}

func (w *world) perform(p *process, a Action) {
	host := p.host
	respond := func(d time.Duration, e Event) {
		w.after(d, func() {
			if p.host == host {
				w.deliver(p, e)
			}
		})
	}
	w.logf("%s %T%+v", host.Incarnation, a, describeAction(a))
	switch a := a.(type) {
	case ReadRecord:
		w.after(w.delay(), func() { w.store.read(p, a, respond) })
	case WriteRecord:
		w.after(w.delay(), func() { w.store.write(p, a, respond) })
	case SendOrder:
		w.sendOrder(p, a, respond)
	case FenceEngine:
		w.after(w.delay(), func() { w.engine(a.Backend).fence(a.Term) })
	case ObserveEngine:
		w.after(w.delay(), func() {
			if w.chance(5) || w.engine(a.Backend).unlisted {
				respond(w.delay(), Observed{Token: a.Token, Backend: a.Backend, Failed: true})
				return
			}
			respond(w.delay(), Observed{Token: a.Token, Backend: a.Backend, Observation: w.engine(a.Backend).observation()})
		})
	case QueryUnsent:
		w.queryIssuer(p, a, respond)
	case AnswerUnsent, LoadRefused:
	case Violation:
		if w.externalChecksOnly {
			return // a breach is detected at the engines instead
		}
		w.fail("invariant asserted by a host", "%s: %s: %s", host.Incarnation, a.Invariant, a.Detail)
	}
}

func describeAction(a any) string {
	s := fmt.Sprintf("%+v", a)
	if v, ok := a.(WriteRecord); ok {
		s = fmt.Sprintf("%d %s@%d %s", v.Token, v.Key, v.Revision, v.Value)
	}
	return s
}

// sendOrder delivers an order to its engine: in time, late or not at all.
func (w *world) sendOrder(p *process, a SendOrder, respond func(time.Duration, Event)) {
	done := func(d time.Duration, o OrderOutcome) { respond(d, OrderAnswered{OrderID: a.Order.ID, Outcome: o}) }
	host := p.host
	arrive := func(reply func(OrderOutcome)) {
		if p.host != host || !p.running {
			if w.now.Sub(w.stoppedAt(p, host)) >= simMaxOrderDelay {
				return
			}
		}
		w.engine(a.Backend).accept(a.Order, reply)
	}
	switch {
	case w.chance(4):
		done(w.delay(), OrderUnsent)
	case w.chance(4):
		done(w.delay(), OrderLost)
	case w.chance(12): // the connection closes, and the order arrives afterwards
		lost := w.delay()
		done(lost, OrderLost)
		w.after(lost+time.Duration(w.rng.Int64N(int64(simMaxOrderDelay))), func() { arrive(func(OrderOutcome) {}) })
	default:
		d := w.delay()
		if w.chance(20) { // the order waits in the sender's kernel
			d = time.Duration(w.rng.Int64N(int64(simMaxOrderDelay)))
		}
		w.after(d, func() {
			arrive(func(o OrderOutcome) {
				if w.chance(10) {
					o = OrderLost
				}
				done(w.delay(), o)
			})
		})
	}
}

// stoppedAt returns when an incarnation of a process stopped, or when its successor started if there is one.
func (w *world) stoppedAt(p *process, host *Host) time.Time {
	if p.host == host {
		return p.killedAt
	}
	return w.stopKnownAt[host.Incarnation]
}

// queryIssuer delivers a query to the issuer of an order and returns its reply.
func (w *world) queryIssuer(p *process, a QueryUnsent, respond func(time.Duration, Event)) {
	if w.chance(10) {
		return
	}
	w.after(w.delay(), func() {
		i := slices.IndexFunc(w.processes, func(q *process) bool { return q.host.Address == a.Address })
		if i < 0 || !w.processes[i].running || w.processes[i].frozen {
			return
		}
		q := w.processes[i]
		if q.host.Incarnation != a.Issuer {
			w.sendMembers(p)
			return
		}
		for _, v := range q.host.Step(w.now, UnsentQueried{OrderID: a.OrderID, From: p.host.Incarnation}) {
			if r, ok := v.(AnswerUnsent); ok {
				respond(w.delay(), UnsentAnswered{OrderID: a.OrderID, Issuer: a.Issuer, WillNotSend: r.WillNotSend})
				continue
			}
			w.emit(q, v)
		}
	})
}

func (w *world) engine(name string) *simEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *simEngine) bool { return e.name == name })]
}

// sendMembers sends a process its live peers, the stopped incarnations and the owner that each backend server should have.
func (w *world) sendMembers(p *process) {
	var e PeersChanged
	for _, q := range w.processes {
		if q.host == nil || !q.running || q != p && (q.frozen || q.index == p.hiddenPeer || w.zone(q.index) != w.zone(p.index)) {
			continue
		}
		e.Peers = append(e.Peers, model.Peer{Name: q.host.Name, Zone: q.host.Zone, Address: q.host.Address, Incarnation: q.host.Incarnation})
	}
	for i, at := range w.stopKnownAt {
		if !w.now.Before(at) {
			e.Stopped = append(e.Stopped, i)
		}
	}
	slices.Sort(e.Stopped)
	w.deliver(p, e)
	var b BackendsChanged
	for i, g := range w.engines {
		if w.zone(i) != w.zone(p.index) || g.unlisted {
			continue
		}
		b.Backends = append(b.Backends, Assignment{Backend: g.name, Owner: rendezvousOwner(g.name, e.Peers)})
	}
	w.deliver(p, b)
}

// rendezvousOwner chooses a peer by rendezvous hashing.
func rendezvousOwner(backendName string, peers []model.Peer) string {
	best, name := uint64(0), ""
	for _, p := range peers {
		f := fnv.New64a()
		f.Write([]byte(backendName + "/" + p.Name))
		if s := f.Sum64() * 0x9e3779b97f4a7c15; name == "" || s > best {
			best, name = s, p.Name
		}
	}
	return name
}

// isLeader reports whether a host is the leader of a model in its zone.
func (w *world) isLeader(p *process, i int) bool {
	hosts := (w.Hosts - p.index%w.Zones + w.Zones - 1) / w.Zones
	return i%hosts == p.index/w.Zones
}

// sendSources sends a process its version of the configuration, and the standing reservations it should have.
func (w *world) sendSources(p *process) {
	var e SourcesChanged
	var generations [2]int64
	for i, key := range w.keys {
		s := []model.Source{p.config[i], p.secondConfig[i]}
		e.Models = append(e.Models, ModelSources{Key: key, Sources: s, Bytes: simModelBytes, Leader: w.isLeader(p, i)})
		generations[0] = max(generations[0], s[0].Generation)
		generations[1] = max(generations[1], s[1].Generation)
	}
	w.deliver(p, e)
	for _, g := range w.engines {
		s := StandingChanged{Backend: g.name}
		if p.standingRequested {
			s.Keys = w.keys
		}
		w.deliver(p, s)
	}
}

// simStore simulates the platform's store.
type simStore struct {
	w             *world
	entries       map[string][]simEntry // every version of each key
	revision      int64
	down          bool
	unconditional bool // baseline leaseOnly: writes of backend records don't compare revisions
	used          map[model.ModelKey]int
	decided       map[sourceID]int64     // per source: highest generation written
	allowed       map[model.ModelKey]int // maximum number of replicas that may be loaded now
}

type sourceID struct {
	key    model.ModelKey
	record string
}

type simEntry struct {
	value    []byte
	revision int64
}

func (s *simStore) current(key string) simEntry {
	if v := s.entries[key]; len(v) > 0 {
		return v[len(v)-1]
	}
	return simEntry{}
}

func (s *simStore) read(p *process, a ReadRecord, respond func(time.Duration, Event)) {
	e := StoreAnswered{Token: a.Token, Key: a.Key, Outcome: StoreFailed}
	if s.w.chance(4) {
		return
	}
	if !s.down && !p.storeDisconnected {
		v := s.current(a.Key)
		if old := s.entries[a.Key]; len(old) > 1 && s.w.chance(5) {
			v = old[len(old)-2]
		}
		e.Outcome, e.Value, e.Revision = StoreRead, v.value, v.revision
		if v.revision == 0 {
			e.Outcome = StoreNotFound
		}
	}
	respond(s.w.delay(), e)
}

func (s *simStore) write(p *process, a WriteRecord, respond func(time.Duration, Event)) {
	e := StoreAnswered{Token: a.Token, Key: a.Key, Outcome: StoreFailed}
	switch v := s.current(a.Key); {
	case p.storeDisconnected || s.down || s.w.chance(3):
		if s.w.chance(30) {
			e.Outcome = StoreAmbiguous
		}
	case v.revision != a.Revision && !(s.unconditional && strings.HasPrefix(a.Key, "backend/")):
		e.Outcome, e.Value, e.Revision = StoreConflict, v.value, v.revision
		if s.w.chance(30) {
			e.Value = nil
		}
	default:
		s.apply(a)
		e.Outcome, e.Revision = StoreApplied, s.revision
		if s.w.chance(10) {
			e.Outcome = StoreAmbiguous
		}
		if s.w.chance(10) {
			return
		}
	}
	respond(s.w.delay(), e)
}

func (s *simStore) apply(a WriteRecord) {
	s.revision++
	s.entries[a.Key] = append(s.entries[a.Key], simEntry{a.Value, s.revision})
	s.w.logf("store %s@%d", a.Key, s.revision)
	if strings.HasPrefix(a.Key, "model/") {
		s.checkModel(a.Value)
	}
	for _, p := range s.w.processes {
		if s.w.rng.IntN(4) == 0 && !p.storeDisconnected {
			revision := s.revision
			s.w.after(s.w.delay(), func() { s.w.deliver(p, RecordReceived{Key: a.Key, Value: a.Value, Revision: revision}) })
		}
	}
}

// isStanding reports whether an order belongs to a standing reservation in the store.
func (s *simStore) isStanding(backend, order string) bool {
	var r model.BackendRecord
	if json.Unmarshal(s.current("backend/"+backend).value, &r) != nil {
		return false
	}
	i := findOrder(r, order)
	return i >= 0 && r.Reservations[i].State == model.ReservationStanding
}

// checkModel checks the guarantees for slots and computes how many replicas may be loaded: the decided number,
// or, after it was lowered, the number of slots that have remained in use since.
func (s *simStore) checkModel(value []byte) {
	var r model.ModelRecord
	if err := json.Unmarshal(value, &r); err != nil {
		s.w.fail("record readable", "%v", err)
		return
	}
	for _, v := range r.Sources {
		if id := (sourceID{r.Key, v.Record}); v.Generation < s.decided[id] {
			s.w.fail("a decided number never reverts", "%s: generation %d of record %s after %d", r.Key, v.Generation, v.Record, s.decided[id])
		} else {
			s.decided[id] = v.Generation
		}
	}
	used, decided := r.UsedSlots(), r.DecidedReplicas()
	if used > max(decided, s.used[r.Key]) {
		s.w.fail("used slots within the decided number", "%s: %d used, %d before, %d decided", r.Key, used, s.used[r.Key], decided)
	}
	s.used[r.Key] = used
	s.allowed[r.Key] = max(decided, min(s.allowed[r.Key], used))
	s.w.checkReplicas(r.Key)
}

// checkReplicas checks, by the engines' own count, that there are no more replicas than decided and that each has a slot.
func (w *world) checkReplicas(key model.ModelKey) {
	n := w.replicas(key)
	if n > w.store.allowed[key] {
		w.fail("no more replicas than decided", "%s: %d loaded, %d allowed", key, n, w.store.allowed[key])
	}
	if n > w.store.used[key] {
		w.fail("each replica has a slot", "%s: %d loaded, %d slots used", key, n, w.store.used[key])
	}
}

// replicas returns how many engines have a model loaded.
func (w *world) replicas(key model.ModelKey) int {
	n := 0
	for _, e := range w.engines {
		if e.models[key] != nil {
			n++
		}
	}
	return n
}

// simEngine simulates a model engine.
type simEngine struct {
	w           *world
	name        string
	fencing     bool
	term        int64
	incarnation int
	unlisted    bool // left the host list, and responds to no calls
	models      map[model.ModelKey]*simModel
}

type simModel struct {
	bytes   int64
	ready   bool
	running int
}

func (e *simEngine) fence(term int64) {
	if e.fencing {
		e.term = max(e.term, term)
	}
}

func (e *simEngine) observation() model.Observation {
	o := model.Observation{Backend: e.name, Incarnation: model.Incarnation(fmt.Sprintf("%s#%d", e.name, e.incarnation)), MemoryBytes: simEngineBytes, Term: e.term}
	for _, key := range e.w.keys {
		if m := e.models[key]; m != nil {
			o.Models = append(o.Models, model.LoadedModel{Key: key, Bytes: m.bytes, Ready: m.ready, Running: e.listedRunning(m)})
		}
	}
	return o
}

func (e *simEngine) listedRunning(m *simModel) int {
	if e.w.RoutersReport {
		return 0
	}
	return m.running
}

// sendUsage sends a host the routers' numbers of running requests.
func (w *world) sendUsage(p *process) {
	for _, e := range w.engines {
		for _, key := range w.keys {
			if m := e.models[key]; m != nil {
				w.deliver(p, UsageReported{Backend: e.name, Key: key, Running: m.running})
			}
		}
	}
}

// accept carries out an order and checks the guarantees against the engine's own state.
func (e *simEngine) accept(o model.Order, reply func(OrderOutcome)) {
	if e.unlisted {
		reply(OrderLost)
		return
	}
	e.w.logf("%s accepts %+v", e.name, o)
	if e.fencing && o.Term < e.term {
		e.w.counts.Refused++
		reply(OrderRefused)
		return
	}
	if o.Kind == model.OrderUnload {
		e.unload(o, reply)
		return
	}
	if e.models[o.Key] != nil {
		e.w.fail("a model is loaded once", "%s: %s loaded again by order %s", e.name, o.Key, o.ID)
		reply(OrderRefused)
		return
	}
	e.w.counts.Loads++
	if e.w.store.isStanding(e.name, o.ID) {
		e.w.counts.StandingLoads++
	}
	m := &simModel{bytes: o.Bytes}
	e.models[o.Key] = m
	var sum int64
	for _, v := range e.models {
		sum += v.bytes
	}
	if sum > simEngineBytes {
		e.w.fail("memory never overcommitted", "%s: %d of %d bytes used after order %s", e.name, sum, simEngineBytes, o.ID)
	}
	e.w.checkReplicas(o.Key)
	e.w.after(time.Duration(100+e.w.rng.IntN(4000))*time.Millisecond, func() {
		if e.models[o.Key] != m {
			reply(OrderLost)
			return
		}
		if e.w.chance(10) {
			delete(e.models, o.Key)
			reply(OrderFailed)
			return
		}
		m.ready = true
		reply(OrderDone)
	})
}

func (e *simEngine) unload(o model.Order, reply func(OrderOutcome)) {
	m := e.models[o.Key]
	if m == nil {
		reply(OrderDone)
		return
	}
	e.w.counts.Unloads++
	if m != e.w.unloadTargets[o.ID] {
		e.w.fail("an unload removes no model that was loaded after the order was sent", "%s: %s by order %s", e.name, o.Key, o.ID)
	}
	if m.running > 0 {
		e.w.fail("an unload interrupts no request", "%s: %s by order %s", e.name, o.Key, o.ID)
	}
	delete(e.models, o.Key)
	reply(OrderDone)
}

func (e *simEngine) restart() {
	e.incarnation++
	e.models = map[model.ModelKey]*simModel{}
	if e.w.VolatileFencing {
		e.term = 0
	}
}

// request sends a request to a replica, if a host has reported the replica within simReportLag.
func (e *simEngine) request(key model.ModelKey) {
	m := e.models[key]
	if m == nil || !m.ready || e.w.now.Sub(e.w.reportedAt[replicaID{e.name, key}]) > simReportLag {
		return
	}
	m.running++
	e.w.after(time.Duration(200+e.w.rng.IntN(6000))*time.Millisecond, func() { m.running-- })
}
