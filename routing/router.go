package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"citronspread/model"
)

const (
	tickInterval      = 20 * time.Millisecond
	idleInterval      = loadHistoryInterval    // the load history needs one sample for each loadHistoryInterval
	lateCheckInterval = 100 * time.Millisecond // interval of refuseLate
	heldPollInterval  = 50 * time.Millisecond  // interval of checks while another copy of a suspect runs
	overdueTolerance  = 500 * time.Millisecond // time after the deadline from which a waiting request counts as a violation
	minRetryAfter     = time.Second
	// freezeThreshold is the time without a step from which the process counts as frozen. An idle router steps ten times
	// as often.
	freezeThreshold = time.Second
	// postFreezeDelay is the time without grants after a freeze, in which updates that arrived meanwhile, such as backend
	// servers that are leaving, are applied.
	postFreezeDelay = 250 * time.Millisecond
)

// DemandReporter sends load demands to the leader of a model.
type DemandReporter interface {
	ReportDemand(model.LoadDemand)
}

// Router queues requests and grants each a replica. The exported fields must be set before use.
type Router struct {
	Name               string
	Zone               string
	Policy             Policy
	Picker             Picker
	DemandReporter     DemandReporter
	AllowanceRequester AllowanceRequester // nil if no backend server states a limit
	Budget             *Budget
	Suspects           *Suspects
	PromptParts        *PromptParts // nil if no request has PromptParts
	Snapshot           *atomic.Pointer[model.Snapshot]
	Now                func() time.Time
	Seed               uint64

	once           sync.Once
	changed        chan struct{}
	mu             sync.Mutex
	queue          Queue
	fleet          fleet
	index          *index
	random         *rand.Rand
	lateCheckedAt  time.Time
	steppedAt      time.Time
	noGrantsBefore time.Time // nothing is granted before this time, set after a freeze

	estimates     estimates
	coldSince     map[Target]time.Time // since when requests wait for a target that is not loaded
	readyAt       map[Target]time.Time // when such a target is expected to be loaded, set by SetReadyAt
	demandSentAt  map[Target]time.Time // when the last load demand was sent
	pins          map[model.Fingerprint]pin
	unbegun       map[*Grant]bool // grants of requests with PromptParts whose responses have not begun
	losses        losses
	endpointCalls endpointCalls
	usages        usages
	stated        statements
	loads         loads
	tokenMean     mean // of the tokens that requests state
}

// pin holds the grants of all running copies of an unproven request, which run on one backend server.
type pin struct {
	backend string
	grants  []*Grant
}

// result is the outcome of waiting: a grant, an error, or a return to the check for suspects.
type result struct {
	grant     *Grant
	err       error
	suspected bool // the request became a suspect or a part of its prompt was blocked while it waited; it must be checked again
}

// Acquire waits until a replica is granted or the request is refused with a *RefusedError.
func (r *Router) Acquire(ctx context.Context, request Request) (*Grant, error) {
	r.once.Do(r.init)
	for {
		cleared, err := r.awaitClearance(ctx, &request, false)
		if err != nil {
			return nil, err
		}
		t := &Ticket{Request: request, clearance: cleared, result: make(chan result, 1)}
		r.sendDemands(r.admit(r.Now(), t))
		r.requestAllowances(r.takeAllowanceRequests(r.Now()))
		res := r.await(ctx, t)
		if res.suspected {
			if cleared.trial {
				r.Suspects.Release(request.Fingerprint)
			}
			continue
		}
		if res.err != nil && cleared.trial {
			r.Suspects.Release(request.Fingerprint)
		}
		return res.grant, res.err
	}
}

// Resolve returns the target of a model name as callers write it, or a *RefusedError if the name is unknown.
func (r *Router) Resolve(name string) (Target, *model.RoutedModel, error) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(r.Now())
	target, routed := r.index.resolve(name)
	if routed == nil {
		return Target{}, nil, &RefusedError{Reason: ReasonUnknown}
	}
	return target, routed, nil
}

// SetReadyAt sets when a target that is not loaded is expected to be loaded. This time has precedence over estimates
// from earlier loads. It is ignored if no request has been waiting for the target.
func (r *Router) SetReadyAt(target Target, at time.Time) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, waiting := r.coldSince[target]; waiting {
		r.readyAt[target] = at
	}
}

// Changed notifies the router that a new snapshot was stored.
func (r *Router) Changed() {
	r.once.Do(r.init)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run steps the router at regular intervals and after each call of Changed, until the context ends.
func (r *Router) Run(ctx context.Context) error {
	r.once.Do(r.init)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.changed:
		case <-timer.C:
			timer.Reset(r.interval())
		}
		r.Step(r.Now())
	}
}

// interval returns the time until the next step. An idle router steps less often, only to sample its load history.
func (r *Router) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Len() == 0 {
		return idleInterval
	}
	return tickInterval
}

