package routing

import (
	"context"
	"fmt"
	"slices"
	"time"

	"citronspread/model"
	"citronspread/ratelimit"
)

// maxReplyWait is the longest time that a request waits for the reply of a limit's leader while it could be sent elsewhere.
const maxReplyWait = 25 * time.Millisecond

// minCallTime is the least time that a call to a plain service must have left at its turn. With less it would be sent in vain.
const minCallTime = 100 * time.Millisecond

// newRequestAge is the age of a request up to which it may be refused because its predicted wait is uncertain.
const newRequestAge = 300 * time.Millisecond

// reportInterval is the shortest time between two reports to the leader of a limit that changes with each response. It learns
// of the other changes with the requests for allowances.
const reportInterval = time.Second

// limitGrace is how long the limit of a backend server is kept that is not listed.
const limitGrace = 5 * time.Second

// maxWanted bounds the allowances that are requested at once for one target or plain service.
const maxWanted = 64

// AllowanceRequest requests that this host may send further requests to a backend server, or reports what it has stated.
type AllowanceRequest struct {
	Limit  model.BackendStatement
	Count  int  // requests, 0 to report only
	Queued bool // requests wait; else they are sent elsewhere if the allowance is refused
}

// AllowanceRequester sends requests for allowances to the leaders of limits, without waiting for the replies. A reply is passed to
// Router.ApplyAllowance, a failure to Router.AllowanceFailed.
type AllowanceRequester interface {
	RequestAllowances(requests []AllowanceRequest)
}

// limits holds the limits that backend servers have stated, and this host's allowances.
type limits struct {
	allowances map[string]*ratelimit.Allowance // by backend server
	withdrawn  map[string]time.Time            // when backend servers were last known to state no limit
	wanted     map[string]int                  // requests that an allowance is wanted for, by backend server
	queued     map[string]bool                 // whether these can't be sent elsewhere
	reports    []AllowanceRequest              // statements of all kinds that the leaders have not been told
	reported   map[string]time.Time            // when the leader was last told of a backend server
	waiting    map[string][]*Request           // calls to plain services that wait for an allowance, by service, in their order
	changed    chan struct{}                   // closed when an allowance has arrived or a limit has changed
}

func newLimits() limits {
	return limits{
		allowances: make(map[string]*ratelimit.Allowance), withdrawn: make(map[string]time.Time), reported: make(map[string]time.Time),
		wanted: make(map[string]int), queued: make(map[string]bool), waiting: make(map[string][]*Request), changed: make(chan struct{}),
	}
}

// allows reports whether a request may be sent to the backend server now.
func (l *limits) allows(now time.Time, backend string) bool {
	a := l.allowances[backend]
	return a == nil || a.Sendable(now) > 0
}

// use records that a request is sent to the backend server.
func (l *limits) use(now time.Time, backend string) {
	if a := l.allowances[backend]; a != nil {
		a.Use(now)
	}
}

// notify wakes the calls that wait for an allowance.
func (l *limits) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// merge applies a statement unless a later one is known. It reports whether that changes the limit.
func (l *limits) merge(s model.BackendStatement) (changed bool) {
	a := l.allowances[s.Backend]
	if a != nil && s.At.Before(a.StatedAt) || s.At.Before(l.withdrawn[s.Backend]) {
		return false
	}
	if !s.Stated {
		delete(l.allowances, s.Backend)
		l.withdrawn[s.Backend] = s.At
		return a != nil
	}
	delete(l.withdrawn, s.Backend)
	if a == nil {
		l.allowances[s.Backend] = ratelimit.NewAllowance(s.PerSecond, s.At)
		return true
	}
	changed = a.PerSecond != s.PerSecond
	a.PerSecond, a.StatedAt = s.PerSecond, s.At
	return changed
}

// forget removes what is known of a backend server.
func (l *limits) forget(backend string) {
	delete(l.allowances, backend)
	delete(l.withdrawn, backend)
	delete(l.reported, backend)
	delete(l.wanted, backend)
}

