package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/attempt"
	"citronspread/model"
	"citronspread/routing"
)

// Limits of attempts, priorities and start timeouts.
const (
	// maxRefusals is how often one request may be sent again after a backend server refused it.
	maxRefusals = 4
	// maxWithheld is how many grants of one request may be given back before it is refused.
	maxWithheld = 16
	// priorityStep maps the platform's few priorities, 0 the most urgent, to the router's range of 100 to 0.
	priorityStep      = 10
	maxPriority       = 100
	maxEnginePriority = 9 // the least urgent engine priority
	// A caller abandons a stream without events after the longest of minStartTimeout, startTimeoutTargets times
	// the latency target and startTimeoutGaps times the gap target.
	minStartTimeout     = 2 * time.Second
	startTimeoutTargets = 4
	startTimeoutGaps    = 8
	// startMargin is the part of this timeout that is left for producing the first event.
	startMargin = 300 * time.Millisecond
	// softwareRetryAfter is when a caller may take up a stream again whose software version serves no more. It comes back
	// only if backend servers of it are started again.
	softwareRetryAfter = 5 * time.Second
	// fullRetryAfter is sent if the backend servers had no place: about the time that a request runs.
	fullRetryAfter = 2 * time.Second
	// tooLargeRetryAfter is sent for a request that no backend server can hold. Only another configuration changes that.
	tooLargeRetryAfter = 10 * time.Second
	// budgetShare is the part of the shared retry budget that the hosts use. The rest is a margin for hosts that
	// count different numbers of live hosts.
	budgetShare = 0.8
)

// Dispatcher routes callers' requests and acquires backend servers for them. It implements platform.Dispatcher.
type Dispatcher struct {
	host *Host

	mu        sync.Mutex
	budgets   map[string]*routing.Budget // by service
	proposals map[string]*baseProposal   // of first base versions, by service

	invalidLimits sync.Map // backend servers with a limit that could not be read, to log it once
	invalidLoads  sync.Map // the same for loads
	// invalidStatements holds the backend servers, with the name of the header, that made another statement that could not be read.
	invalidStatements sync.Map
}

// ConnectionLimits returns the connection limits of the current desired state.
func (d *Dispatcher) ConnectionLimits() model.ConnectionLimits {
	table := d.host.routes.Load()
	if table == nil {
		return model.ConnectionLimits{}
	}
	return table.state.Limits
}

// IsStopping reports whether the host is stopping, so that callers should move to another host.
func (d *Dispatcher) IsStopping() bool { return d.host.stopping.Load() }

// RecordNotLoaded records that a backend server does not have the model or adapter of the request loaded.
func (d *Dispatcher) RecordNotLoaded(_ time.Time, backend string, r RoutedRequest) {
	d.host.post(func(now time.Time) {
		if r.Adapter != "" {
			d.host.view.recordAdapter(now, backend, r.Model, r.Adapter, false)
		} else {
			d.host.view.recordModel(now, backend, r.Model, false)
		}
		d.host.viewChanged = true
	})
}

// AttemptLimits returns the attempt limits of a request.
func (d *Dispatcher) AttemptLimits(r RoutedRequest) attempt.Loop {
	runs := r.Route.MaxAttempts
	if r.IsNonIdempotent() {
		runs = 1
	}
	return attempt.Loop{
		Budget: d.budget(r.Service), MaxRuns: runs, MaxRefusals: maxRefusals, ChargeRefusals: true, Now: d.host.Now,
	}
}

// budget returns this host's part of the service's retry budget, which all hosts share.
func (d *Dispatcher) budget(service string) *routing.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[service]
	if b == nil {
		b = &routing.Budget{Share: d.host.RetryRatio * budgetShare, Window: d.host.RetryWindow, FloorFrom: d.host.startedAt.Add(d.host.RetrySlackDelay)}
		d.budgets[service] = b
	}
	hosts := max(1, int(d.host.hosts.peak.Load()))
	b.SetFloor(int(float64(d.host.RetrySlack) * budgetShare / float64(hosts)))
	return b
}

