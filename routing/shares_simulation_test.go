package routing

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronspread/fairshare"
)

// demandOf is the load of one workspace in a simulation of fair shares.
type demandOf struct {
	workspace string
	priority  int           // of the router, 0 for 50
	perSecond float64       // arrivals at all hosts together
	from      time.Duration // after the start
	until     time.Duration // 0 for the end
	hosts     int           // number of the first hosts that get them, 0 for all
	tokens    int           // mean length of a response, 0 for 12
	retries   bool          // a refused request is sent again at once, for as long as its caller waits
}

// sharePlan describes a simulation of fair shares: hosts of one zone with 200 places, which take about 230 requests of 12
// tokens a second.
type sharePlan struct {
	hosts     int
	length    time.Duration
	demands   []demandOf
	exchange  time.Duration                            // interval of the exchange of counters with the relay, the first host; 0 for none
	cut       func(host int, after time.Duration) bool // the host does not reach the relay; nil for none
	oblivious bool                                     // the routers are not told the workspaces
	seed      uint64
}

// shareOf is what the callers of a workspace got.
type shareOf struct {
	sent     int // requests, without their retries
	served   int // complete responses that began in time
	retries  int
	service  float64
	waits    *hdrhistogram.Histogram // milliseconds until the grant, of the served ones
	refusals *hdrhistogram.Histogram // milliseconds until the refusal
	late     int                     // refused requests that had waited for their whole time
}

func newShareOf() *shareOf {
	return &shareOf{waits: hdrhistogram.New(1, 60_000, 3), refusals: hdrhistogram.New(1, 60_000, 3)}
}

func (s *shareOf) add(other *shareOf) {
	s.sent += other.sent
	s.served += other.served
	s.retries += other.retries
	s.late += other.late
	s.service += other.service
	s.waits.Merge(other.waits)
	s.refusals.Merge(other.refusals)
}

func (s *shareOf) servedPart() float64 { return float64(s.served) / float64(max(1, s.sent)) }

const (
	patience          = 1700 * time.Millisecond // how long callers wait for a response to begin
	retryAfterRefusal = 20 * time.Millisecond   // time between a refusal and the retry of a caller that retries at once
)

// shareSimulation plays a sharePlan.
type shareSimulation struct {
	*policySimulation
	sharePlan
	shares         map[string]*shareOf
	requests       map[*simulatedStream]callerRequest
	again          []callerRequest      // refused ones that are sent again, in the order of their retries
	reports        []*fairshare.Report  // by host: without a reply yet
	exchanged      []time.Time          // by host: when the last report was sent
	perSecond      []map[string]float64 // service by workspace in each second
	calls          int                  // of hosts to the relay
	amounts        int                  // in all of them
	largestMessage int                  // in one message
}

// callerRequest is a request whose caller has waited since a time.
type callerRequest struct {
	demandOf
	since time.Time
	at    time.Time // of the next retry
}

func runShares(p sharePlan) *shareSimulation {
	const replicas, places = 4, 50
	sm := &shareSimulation{
		sharePlan: p, shares: make(map[string]*shareOf), requests: make(map[*simulatedStream]callerRequest),
		reports: make([]*fairshare.Report, p.hosts), exchanged: make([]time.Time, p.hosts),
	}
	sm.policySimulation = newPolicySimulation(plan{
		seed: p.seed + 1, routers: p.hosts, replicas: replicas, capacity: places, length: p.length, policy: DefaultPolicy(), picker: LatencyPicker{}, reportEvery: 20 * time.Millisecond, finishWithin: 4 * time.Second,
	})
	for i, r := range sm.routers {
		r.Name = fmt.Sprint("host-", i)
	}
	sm.onStep, sm.onFinish, sm.onRefuse = sm.step, sm.finished, sm.refused
	sm.policySimulation.run()
	return sm
}

func (sm *shareSimulation) share(workspace string) *shareOf {
	s := sm.shares[workspace]
	if s == nil {
		s = newShareOf()
		sm.shares[workspace] = s
	}
	return s
}

func (sm *shareSimulation) after() time.Duration { return sm.now.Sub(testTime) }

func (sm *shareSimulation) step() {
	due := 0
	for due < len(sm.again) && !sm.now.Before(sm.again[due].at) {
		due++
	}
	retries := sm.again[:due:due]
	sm.again = sm.again[due:]
	for _, r := range retries {
		sm.send(r)
	}
	for _, d := range sm.demands {
		if after := sm.after(); after < d.from || d.until > 0 && after >= d.until {
			continue
		}
		for range sm.poisson(d.perSecond * simulationStep.Seconds()) {
			sm.share(d.workspace).sent++
			sm.send(callerRequest{demandOf: d, since: sm.now})
		}
	}
	if sm.exchange > 0 {
		for i := 1; i < sm.plan.routers; i++ {
			sm.exchangeCounters(i)
		}
	}
}

