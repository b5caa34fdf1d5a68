package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

// sites counts this router's calls to hosts of plain services, by address.
type sites struct {
	running     map[string]int
	pausedUntil map[string]time.Time
}

// Site is the right to send one call to a host of a plain service. Done must be called once.
type Site struct {
	Endpoint model.ServiceEndpoint
	router   *Router
}

// HasService reports whether the service is known.
func (r *Router) HasService(service string) bool {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(r.Now())
	return len(r.index.endpoints[service]) > 0
}

// AcquireSite chooses a host of the service, in the zone first, without those that failed the call.
func (r *Router) AcquireSite(now time.Time, service string, avoid []string) (*Site, error) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(now)
	best, found := model.ServiceEndpoint{}, false
	for _, e := range r.index.endpoints[service] {
		if e.Leaving || slices.Contains(avoid, e.Address) || r.sites.running[e.Address] >= r.Policy.SiteLimit {
			continue
		}
		if !found || r.siteBefore(now, e, best) {
			best, found = e, true
		}
	}
	if !found {
		return nil, &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFloor}
	}
	if r.sites.running == nil {
		r.sites.running = make(map[string]int)
		r.sites.pausedUntil = make(map[string]time.Time)
	}
	r.sites.running[best.Address]++
	return &Site{Endpoint: best, router: r}, nil
}

// Done ends the call.
func (s *Site) Done(now time.Time, reached bool) {
	r := s.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sites.running[s.Endpoint.Address]--
	if r.sites.running[s.Endpoint.Address] <= 0 {
		delete(r.sites.running, s.Endpoint.Address)
	}
	if reached {
		delete(r.sites.pausedUntil, s.Endpoint.Address)
		return
	}
	r.sites.pausedUntil[s.Endpoint.Address] = now.Add(r.Policy.FailurePause)
}

// siteBefore orders hosts: reachable ones first, then those of the zone, then the least busy.
func (r *Router) siteBefore(now time.Time, a, b model.ServiceEndpoint) bool {
	pausedA, pausedB := now.Before(r.sites.pausedUntil[a.Address]), now.Before(r.sites.pausedUntil[b.Address])
	if pausedA != pausedB {
		return pausedB
	}
	localA, localB := a.Zone == r.Zone, b.Zone == r.Zone
	if localA != localB {
		return localA
	}
	runningA, runningB := r.sites.running[a.Address], r.sites.running[b.Address]
	if runningA != runningB {
		return runningA < runningB
	}
	return r.random.IntN(2) == 0
}
