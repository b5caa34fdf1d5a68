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

// Limits of requests.
const (
	// maxRefusals bounds how often one request is sent again after backend servers refused it.
	maxRefusals = 4
	// priorityStep spreads the platform's few ranks over the router's 0 to 100.
	priorityStep = 10
	mostPriority = 100
	lastEngine   = 9 // the least urgent priority of an engine
	// leastPatience, patienceTargets and patienceGaps say when a client abandons a stream that brings nothing:
	// after the longest of two seconds, four times the objective and eight times the pause that is still in time.
	leastPatience   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// startMargin is the part of the patience that the first event itself needs.
	startMargin = 300 * time.Millisecond
	// budgetShare is the part of the shared retry budget that is used, for hosts that count differently.
	budgetShare = 0.8
)

// Desk decides about requests. It implements platform.Desk.
type Desk struct {
	host *Host

	mu      sync.Mutex
	budgets map[string]*routing.Budget // by service
}

// Find returns the route of a request and the service that it goes to.
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

// Limits returns the limits in force.
func (d *Desk) Limits() model.ConnectionLimits {
	table := d.host.routes.Load()
	if table == nil {
		return model.ConnectionLimits{}
	}
	return table.state.Limits
}

// IsStopping reports whether clients should leave.
func (d *Desk) IsStopping() bool { return d.host.stopping.Load() }

// Absent notes that a backend server does not hold what the request needs.
func (d *Desk) Absent(_ time.Time, backend string, q Question) {
	d.host.post(func(now time.Time) {
		if q.Adapter != "" {
			d.host.view.noteAdapter(now, backend, q.Model, q.Adapter, false)
		} else {
			d.host.view.noteModel(now, backend, q.Model, false)
		}
		d.host.viewChanged = true
	})
}

// Loop returns the limits of a request's attempts.
func (d *Desk) Loop(q Question) attempt.Loop {
	runs := q.Route.MaxAttempts
	if q.IsOnce() {
		runs = 1
	}
	return attempt.Loop{
		Budget: d.budget(q.Service), MaxRuns: runs, MaxRefusals: maxRefusals, PayForRefusal: true, Now: d.host.Now,
	}
}

// budget returns this host's part of the retry budget that all hosts share.
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

// Acquire waits for a place on a backend server.
func (d *Desk) Acquire(ctx context.Context, q Question, p *attempt.Progress) (*Place, error) {
	if q.Model == "" {
		return d.acquireSite(q, p)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.host.leaving, cancel)()
	request := routing.Request{
		ID:          q.ID,
		Target:      targetOf(q),
		Service:     q.Service,
		Fingerprint: q.Fingerprint,
		Priority:    max(0, mostPriority-priorityStep*q.Route.Priority),
		Deadline:    q.Deadline,
		StartBy:     startBy(d.host.Now(), q, p),
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
		Priority: min(q.Route.Priority, lastEngine),
		grant:    grant,
	}, nil
}

// startBy returns when the caller of a stream leaves if nothing comes: counted from its request, or from now on
// when it has a part of the answer already.
func startBy(now time.Time, q Question, p *attempt.Progress) time.Time {
	if q.Route.Kind != model.RouteStream {
		return time.Time{}
	}
	patience := max(leastPatience, patienceTargets*q.Route.LatencyTarget, patienceGaps*q.Route.GapTarget) - startMargin
	if p.Resuming {
		return now.Add(patience)
	}
	return q.Arrived.Add(patience)
}

func (d *Desk) acquireSite(q Question, p *attempt.Progress) (*Place, error) {
	site, err := d.host.router.AcquireSite(d.host.Now(), q.Service, p.Failed)
	if err != nil {
		return nil, err
	}
	return &Place{Address: site.Endpoint.Address, Life: model.Life{ID: site.Endpoint.Backend}, Priority: -1, site: site}, nil
}
