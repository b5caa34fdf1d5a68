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
	// priorityStep maps the platform's few priorities, 0 the most urgent, to the router's range of 100 to 0.
	priorityStep      = 10
	maxPriority       = 100
	maxEnginePriority = 9 // the least urgent engine priority
	// A client abandons a stream without events after the longest of minStartTimeout, startTimeoutTargets times
	// the latency target and startTimeoutGaps times the gap target.
	minStartTimeout     = 2 * time.Second
	startTimeoutTargets = 4
	startTimeoutGaps    = 8
	// startMargin is the part of this timeout that is left for producing the first event.
	startMargin = 300 * time.Millisecond
	// budgetShare is the part of the shared retry budget that the hosts use. The rest is a margin for hosts that
	// count different numbers of live hosts.
	budgetShare = 0.8
)

// Desk routes callers' requests and acquires backend servers for them. It implements platform.Desk.
type Desk struct {
	host *Host

	mu      sync.Mutex
	budgets map[string]*routing.Budget // by service
}

// Find returns the route of a request and the service that it goes to. found reports whether a route matches and
// known whether a desired state has been applied yet.
func (d *Desk) Find(host, path, id string) (route model.Route, service string, found, known bool) {
	table := d.host.routes.Load()
	if table == nil {
		return model.Route{}, "", false, false
	}
	route, found = table.find(host, path)
	if !found {
		return model.Route{}, "", false, true
	}
	return route, serviceOf(route, id), true, true
}

// Limits returns the connection limits of the current desired state.
func (d *Desk) Limits() model.ConnectionLimits {
	table := d.host.routes.Load()
	if table == nil {
		return model.ConnectionLimits{}
	}
	return table.state.Limits
}

// IsStopping reports whether the host is stopping, so that clients should move to another host.
func (d *Desk) IsStopping() bool { return d.host.stopping.Load() }

// Absent records that a backend server does not have the model or adapter of the request loaded.
func (d *Desk) Absent(_ time.Time, backend string, q Question) {
	d.host.post(func(now time.Time) {
		if q.Adapter != "" {
			d.host.view.recordAdapter(now, backend, q.Model, q.Adapter, false)
		} else {
			d.host.view.recordModel(now, backend, q.Model, false)
		}
		d.host.viewChanged = true
	})
}

// Loop returns the attempt limits of a request.
func (d *Desk) Loop(q Question) attempt.Loop {
	runs := q.Route.MaxAttempts
	if q.IsOnce() {
		runs = 1
	}
	return attempt.Loop{
		Budget: d.budget(q.Service), MaxRuns: runs, MaxRefusals: maxRefusals, PayForRefusal: true, Now: d.host.Now,
	}
}

// budget returns this host's part of the service's retry budget, which all hosts share.
func (d *Desk) budget(service string) *routing.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[service]
	if b == nil {
		b = &routing.Budget{Share: d.host.RetryRatio * budgetShare}
		d.budgets[service] = b
	}
	hosts := max(1, int(d.host.hosts.Load()))
	b.SetFloor(int(float64(d.host.RetrySlack) * budgetShare / float64(hosts)))
	return b
}

// Acquire waits for the right to send the request to a backend server.
func (d *Desk) Acquire(ctx context.Context, q Question, p *attempt.Progress) (*Place, error) {
	if q.Model == "" {
		return d.acquireEndpoint(q, p)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.host.admission, cancel)()
	request := routing.Request{
		ID:          q.ID,
		Target:      targetOf(q),
		Service:     q.Service,
		Fingerprint: q.Fingerprint,
		Priority:    max(0, maxPriority-priorityStep*q.Route.Priority),
		Deadline:    q.Deadline,
		StartBy:     startDeadline(d.host.Now(), q, p),
		MaxTokens:   q.MaxTokens,
		Avoid:       p.Failed,
	}
	grant, err := d.host.router.Acquire(ctx, request)
	if err != nil {
		return nil, err
	}
	d.host.Metrics.Waited(grant.Waited)
	d.host.Log.Info("granted", zap.String("Request", q.ID), zap.String("Backend", grant.Replica.Backend), zap.String("BackendZone", grant.Replica.Zone),
		zap.String("Model", q.Model), zap.String("Adapter", q.Adapter), zap.Duration("Waited", grant.Waited),
		zap.Duration("KnownFor", d.host.Now().Sub(grant.Replica.UpdatedAt)), zap.Strings("Avoid", p.Failed))
	return &Place{
		Address:  grant.Replica.Address,
		Life:     model.Life{ID: grant.Replica.Backend},
		Priority: min(q.Route.Priority, maxEnginePriority),
		grant:    grant,
	}, nil
}

// startDeadline returns when the caller of a stream gives up if no event arrives: counted from the arrival of its
// request, or from now if it has already received a part of the answer. It is zero for requests without a stream.
func startDeadline(now time.Time, q Question, p *attempt.Progress) time.Time {
	if q.Route.Kind != model.RouteStream {
		return time.Time{}
	}
	timeout := max(minStartTimeout, startTimeoutTargets*q.Route.LatencyTarget, startTimeoutGaps*q.Route.GapTarget) - startMargin
	if p.Resuming {
		return now.Add(timeout)
	}
	return q.Arrived.Add(timeout)
}

func (d *Desk) acquireEndpoint(q Question, p *attempt.Progress) (*Place, error) {
	site, err := d.host.router.AcquireSite(d.host.Now(), q.Service, p.Failed)
	if err != nil {
		return nil, err
	}
	return &Place{Address: site.Endpoint.Address, Life: model.Life{ID: site.Endpoint.Backend}, Priority: -1, site: site}, nil
}
