package routing

import (
	"context"
	"errors"
	"slices"
	"time"

	"citronspread/model"
)

// endpointCalls holds this router's calls to the endpoints of plain services, by address.
type endpointCalls struct {
	running      map[string]int
	byBackend    map[string]int // of running, by the names of the backend servers
	full         map[string]*fullState
	trials       map[string]int       // of running, trials of suspects
	trialCrashAt map[string]time.Time // when a crash was last attributed to a trial
	pausedUntil  map[string]time.Time
	awaitingRoom int // calls that wait because all endpoints are full
}

func newEndpointCalls() endpointCalls {
	return endpointCalls{
		running: make(map[string]int), byBackend: make(map[string]int), full: make(map[string]*fullState), trials: make(map[string]int), trialCrashAt: make(map[string]time.Time), pausedUntil: make(map[string]time.Time),
	}
}

// EndpointGrant is the right to send one call to an endpoint of a plain service, which is a service without an engine.
// Done must be called once.
type EndpointGrant struct {
	Endpoint    model.ServiceEndpoint
	Load        LoadInput // of the backend server, before this call
	router      *Router
	fingerprint model.Fingerprint
	trial       bool
	limited     bool // it has used an allowance of the backend server
	startedAt   time.Time
}

// HasService reports whether the current snapshot lists an endpoint of the service.
func (r *Router) HasService(service string) bool {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(r.Now())
	return len(r.index.endpoints[service]) > 0
}

// AcquireEndpoint grants a call to an endpoint of the request's service, or refuses it with a *RefusedError. A suspect
// runs as a trial without waiting until its claim has reached the other entry hosts: a call is over sooner than that.
func (r *Router) AcquireEndpoint(ctx context.Context, request Request) (*EndpointGrant, error) {
	r.once.Do(r.init)
	cleared, err := r.awaitClearance(ctx, &request, true)
	if err != nil {
		return nil, err
	}
	grant, err := r.awaitEndpointGrant(ctx, &request, cleared.trial)
	if err != nil && cleared.trial {
		r.Suspects.Release(request.Fingerprint)
	}
	return grant, err
}

// awaitEndpointGrant grants a call to an endpoint, and waits for an allowance if all endpoints have stated a limit.
func (r *Router) awaitEndpointGrant(ctx context.Context, request *Request, trial bool) (*EndpointGrant, error) {
	defer r.endWaiting(request)
	for {
		now := r.Now()
		if r.isWaiting(request) && request.Deadline.Sub(now) < minCallTime {
			return nil, &RefusedError{Reason: ReasonLimited, RetryAfter: minRetryAfter}
		}
		grant, err := r.grantEndpoint(now, request, trial)
		r.requestAllowances(r.takeAllowanceRequests(r.Now()))
		var wait *allowanceWaitError
		if !errors.As(err, &wait) {
			return grant, err
		}
		r.countAwaitingRoom(wait, 1)
		err = r.awaitAllowance(ctx, request, wait)
		r.countAwaitingRoom(wait, -1)
		if err != nil {
			return nil, err
		}
	}
}