// statement returns what is known of a backend server's limit.
func (l *limits) statement(backend string) model.BackendStatement {
	if a := l.allowances[backend]; a != nil {
		return model.BackendStatement{Backend: backend, PerSecond: a.PerSecond, Stated: true, At: a.StatedAt}
	}
	return model.BackendStatement{Backend: backend, At: l.withdrawn[backend]}
}

// take returns the requests for allowances that are due.
func (l *limits) take(now time.Time) []AllowanceRequest {
	requests := l.reports
	l.reports = nil
	for backend, waiting := range l.wanted {
		a := l.allowances[backend]
		if a == nil {
			continue
		}
		if count := a.Ask(now, waiting); count > 0 {
			requests = append(requests, AllowanceRequest{Limit: l.statement(backend), Count: count, Queued: l.queued[backend]})
		}
	}
	l.clearWanted()
	return requests
}

func (l *limits) clearWanted() {
	clear(l.wanted)
	clear(l.queued)
}

// next returns when the first of the backend servers is expected to take another request of this host, and the expected time
// between further ones.
func (l *limits) next(now time.Time, backends []string) (wait, spacing time.Duration) {
	perSecond := 0.0
	for i, b := range backends {
		at, each := l.allowances[b].NextAt(now)
		if w := at.Sub(now); i == 0 || w < wait {
			wait = max(0, w)
		}
		if each > 0 {
			perSecond += 1 / each.Seconds()
		}
	}
	if perSecond > 0 {
		spacing = time.Duration(float64(time.Second) / perSecond)
	}
	return wait, spacing
}

// want records that an allowance is wanted for requests. It divides them among the backend servers whose leaders may be asked
// now. queued is set if they can't be sent elsewhere.
func (l *limits) want(now time.Time, backends []string, count int, queued bool) {
	askable := slices.DeleteFunc(slices.Clone(backends), func(b string) bool { return !l.allowances[b].MayAsk(now) })
	for i := range min(count, maxWanted) {
		if len(askable) > 0 {
			backend := askable[i%len(askable)]
			l.wanted[backend]++
			l.queued[backend] = l.queued[backend] || queued
		}
	}
}

// RecordLimit records what a backend server has stated in a response. It reports whether that is news, of which the leader of
// the limit is told: a change, at most one in reportInterval.
func (r *Router) RecordLimit(s model.BackendStatement) (news bool) {
	r.once.Do(r.init)
	r.mu.Lock()
	if r.stated.limits.merge(s) {
		r.stated.notify()
		at, known := r.stated.reported[s.Backend]
		news = !known || s.At.Sub(at) >= reportInterval
	}
	if news {
		r.stated.reported[s.Backend] = s.At
		r.stated.reports = append(r.stated.reports, AllowanceRequest{Limit: r.stated.statement(s.Backend)})
	}
	requests := r.stated.take(s.At)
	r.mu.Unlock()
	r.requestAllowances(requests)
	return news
}

// ForgetLimit removes the limit of a backend server that was restarted or is gone.
func (r *Router) ForgetLimit(backend string) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stated.forget(backend)
	r.stated.notify()
}

// retain removes the limits of the backend servers that are gone. Limits are kept for limitGrace, since they may arrive before the
// list of backend servers.
func (l *limits) retain(now time.Time, exists func(backend string) bool) {
	for backend, a := range l.allowances {
		if now.Sub(a.StatedAt) > limitGrace && !exists(backend) {
			l.forget(backend)
		}
	}
	for backend, at := range l.withdrawn {
		if now.Sub(at) > limitGrace && !exists(backend) {
			l.forget(backend)
		}
	}
}

// Limit returns the requests per second that a backend server takes from all hosts together, if it has stated a limit.
func (r *Router) Limit(backend string) (perSecond float64, stated bool) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.stated.allowances[backend]; a != nil {
		return a.PerSecond, true
	}
	return 0, false
}