// Acquire waits for the right to send the request to a backend server.
func (d *Dispatcher) Acquire(ctx context.Context, r RoutedRequest, p *attempt.Progress) (*Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.host.admission, cancel)()
	if r.beginsResumableStream(p) && r.Software == "" {
		version, err := d.softwareToBegin(r)
		if err != nil {
			return nil, err
		}
		r.Software = version
	}
	if r.Software != "" && d.softwareOfService(r.Service).Serving[r.Software] == 0 {
		return nil, &routing.RefusedError{Reason: routing.ReasonSoftware, RetryAfter: softwareRetryAfter}
	}
	if r.Model == "" {
		return d.acquireEndpoint(ctx, r, p)
	}
	isResumed := r.TakenUp || p.Resuming
	priority, enginePriority := priorities(r, isResumed)
	request := routing.Request{
		ID:           r.ID,
		Target:       targetOf(r),
		Service:      r.Service,
		Workspace:    r.Workspace,
		Fingerprint:  r.Fingerprint,
		PromptParts:  r.PromptParts,
		Priority:     priority,
		Deadline:     r.Deadline,
		StartBy:      startDeadline(d.host.Now(), r, p),
		PromptTokens: promptTokens(r),
		MaxTokens:    r.MaxTokens,
		Tokens:       r.Tokens,
		Resumed:      isResumed,
		Avoid:        p.Failed,
	}
	if engine := d.engineOf(r.Service); engine != nil && engine.CacheTokens > 0 && r.Tokens > engine.CacheTokens {
		return nil, &routing.RefusedError{Reason: routing.ReasonMemory, RetryAfter: tooLargeRetryAfter}
	}
	if err := d.beginTokens(ctx, r, p); err != nil {
		return nil, err
	}
	grant, err := d.acquireConfirmed(ctx, r, p, request)
	if err != nil {
		return nil, err
	}
	d.host.Metrics.ObserveGrantWait(grant.Waited)
	d.host.Log.Info("granted", zap.String("Request", r.ID), zap.String("Backend", grant.Replica.Backend), zap.String("BackendZone", grant.Replica.Zone), zap.String("Software", grant.Replica.Software),
		zap.String("Model", r.Model), zap.String("Adapter", r.Adapter), zap.Duration("Waited", grant.Waited),
		zap.Duration("KnownFor", d.host.Now().Sub(grant.Replica.UpdatedAt)), zap.Strings("Avoid", p.Failed),
		zap.Int("Own", grant.Load.Own), zap.Float64("Others", grant.Load.Others), zap.Bool("LoadKnown", grant.Load.Known), zap.Duration("LoadAge", grant.Load.Age), zap.Bool("Place", grant.NeedsPlace()),
		zap.Strings("Withheld", d.Withheld(d.host.Now(), r)), turnFields(grant.Turn))
	return &Grant{
		Address:     grant.Replica.Address,
		Incarnation: model.BackendIncarnation{ID: grant.Replica.Backend, Born: grant.Replica.Born},
		Software:    grant.Replica.Software,
		Priority:    enginePriority,
		delivered:   d.deliveryOf(r),
		grant:       grant,
	}, nil
}

// priorities returns the priority of a request in the queue and at the engine. What the caller of a resumed stream has received
// is lost unless the rest follows soon.
func priorities(r RoutedRequest, isResumed bool) (queue, engine int) {
	if isResumed {
		return maxPriority, 0
	}
	return max(0, maxPriority-priorityStep*r.Priority), min(r.Priority, maxEnginePriority)
}

// acquireConfirmed waits for a grant, a place and the tokens of the request. A grant that must not be used any more after these waits
// is given back, and the request waits for another one.
func (d *Dispatcher) acquireConfirmed(ctx context.Context, r RoutedRequest, p *attempt.Progress, request routing.Request) (*routing.Grant, error) {
	for range maxWithheld {
		stopHold := d.holdTokens(p)
		grant, err := d.acquirePlace(ctx, r, request)
		stopHold()
		if err != nil {
			d.logTurnRefused(r, err)
			return nil, err
		}
		if err := d.confirmTokens(ctx, r, p); err != nil {
			grant.Done(d.host.Now(), routing.OutcomeAbandoned)
			return nil, err
		}
		now := d.host.Now()
		if grant.Confirm(now) {
			return grant, nil
		}
		grant.Done(now, routing.OutcomeWithheld)
		d.logWithheld(now, r, grant.Replica.Backend)
	}
	return nil, &routing.RefusedError{Reason: routing.ReasonFull, RetryAfter: fullRetryAfter}
}

// logWithheld logs that a grant was given back, with what backend servers state now.
func (d *Dispatcher) logWithheld(now time.Time, r RoutedRequest, backend string) {
	d.host.Log.Info("grant withheld", zap.String("Request", r.ID), zap.String("Backend", backend), zap.Strings("Withheld", d.Withheld(now, r)))
}