// Step applies a new snapshot, grants or refuses waiting requests, and repeats load demands.
func (r *Router) Step(now time.Time) {
	r.once.Do(r.init)
	r.mu.Lock()
	if r.wasFrozen(now) {
		r.noGrantsBefore = now.Add(postFreezeDelay)
	}
	r.steppedAt = now
	r.reindex(now)
	r.fleet.sample(now)
	r.stated.expire(now)
	r.dispatch(now)
	if now.Sub(r.lateCheckedAt) >= lateCheckInterval {
		r.lateCheckedAt = now
		r.refuseLate(now)
	}
	demands := r.dueDemands(now)
	requests := r.stated.take(now)
	r.mu.Unlock()
	r.sendDemands(demands)
	r.requestAllowances(requests)
	r.Suspects.Tick(now)
	if r.PromptParts != nil && r.PromptParts.Tick(now) {
		r.stopBlocked(now)
	}
}

// wasFrozen reports whether the last step was so long ago that the process must have been frozen.
func (r *Router) wasFrozen(now time.Time) bool {
	return !r.steppedAt.IsZero() && now.Sub(r.steppedAt) > freezeThreshold
}

func (r *Router) init() {
	r.changed = make(chan struct{}, 1)
	r.queue.Limit = r.Policy.QueueLimit
	r.index = newIndex(nil, nil)
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
	r.estimates = newEstimates()
	r.coldSince = make(map[Target]time.Time)
	r.readyAt = make(map[Target]time.Time)
	r.demandSentAt = make(map[Target]time.Time)
	r.pins = make(map[model.Fingerprint]pin)
	r.unbegun = make(map[*Grant]bool)
	r.endpointCalls = newEndpointCalls()
	r.stated = newStatements()
	r.loads = newLoads()
	if r.Now == nil {
		r.Now = time.Now
	}
}

// clearance is the result of the check for suspects: whether the request must run as a trial, and how.
type clearance struct {
	trial      bool // a suspect that runs as the only copy, to find out whether it causes crashes
	recent     bool // the suspect had started shortly before the crash
	passTokens int  // number of tokens from which the suspect is no longer the probable cause
}

// awaitClearance returns at once for a request that is not a suspect.
// A suspect waits until it may run as a trial or is refused. If immediate is set, the trial starts with the claim, before
// the other entry hosts know of it.
func (r *Router) awaitClearance(ctx context.Context, request *Request, immediate bool) (clearance, error) {
	for {
		now := r.Now()
		if !now.Before(request.Deadline) {
			return clearance{}, &RefusedError{Reason: ReasonLate, RetryAfter: minRetryAfter}
		}
		if part, until, blocked := r.PromptParts.Check(now, request.PromptParts); blocked {
			return clearance{}, &RefusedError{Reason: ReasonPromptPart, RetryAfter: until.Sub(now), Part: part}
		}
		verdict := r.Suspects.Check(now, request.Fingerprint)
		wait := heldPollInterval
		switch verdict.State {
		case StateClear:
			return clearance{}, nil
		case StateRefused:
			return clearance{}, &RefusedError{Reason: ReasonSuspect, RetryAfter: verdict.Until.Sub(now)}
		case StateClaimed:
			wait = verdict.Until.Sub(now)
			if immediate {
				wait = 0
			}
		}
		if err := sleep(ctx, wait); err != nil {
			if verdict.State == StateClaimed {
				r.Suspects.Release(request.Fingerprint)
			}
			return clearance{}, contextRefusal(ctx)
		}
		if verdict.State == StateClaimed && r.Suspects.Confirm(r.Now(), request.Fingerprint) {
			passTokens := trialPassMargin
			if !request.Resumed {
				passTokens += max(0, verdict.Tokens-request.Delivered)
			}
			return clearance{trial: true, recent: verdict.Recent, passTokens: passTokens}, nil
		}
	}
}

// await returns the ticket's result. It refuses the ticket when the ticket expires or the context ends.
func (r *Router) await(ctx context.Context, t *Ticket) result {
	select {
	case res := <-t.result:
		return res
	default:
	}
	timer := time.NewTimer(t.expiresAt().Sub(r.Now()))
	defer timer.Stop()
	var refused *RefusedError
	select {
	case res := <-t.result:
		return res
	case <-timer.C:
		refused = &RefusedError{Reason: ReasonLate, RetryAfter: minRetryAfter}
	case <-ctx.Done():
		refused = contextRefusal(ctx)
	}
	if r.withdrawWaiting(t, refused) {
		return result{err: refused}
	}
	return <-t.result
}

// withdrawWaiting removes a ticket that is refused as its wait has ended, and reports whether it was waiting.
func (r *Router) withdrawWaiting(t *Ticket, refused *RefusedError) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	refused.Turn = r.refusedTurnOf(now, t)
	if !r.queue.Withdraw(now, t) {
		return false
	}
	if refused.Reason == ReasonLate {
		r.queue.Shares.Refuse(now, t.account)
	}
	return true
}

// contextRefusal returns the refusal for an ended context: its deadline passed or the caller disconnected.
func contextRefusal(ctx context.Context) *RefusedError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &RefusedError{Reason: ReasonLate, RetryAfter: minRetryAfter}
	}
	return &RefusedError{Reason: ReasonAbandoned}
}

func (r *Router) sendDemands(demands []model.LoadDemand) {
	if r.DemandReporter == nil {
		return
	}
	for _, d := range demands {
		r.DemandReporter.ReportDemand(d)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
