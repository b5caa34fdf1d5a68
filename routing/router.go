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
	tickInterval    = 20 * time.Millisecond
	idleInterval    = historyInterval
	reviewInterval  = 100 * time.Millisecond
	heldPoll        = 50 * time.Millisecond
	unsettledExcess = 500 * time.Millisecond // tolerance before a waiting request counts as forgotten
	retryAfterFloor = time.Second
	// sleptAfter without a step means that the process was frozen; an idle router steps ten times as often.
	sleptAfter = time.Second
	// settleTime is left after a sleep to hear of changes that arrived meanwhile, such as leaving backend servers.
	settleTime = 250 * time.Millisecond
)

// Waker asks the lead of a model to load it.
type Waker interface {
	Wake(model.Wake)
}

// Router admits requests and gives each a replica. The exported fields are set before use.
type Router struct {
	Name     string
	Zone     string
	Policy   Policy
	Picker   Picker
	Waker    Waker
	Budget   *Budget
	Suspects *Suspects
	Snapshot *atomic.Pointer[model.Snapshot]
	Now      func() time.Time
	Seed     uint64

	once     sync.Once
	changed  chan struct{}
	mu       sync.Mutex
	queue    Queue
	fleet    fleet
	index    *index
	random   *rand.Rand
	reviewed time.Time
	stepped  time.Time // latest step
	settled  time.Time // no place is granted before, after a sleep

	estimates estimates
	coldSince map[Target]time.Time // since when requests wait for a target without a replica
	readyAt   map[Target]time.Time // when such a target is expected to be there, by whoever loads it
	wokenAt   map[Target]time.Time
	pins      map[model.Fingerprint]pin
	sites     sites
	usages    usages
}

// pin ties copies of one unproven request to one backend server.
type pin struct {
	backend string
	grants  []*Grant
}

// result is what became of a ticket.
type result struct {
	grant     *Grant
	err       error
	suspected bool // it became a suspect while it waited and must be cleared again
}

// Acquire waits until a replica is granted or the request is refused with a *RefusedError.
func (r *Router) Acquire(ctx context.Context, request Request) (*Grant, error) {
	r.once.Do(r.init)
	for {
		cleared, err := r.clear(ctx, &request)
		if err != nil {
			return nil, err
		}
		t := &Ticket{Request: request, clearance: cleared, result: make(chan result, 1)}
		r.wake(r.admit(r.Now(), t))
		res := r.await(ctx, t)
		if res.suspected {
			continue
		}
		if res.err != nil && cleared.trial {
			r.Suspects.Release(request.Fingerprint)
		}
		return res.grant, res.err
	}
}

// Resolve finds the target of a model name as callers write it.
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

// Expect tells when a target without a replica is expected to be there. It goes before what was learned from other loads.
func (r *Router) Expect(target Target, at time.Time) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, waiting := r.coldSince[target]; waiting {
		r.readyAt[target] = at
	}
}

// Changed tells the router that a new snapshot was stored.
func (r *Router) Changed() {
	r.once.Do(r.init)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run reviews the waiting requests until the context ends.
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

// interval returns the time until the next review. An idle router only keeps its history of the load.
func (r *Router) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Len() == 0 {
		return idleInterval
	}
	return tickInterval
}

// Step takes in a new snapshot, serves and refuses waiting requests, and repeats wakes.
func (r *Router) Step(now time.Time) {
	r.once.Do(r.init)
	r.mu.Lock()
	if r.hasSlept(now) {
		r.settled = now.Add(settleTime)
	}
	r.stepped = now
	r.reindex(now)
	r.fleet.sample(now)
	r.dispatch(now)
	if now.Sub(r.reviewed) >= reviewInterval {
		r.reviewed = now
		r.review(now)
	}
	wakes := r.dueWakes(now)
	r.mu.Unlock()
	r.wake(wakes)
	r.Suspects.Tick(now)
}

// hasSlept reports whether the process was frozen until a moment ago.
func (r *Router) hasSlept(now time.Time) bool {
	return !r.stepped.IsZero() && now.Sub(r.stepped) > sleptAfter
}

func (r *Router) init() {
	r.changed = make(chan struct{}, 1)
	r.queue.Limit = r.Policy.QueueLimit
	r.index = newIndex(nil)
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
	r.estimates = newEstimates()
	r.coldSince = make(map[Target]time.Time)
	r.readyAt = make(map[Target]time.Time)
	r.wokenAt = make(map[Target]time.Time)
	r.pins = make(map[model.Fingerprint]pin)
	if r.Now == nil {
		r.Now = time.Now
	}
}

// clearance says how a request may run with regard to what is suspected of it.
type clearance struct {
	trial  bool // a suspect that runs alone to see whether it is to blame
	prime  bool // a suspect that had begun shortly before the death
	passAt int  // tokens from which it is no longer the probable cause
}

// clear lets a request pass that is no suspect, and makes others wait for their trial.
func (r *Router) clear(ctx context.Context, request *Request) (clearance, error) {
	for {
		now := r.Now()
		if !now.Before(request.Deadline) {
			return clearance{}, &RefusedError{Reason: ReasonLate, RetryAfter: retryAfterFloor}
		}
		verdict := r.Suspects.Check(now, request.Fingerprint)
		wait := heldPoll
		switch verdict.State {
		case StateClear:
			return clearance{}, nil
		case StateRefused:
			return clearance{}, &RefusedError{Reason: ReasonSuspect, RetryAfter: verdict.Until.Sub(now)}
		case StateClaimed:
			wait = verdict.Until.Sub(now)
		}
		if err := sleep(ctx, wait); err != nil {
			if verdict.State == StateClaimed {
				r.Suspects.Release(request.Fingerprint)
			}
			return clearance{}, refusedBy(ctx)
		}
		if verdict.State == StateClaimed && r.Suspects.Confirm(r.Now(), request.Fingerprint) {
			passAt := max(0, verdict.Tokens-request.Delivered) + passTokens
			return clearance{trial: true, prime: verdict.Prime, passAt: passAt}, nil
		}
	}
}

// await returns the ticket's result, at the latest at its deadline.
func (r *Router) await(ctx context.Context, t *Ticket) result {
	select {
	case res := <-t.result:
		return res
	default:
	}
	timer := time.NewTimer(t.giveUpAt().Sub(r.Now()))
	defer timer.Stop()
	var err error
	select {
	case res := <-t.result:
		return res
	case <-timer.C:
		err = &RefusedError{Reason: ReasonLate, RetryAfter: retryAfterFloor}
	case <-ctx.Done():
		err = refusedBy(ctx)
	}
	r.mu.Lock()
	removed := r.queue.Withdraw(t)
	r.mu.Unlock()
	if removed {
		return result{err: err}
	}
	return <-t.result
}

// refusedBy tells whether the deadline passed or the caller went away.
func refusedBy(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &RefusedError{Reason: ReasonLate, RetryAfter: retryAfterFloor}
	}
	return &RefusedError{Reason: ReasonAbandoned}
}

func (r *Router) wake(wakes []model.Wake) {
	if r.Waker == nil {
		return
	}
	for _, w := range wakes {
		r.Waker.Wake(w)
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