// ApplyAllowance applies the reply of a limit's leader, which includes what it knows of the limit.
func (r *Router) ApplyAllowance(now time.Time, known model.BackendStatement, reply ratelimit.Reply) {
	r.mu.Lock()
	r.stated.merge(now, known)
	if a := r.stated.allowances[known.Backend]; a != nil {
		a.Receive(now, reply)
	}
	requests := r.dispatchAllowance(now)
	r.mu.Unlock()
	r.requestAllowances(requests)
}

// AllowanceFailed records that the leader of a backend server's limit has not replied. hosts is the number of hosts that share
// the limit.
func (r *Router) AllowanceFailed(now time.Time, backend string, hosts int) {
	r.mu.Lock()
	if a := r.stated.allowances[backend]; a != nil {
		a.Unreachable(now, hosts, r.random.Float64())
	}
	requests := r.dispatchAllowance(now)
	r.mu.Unlock()
	r.requestAllowances(requests)
}

// dispatchAllowance grants what an allowance that has arrived allows, and refuses the requests that they can't serve in time.
func (r *Router) dispatchAllowance(now time.Time) []AllowanceRequest {
	r.dispatch(now)
	r.refuseUnsendable(now)
	r.stated.notify()
	return r.stated.take(now)
}

// refuseUnsendable refuses the new requests that were queued before it was known when their backend servers take them.
func (r *Router) refuseUnsendable(now time.Time) {
	for _, targetQueue := range r.queue.targets {
		if !r.isLimited(now, targetQueue.Target) {
			continue
		}
		for class := range targetQueue.ByClass {
			var late []*Ticket
			targetQueue.ByClass[class].visitInTurn(r.queue.Shares.Scale(now), func(t *Ticket, ahead int) (counts bool) {
				if now.Sub(t.Since) < newRequestAge && r.isPredictedLate(now, t, ahead) {
					late = append(late, t)
					return false
				}
				return true
			})
			for _, t := range late {
				r.refuse(now, t, ReasonLate)
			}
		}
	}
}

func (r *Router) requestAllowances(requests []AllowanceRequest) {
	if r.AllowanceRequester != nil && len(requests) > 0 {
		r.AllowanceRequester.RequestAllowances(requests)
	}
}

// awaitsAllowance reports whether the request should wait for the reply of a limit's leader, although it may be sent to a
// backend server without a limit: the reply takes milliseconds, and the backend servers with limits would be unused without.
func (r *Router) awaitsAllowance(now time.Time, t *Ticket) bool {
	if len(r.stated.allowances) == 0 || !t.askedAt.IsZero() && now.Sub(t.askedAt) >= maxReplyWait {
		return false
	}
	unlimited, limited := r.splitLimited(now, t.Target)
	if !unlimited || len(limited) == 0 || r.stated.sendable(now, limited) > 0 {
		return false
	}
	return r.stated.askFor(now, &t.Request, limited)
}

// askFor requests an allowance for the request, unless it has done so. It reports whether a reply is due.
func (l *limits) askFor(now time.Time, request *Request, backends []string) bool {
	if !request.askedAt.IsZero() {
		return slices.ContainsFunc(backends, func(b string) bool { return l.allowances[b].IsAsking() })
	}
	if !slices.ContainsFunc(backends, func(b string) bool { return l.allowances[b].MayAsk(now) }) {
		return false
	}
	request.askedAt = now
	l.want(now, backends, 1, false)
	return true
}

// wantAllowance records that requests for the target could be sent to backend servers that have stated limits.
func (r *Router) wantAllowance(now time.Time, target Target, count int) {
	if len(r.stated.allowances) == 0 {
		return
	}
	_, limited := r.splitLimited(now, target)
	r.stated.want(now, limited, count, true)
}

// splitLimited returns whether a usable replica of the target is on a backend server without a limit, and the backend
// servers of the others.
func (r *Router) splitLimited(now time.Time, target Target) (unlimited bool, limited []string) {
	for _, replicas := range r.usableReplicas(now, target) {
		for _, replica := range replicas {
			if r.stated.allowances[replica.Backend] == nil {
				unlimited = true
			} else {
				limited = append(limited, replica.Backend)
			}
		}
	}
	return unlimited, limited
}