// countAwaitingRoom counts the calls that wait because all endpoints are full.
func (r *Router) countAwaitingRoom(wait *allowanceWaitError, n int) {
	if !wait.full {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpointCalls.awaitingRoom += n
}

// allows reports whether an endpoint has the software version of the target.
func (t Target) allows(e model.ServiceEndpoint) bool {
	return t.Software == "" || t.Software == e.Software
}

// grantEndpoint chooses an endpoint and counts a call to it. It skips endpoints of other software versions than the target's,
// leaving endpoints, endpoints with MaxEndpointCalls calls, those whose address is in Avoid, those in back-off and full ones.
// If all others have stated a limit that allows no call now, or are full, it returns a *allowanceWaitError. In the first case
// it remembers that the request waits. If all are in back-off it refuses the call.
func (r *Router) grantEndpoint(now time.Time, request *Request, trial bool) (*EndpointGrant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(now)
	var usable []model.ServiceEndpoint
	var limited, full, inBackOff []string
	var backOffEnd time.Time
	roomAt := now.Add(maxFullPause)
	for _, e := range r.index.endpoints[request.Service] {
		if !request.Target.allows(e) || !r.mayCall(now, e) || request.avoids(e.Address) || r.endpointCalls.running[e.Address] >= r.Policy.MaxEndpointCalls {
			continue
		}
		if until, wantsNone := r.stated.backOffEnd(now, backendOf(e), e.Born); wantsNone {
			inBackOff, backOffEnd = append(inBackOff, backendOf(e)), earliest(backOffEnd, until)
			continue
		}
		if at := r.stated.rampNextAt(now, backendOf(e), e.Born); !at.IsZero() {
			full, roomAt = append(full, backendOf(e)), earliest(roomAt, at)
			continue
		}
		if f := r.endpointCalls.fullOf(e.Address); r.isFull(now, f, backendOf(e), r.loadView(now, backendOf(e)).slots) {
			full = append(full, backendOf(e))
			if f.until.After(now) && f.until.Before(roomAt) {
				roomAt = f.until
			}
			continue
		}
		usable = append(usable, e)
		if r.stated.allowances[backendOf(e)] != nil {
			limited = append(limited, backendOf(e))
		}
	}
	if len(usable) == 0 && len(full) > 0 {
		wait := min(roomAt.Sub(now), fullPause)
		return nil, &allowanceWaitError{next: wait, total: wait, changed: r.stated.changed, backends: full, full: true}
	}
	if len(usable) == 0 && len(inBackOff) > 0 {
		return nil, &RefusedError{Reason: ReasonBackOff, RetryAfter: backOffEnd.Sub(now), Backends: inBackOff}
	}
	if len(usable) == 0 {
		return nil, &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: minRetryAfter}
	}
	if ahead := r.stated.ahead(request); len(limited) == len(usable) && r.stated.sendable(now, limited) <= ahead {
		return nil, r.stated.wait(now, request, limited, ahead)
	}
	if len(limited) > 0 && r.stated.sendable(now, limited) == 0 && r.stated.askFor(now, request, limited) && now.Sub(request.askedAt) < maxReplyWait {
		return nil, &allowanceWaitError{next: maxReplyWait, changed: r.stated.changed}
	}
	best := r.chooseEndpoint(now, usable, trial)
	input := r.loadInput(now, backendOf(best))
	r.endpointCalls.fullOf(best.Address).granted(now, r.random)
	r.stated.use(now, backendOf(best))
	r.stated.recordSent(now, backendOf(best))
	r.endpointCalls.running[best.Address]++
	r.endpointCalls.byBackend[backendOf(best)]++
	if trial {
		r.endpointCalls.trials[best.Address]++
	}
	return &EndpointGrant{
		Endpoint: best, Load: input, router: r, fingerprint: request.Fingerprint, trial: trial, limited: r.stated.allowances[backendOf(best)] != nil, startedAt: now,
	}, nil
}

// Done ends the call. An endpoint that did not respond as expected is used last for Policy.FailurePause.
func (g *EndpointGrant) Done(now time.Time, outcome Outcome) {
	r := g.router
	r.mu.Lock()
	possibleCause := r.endpointCalls.finish(now, g, outcome)
	f := r.endpointCalls.fullOf(g.Endpoint.Address)
	r.endFull(now, f, backendOf(g.Endpoint), g.startedAt, outcome)
	if f.at.IsZero() {
		delete(r.endpointCalls.full, g.Endpoint.Address)
	}
	if r.endpointCalls.awaitingRoom > 0 {
		r.stated.notify()
	}
	var survived []loss
	if possibleCause {
		r.losses.add(loss{backend: backendOf(g.Endpoint), at: now, fingerprint: g.fingerprint})
	}
	switch outcome {
	case OutcomeComplete, OutcomeRejected, OutcomeAbandoned:
		delete(r.endpointCalls.pausedUntil, g.Endpoint.Address)
		if outcome != OutcomeAbandoned && g.Endpoint.Backend != "" { // without an ID it may have been restarted
			survived = r.losses.takeSurvived(now, g.Endpoint.Backend, g.startedAt)
		}
	case OutcomeOverloaded, OutcomeWithheld: // see fullState and Confirm
	default:
		r.endpointCalls.pausedUntil[g.Endpoint.Address] = now.Add(r.Policy.FailurePause)
	}
	r.mu.Unlock()
	r.Suspects.recordOutcome(now, suspectRun{fingerprint: g.fingerprint, backend: backendOf(g.Endpoint), trial: g.trial, recent: true}, outcome, possibleCause)
	r.withdraw(now, survived)
}

