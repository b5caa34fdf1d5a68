package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

// endpointCalls holds this router's calls to the endpoints of plain services, by address.
type endpointCalls struct {
	running     map[string]int
	pausedUntil map[string]time.Time
}

// EndpointGrant is the right to send one call to an endpoint of a plain service, which is a service without an engine.
// Done must be called once.
type EndpointGrant struct {
	Endpoint model.ServiceEndpoint
	router   *Router
}

// HasService reports whether the current snapshot lists an endpoint of the service.
func (r *Router) HasService(service string) bool {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(r.Now())
	return len(r.index.endpoints[service]) > 0
}

// AcquireEndpoint chooses an endpoint of the service and counts a call to it. It skips leaving endpoints, endpoints with
// MaxEndpointCalls calls and the addresses in avoid, where the call has failed. It prefers reachable endpoints, and
// among these the ones in the router's zone.
func (r *Router) AcquireEndpoint(now time.Time, service string, avoid []string) (*EndpointGrant, error) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(now)
	best, found := model.ServiceEndpoint{}, false
	for _, e := range r.index.endpoints[service] {
		if e.Leaving || slices.Contains(avoid, e.Address) || r.endpointCalls.running[e.Address] >= r.Policy.MaxEndpointCalls {
			continue
		}
		if !found || r.endpointBefore(now, e, best) {
			best, found = e, true
		}
	}
	if !found {
		return nil, &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: minRetryAfter}
	}
	if r.endpointCalls.running == nil {
		r.endpointCalls.running = make(map[string]int)
		r.endpointCalls.pausedUntil = make(map[string]time.Time)
	}
	r.endpointCalls.running[best.Address]++
	return &EndpointGrant{Endpoint: best, router: r}, nil
}

// Done ends the call. An endpoint that was not reached is used last for Policy.FailurePause.
func (g *EndpointGrant) Done(now time.Time, reached bool) {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpointCalls.running[g.Endpoint.Address]--
	if r.endpointCalls.running[g.Endpoint.Address] <= 0 {
		delete(r.endpointCalls.running, g.Endpoint.Address)
	}
	if reached {
		delete(r.endpointCalls.pausedUntil, g.Endpoint.Address)
		return
	}
	r.endpointCalls.pausedUntil[g.Endpoint.Address] = now.Add(r.Policy.FailurePause)
}

// endpointBefore reports whether endpoint a is preferred to endpoint b: reachable ones first, then those in the router's
// zone, then those with fewer calls. Ties are broken at random.
func (r *Router) endpointBefore(now time.Time, a, b model.ServiceEndpoint) bool {
	pausedA, pausedB := now.Before(r.endpointCalls.pausedUntil[a.Address]), now.Before(r.endpointCalls.pausedUntil[b.Address])
	if pausedA != pausedB {
		return pausedB
	}
	localA, localB := a.Zone == r.Zone, b.Zone == r.Zone
	if localA != localB {
		return localA
	}
	runningA, runningB := r.endpointCalls.running[a.Address], r.endpointCalls.running[b.Address]
	if runningA != runningB {
		return runningA < runningB
	}
	return r.random.IntN(2) == 0
}