// acquirePlace waits for a grant and, if it needs one, for a place from the owner of the backend server.
func (d *Dispatcher) acquirePlace(ctx context.Context, r RoutedRequest, request routing.Request) (*routing.Grant, error) {
	for range maxDenials {
		grant, err := d.host.router.Acquire(ctx, request)
		if err != nil {
			return nil, err
		}
		if d.takePlace(ctx, r, grant) {
			if ctx.Err() != nil {
				grant.Done(d.host.Now(), routing.OutcomeAbandoned)
				return nil, ctx.Err()
			}
			return grant, nil
		}
		grant.Done(d.host.Now(), routing.OutcomeNoPlace)
	}
	return nil, &routing.RefusedError{Reason: routing.ReasonFull, RetryAfter: fullRetryAfter}
}

// engineOf returns the capacity of each backend server of a service, nil for a plain service.
func (d *Dispatcher) engineOf(service string) *model.EngineSpec {
	if table := d.host.routes.Load(); table != nil {
		return table.state.Services[service].Engine
	}
	return nil
}

// startDeadline returns when the caller of a stream gives up if no event arrives: counted from the arrival of its
// request, or from now if it has already received a part of the response. It is zero for requests without a stream.
func startDeadline(now time.Time, r RoutedRequest, p *attempt.Progress) time.Time {
	if r.Route.Kind != model.RouteStream {
		return time.Time{}
	}
	timeout := max(minStartTimeout, startTimeoutTargets*r.Route.LatencyTarget, startTimeoutGaps*r.Route.GapTarget) - startMargin
	if p.Resuming {
		return now.Add(timeout)
	}
	return r.ArrivedAt.Add(timeout)
}

func (d *Dispatcher) acquireEndpoint(ctx context.Context, r RoutedRequest, p *attempt.Progress) (*Grant, error) {
	request := routing.Request{
		ID: r.ID, Target: routing.Target{Software: r.Software}, Service: r.Service, Fingerprint: r.Fingerprint, Deadline: r.Deadline, Avoid: p.Failed,
	}
	if err := d.beginTokens(ctx, r, p); err != nil {
		return nil, err
	}
	endpoint, err := d.acquireConfirmedEndpoint(ctx, r, p, request)
	if err != nil {
		return nil, err
	}
	d.host.Log.Info("granted", zap.String("Request", r.ID), zap.String("Backend", endpoint.Endpoint.Backend), zap.String("Address", endpoint.Endpoint.Address), zap.String("Software", endpoint.Endpoint.Software), zap.Strings("Avoid", p.Failed),
		zap.Int("Own", endpoint.Load.Own), zap.Float64("Others", endpoint.Load.Others), zap.Bool("LoadKnown", endpoint.Load.Known), zap.Duration("LoadAge", endpoint.Load.Age),
		zap.Strings("Withheld", d.Withheld(d.host.Now(), r)))
	return &Grant{
		Address:       endpoint.Endpoint.Address,
		Incarnation:   model.BackendIncarnation{ID: endpoint.Endpoint.Backend, Born: endpoint.Endpoint.Born},
		Software:      endpoint.Endpoint.Software,
		Priority:      -1,
		delivered:     d.deliveryOf(r),
		endpointGrant: endpoint,
	}, nil
}

// acquireConfirmedEndpoint is acquireConfirmed for a plain service.
func (d *Dispatcher) acquireConfirmedEndpoint(ctx context.Context, r RoutedRequest, p *attempt.Progress, request routing.Request) (*routing.EndpointGrant, error) {
	for range maxWithheld {
		stopHold := d.holdTokens(p)
		endpoint, err := d.host.router.AcquireEndpoint(ctx, request)
		stopHold()
		if err != nil {
			return nil, err
		}
		if err := d.confirmTokens(ctx, r, p); err != nil {
			endpoint.Done(d.host.Now(), routing.OutcomeAbandoned)
			return nil, err
		}
		now := d.host.Now()
		if endpoint.Confirm(now) {
			return endpoint, nil
		}
		endpoint.Done(now, routing.OutcomeWithheld)
		d.logWithheld(now, r, endpoint.Backend())
	}
	return nil, &routing.RefusedError{Reason: routing.ReasonNoEndpoint, RetryAfter: fullRetryAfter}
}