// backendOf returns the name of an endpoint's backend server: its ID, which changes at a restart, or else its address.
func backendOf(e model.ServiceEndpoint) string {
	if e.Backend != "" {
		return e.Backend
	}
	return e.Address
}

// Backend returns the name of the backend server: its ID, or its address if it has none.
func (g *EndpointGrant) Backend() string { return backendOf(g.Endpoint) }

// finish ends a call and reports whether its request may have crashed the backend server. If a trial was running there,
// the crash is attributed to the trial alone.
func (c *endpointCalls) finish(now time.Time, g *EndpointGrant, outcome Outcome) (possibleCause bool) {
	address := g.Endpoint.Address
	trials := c.trials[address]
	decrement(c.running, address)
	decrement(c.byBackend, backendOf(g.Endpoint))
	if g.trial {
		decrement(c.trials, address)
	}
	switch {
	case outcome != OutcomeConnectionLost && outcome != OutcomeNoResponse:
		return false
	case g.trial:
		c.trialCrashAt[address] = now
		return true
	}
	at, known := c.trialCrashAt[address]
	return trials == 0 && (!known || now.Sub(at) >= sameCrashWindow)
}

// decrement lowers a count and removes it at 0.
func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// fullOf returns the state of an endpoint that may be full.
func (c *endpointCalls) fullOf(address string) *fullState {
	f := c.full[address]
	if f == nil {
		f = &fullState{}
		c.full[address] = f
	}
	return f
}

// chooseEndpoint chooses one of the usable endpoints whose limits allow a call: of the reachable ones if there are any, for a
// trial of those without another trial, then of those in the router's zone unless Policy.AnyZone is set, then of those that
// are expected to have room. Among the rest the router's picker decides.
func (r *Router) chooseEndpoint(now time.Time, usable []model.ServiceEndpoint, trial bool) model.ServiceEndpoint {
	left := slices.DeleteFunc(usable, func(e model.ServiceEndpoint) bool { return !r.stated.allows(now, backendOf(e)) })
	left = preferred(left, func(e model.ServiceEndpoint) bool { return !now.Before(r.endpointCalls.pausedUntil[e.Address]) })
	if trial {
		left = preferred(left, func(e model.ServiceEndpoint) bool { return r.endpointCalls.trials[e.Address] == 0 })
	}
	if !r.Policy.AnyZone {
		left = preferred(left, func(e model.ServiceEndpoint) bool { return e.Zone == r.Zone })
	}
	left = preferred(left, func(e model.ServiceEndpoint) bool {
		v := r.loadView(now, backendOf(e))
		return v.slots == 0 || v.weight*v.others+float64(r.endpointCalls.running[e.Address]) < r.Policy.fillLimit(v.slots)
	})
	candidates := make([]Candidate, len(left))
	slots := 0
	for i, e := range left {
		v := r.loadView(now, backendOf(e))
		slots = max(slots, v.slots)
		candidates[i] = Candidate{
			Backend: backendOf(e), Capacity: v.slots, Outstanding: r.endpointCalls.running[e.Address],
			KnownOthers: v.others, Confidence: v.weight, Slowness: v.slowness,
		}
	}
	for i := range candidates {
		if candidates[i].Capacity == 0 {
			candidates[i].Capacity = max(1, slots) // equal ones, as far as is known
		}
	}
	return left[r.Picker.Pick(now, candidates, r.random)]
}

// preferred returns the endpoints for which the condition holds, or all if it holds for none.
func preferred(endpoints []model.ServiceEndpoint, condition func(model.ServiceEndpoint) bool) []model.ServiceEndpoint {
	var found []model.ServiceEndpoint
	for _, e := range endpoints {
		if condition(e) {
			found = append(found, e)
		}
	}
	if len(found) == 0 {
		return endpoints
	}
	return found
}