// isLimited reports whether all usable replicas of the target are on backend servers that have stated a limit.
func (r *Router) isLimited(now time.Time, target Target) bool {
	if len(r.stated.allowances) == 0 {
		return false
	}
	unlimited, limited := r.splitLimited(now, target)
	return !unlimited && len(limited) > 0
}

// limitedForecast predicts the waits for an allowance if all usable replicas of the target need one.
func (r *Router) limitedForecast(now time.Time, target Target) (Forecast, bool) {
	if len(r.stated.allowances) == 0 {
		return Forecast{}, false
	}
	unlimited, limited := r.splitLimited(now, target)
	if unlimited || len(limited) == 0 {
		return Forecast{}, false
	}
	wait, spacing := r.stated.next(now, limited)
	return Forecast{Start: wait, Each: spacing}, true
}

// takeAllowanceRequests returns the requests for allowances that are due.
func (r *Router) takeAllowanceRequests(now time.Time) []AllowanceRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stated.take(now)
}

// allowanceWaitError reports that a call to a plain service must wait for an allowance.
type allowanceWaitError struct {
	next    time.Duration // until the next allowance is expected
	total   time.Duration // until this call is expected to get one
	changed <-chan struct{}

	backends []string // with limits that are used up, or full
	full     bool     // the backend servers are full
}

// reason returns the reason of a refusal for which the wait is too long.
func (e *allowanceWaitError) reason() Reason {
	if e.full {
		return ReasonFull
	}
	return ReasonLimited
}

func (e *allowanceWaitError) Error() string {
	return fmt.Sprintf("routing: no allowance, expected in %s", e.total)
}

// ahead returns how many calls to the service wait for an allowance ahead of the request.
func (l *limits) ahead(request *Request) int {
	if i := slices.Index(l.waiting[request.Service], request); i >= 0 {
		return i
	}
	return len(l.waiting[request.Service])
}

// sendable returns how many requests may be sent now to the backend servers together.
func (l *limits) sendable(now time.Time, backends []string) int {
	total := 0
	for _, b := range backends {
		total += l.allowances[b].Sendable(now)
	}
	return total
}

// wait lets the request wait for an allowance of one of the backend servers.
func (l *limits) wait(now time.Time, request *Request, backends []string, ahead int) *allowanceWaitError {
	if ahead == len(l.waiting[request.Service]) {
		l.waiting[request.Service] = append(l.waiting[request.Service], request)
	}
	l.want(now, backends, len(l.waiting[request.Service]), true)
	next, spacing := l.next(now, backends)
	return &allowanceWaitError{next: next, total: next + time.Duration(ahead)*spacing, changed: l.changed, backends: backends}
}

// isWaiting reports whether a call to a plain service waits for an allowance.
func (r *Router) isWaiting(request *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.stated.waiting[request.Service], request)
}

// endWaiting records that a call to a plain service no longer waits for an allowance.
func (r *Router) endWaiting(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stated.waiting[request.Service] = slices.DeleteFunc(r.stated.waiting[request.Service], func(w *Request) bool { return w == request })
	if len(r.stated.waiting[request.Service]) == 0 {
		delete(r.stated.waiting, request.Service)
	}
}

// awaitAllowance waits until an allowance has arrived or is expected. It returns a *RefusedError if the call is expected to be
// sent too late.
func (r *Router) awaitAllowance(ctx context.Context, request *Request, wait *allowanceWaitError) error {
	if wait.total > request.Deadline.Sub(r.Now())-minCallTime {
		return &RefusedError{Reason: wait.reason(), RetryAfter: max(minRetryAfter, wait.total), Backends: wait.backends}
	}
	timer := time.NewTimer(max(wait.next, tickInterval))
	defer timer.Stop()
	select {
	case <-wait.changed:
	case <-timer.C:
	case <-ctx.Done():
		return contextRefusal(ctx)
	}
	return nil
}