// exchangeCounters ends the host's last call to the relay and begins the next one. The reply contains what the relay knows
// when it ends.
func (sm *shareSimulation) exchangeCounters(i int) {
	if sm.now.Sub(sm.exchanged[i]) < sm.exchange || sm.cut != nil && sm.cut(i, sm.after()) {
		return
	}
	relay, host := sm.routers[0], sm.routers[i]
	if report := sm.reports[i]; report != nil {
		totals := relay.ServedTotals(sm.now, report)
		sm.calls++
		sm.amounts += len(totals.Amounts) + len(report.Amounts) + len(report.Known)
		sm.largestMessage = max(sm.largestMessage, len(totals.Amounts), len(report.Amounts)+len(report.Known))
		host.ServedReported(sm.now, totals)
	}
	sm.reports[i], sm.exchanged[i] = host.ReportServed(sm.now, relay.Name), sm.now
	relay.ReceiveServed(sm.now, sm.reports[i])
}

func (sm *shareSimulation) send(r callerRequest) {
	mean := r.tokens
	if mean == 0 {
		mean = 12
	}
	s := &simulatedStream{arrivedAt: sm.now, prefill: prefillTime, tokens: sm.draw(mean), deadline: sm.now.Add(30 * time.Second)}
	s.ticket = ticket(sm.now, 1<<log2(s.tokens), 30*time.Second)
	s.ticket.StartBy = r.since.Add(patience)
	s.ticket.PromptTokens = 4 * mean
	if r.priority > 0 {
		s.ticket.Priority = r.priority
	}
	if !sm.oblivious {
		s.ticket.Workspace = r.workspace
	}
	hosts := sm.plan.routers
	if r.hosts > 0 {
		hosts = r.hosts
	}
	s.router = sm.random.IntN(hosts)
	sm.requests[s] = r
	sm.submit(s)
}

func (sm *shareSimulation) finished(s *simulatedStream) {
	r := sm.requests[s]
	delete(sm.requests, s)
	share := sm.share(r.workspace)
	share.served++
	_ = share.waits.RecordValue(s.grant.Waited.Milliseconds())
	service := fairshare.Cost(s.ticket.PromptTokens, s.grant.tokens)
	share.service += service
	second := int(sm.after() / time.Second)
	for len(sm.perSecond) <= second {
		sm.perSecond = append(sm.perSecond, make(map[string]float64))
	}
	sm.perSecond[second][r.workspace] += service
}

func (sm *shareSimulation) refused(s *simulatedStream) {
	r := sm.requests[s]
	delete(sm.requests, s)
	share := sm.share(r.workspace)
	waited := sm.now.Sub(s.arrivedAt)
	_ = share.refusals.RecordValue(waited.Milliseconds())
	if waited > patience/2 {
		share.late++
	}
	if r.retries && sm.now.Add(retryAfterRefusal).Before(r.since.Add(patience)) {
		share.retries++
		r.at = sm.now.Add(retryAfterRefusal)
		sm.again = append(sm.again, r)
	}
}

// serviceBetween returns the service of a workspace that was completed between two seconds.
func (sm *shareSimulation) serviceBetween(workspace string, from, to int) float64 {
	sum := 0.0
	for second := from; second < min(to, len(sm.perSecond)); second++ {
		sum += sm.perSecond[second][workspace]
	}
	return sum
}

// others returns the sum of all workspaces but one.
func (sm *shareSimulation) others(except string) *shareOf {
	sum := newShareOf()
	for name, s := range sm.shares {
		if name != except {
			sum.add(s)
		}
	}
	return sum
}

// floodAmong returns one workspace with seven times its usual demand beside 15 others, with capacity for half of the sum.
func floodAmong() []demandOf {
	const unit = 21
	demands := []demandOf{{workspace: "flood", perSecond: 7 * unit}}
	for i := range 15 {
		demands = append(demands, demandOf{workspace: fmt.Sprint("usual-", i), perSecond: unit})
	}
	return demands
}

func (s *shareOf) String() string {
	return fmt.Sprintf("served %.3f of %d, service %.0f, wait p50 %d p95 %d ms, refused after p50 %d p95 %d ms, %d late, %d retries", s.servedPart(), s.sent, s.service,
		s.waits.ValueAtQuantile(50), s.waits.ValueAtQuantile(95), s.refusals.ValueAtQuantile(50), s.refusals.ValueAtQuantile(95), s.late, s.retries)
}
