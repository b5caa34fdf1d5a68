package routing

import (
	"context"
	"slices"
	"time"

	"citronspread/model"
)

// Await waits for at most the given time before the request of the grant is sent. It ends early if the request must not be sent any
// more, which Confirm then reports, or if the context ends.
func (g *Grant) Await(ctx context.Context, wait time.Duration) {
	r := g.router
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		withheld, changed := g.isWithheld(r.Now()), r.stated.changed
		r.mu.Unlock()
		if withheld {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Confirm reports whether the request may still be sent, which must be asked after a wait with the grant: its backend server may have
// stated a limit, a back-off or that it is leaving, the request may have become a suspect, and the process may have been frozen. The
// grant of a request that is not sent is ended with OutcomeWithheld.
func (g *Grant) Confirm(now time.Time) bool {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if g.isWithheld(now) {
		return false
	}
	g.limited = r.stated.confirmSent(now, g.Replica.Backend, g.limited)
	return true
}

// isWithheld reports whether the request must not be sent any more. The router's mutex must be held.
func (g *Grant) isWithheld(now time.Time) bool {
	r, t := g.router, g.ticket
	r.reindex(now)
	return g.revoked || !t.trial && r.Suspects.IsSuspect(t.Fingerprint) || r.PromptParts.IsBlocked(now, t.PromptParts) ||
		!r.isStillListed(t.Target, &g.Replica) || r.isWithheldSince(now, g.startedAt, g.Replica.Backend, g.Replica.Born, g.limited)
}

// isStillListed reports whether the current snapshot has the replica, of the same incarnation and not draining.
func (r *Router) isStillListed(target Target, granted *model.Replica) bool {
	routed := r.index.find(target.Key)
	return routed != nil && slices.ContainsFunc(routed.Replicas, func(current model.Replica) bool {
		return current.Backend == granted.Backend && current.Born == granted.Born && !current.Draining
	})
}

// Confirm reports whether the call may still be sent, see Grant.Confirm.
func (g *EndpointGrant) Confirm(now time.Time) bool {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(now)
	backend, born := g.Backend(), g.Endpoint.Born
	isListed := slices.ContainsFunc(r.index.endpoints[g.Endpoint.Service], func(current model.ServiceEndpoint) bool {
		return backendOf(current) == backend && current.Born == born && !current.Leaving
	})
	if !isListed || !g.trial && r.Suspects.IsSuspect(g.fingerprint) || r.isWithheldSince(now, g.startedAt, backend, born, g.limited) {
		return false
	}
	g.limited = r.stated.confirmSent(now, backend, g.limited)
	return true
}

// isWithheldSince reports whether a grant of an earlier time must not be used now because of what the backend server has stated since,
// or because of a freeze. limited is set if the grant has used an allowance.
func (r *Router) isWithheldSince(now, granted time.Time, backend string, born int64, limited bool) bool {
	if r.wasFrozen(now) || now.Before(r.noGrantsBefore) || r.stated.isLeaving(now, backend, born) {
		return true
	}
	if b := r.stated.backOffOf(now, backend, born); b != nil && (now.Before(b.until) || !b.statedAt.Before(granted) && !b.nextAt(now).IsZero()) {
		return true
	}
	return !limited && !r.stated.allows(now, backend)
}

// confirmSent records that a request is sent to a backend server after a wait. limited is set if it has used an allowance; otherwise it
// uses one if the backend server has stated a limit since. It reports whether an allowance is used.
func (s *statements) confirmSent(now time.Time, backend string, limited bool) bool {
	s.recordSent(now, backend)
	if !limited {
		s.use(now, backend)
	}
	return s.allowances[backend] != nil
}
