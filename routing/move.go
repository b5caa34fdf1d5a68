package routing

import (
	"time"
)

// ShouldMove reports whether another replica is expected to finish a stalled response much sooner. If so, it takes a
// hedge from the budget. It uses only the observations of this router, because reports are too late for short
// slowdowns.
func (g *Grant) ShouldMove(now time.Time) bool {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Policy.MoveFactor == 0 || g.ticket.trial || g.ticket.Moves >= r.Policy.MaxMoves {
		return false
	}
	remaining := g.remainingTokens()
	alternative, found := r.fastestAlternative(now, g, remaining)
	current := g.remainingTime(now, remaining)
	if !found || current < time.Duration(r.Policy.MoveFactor*float64(alternative)) || current-alternative < r.Policy.MoveGain {
		return false
	}
	return r.Budget.Spend(now, ExtraHedge)
}

// remainingTokens returns how many more tokens the attempt is expected to deliver, at least 1.
func (g *Grant) remainingTokens() int {
	return max(1, g.router.estimates.expectedTokens(&g.ticket.Request)-g.tokens)
}

// remainingTime estimates the time to the end of the response if it continues at its current speed. Before the first
// token it estimates the time to that token: as long again as the wait so far.
func (g *Grant) remainingTime(now time.Time, remaining int) time.Duration {
	if g.tokens == 0 {
		return now.Sub(g.startedAt)
	}
	gap := max(now.Sub(g.lastTokenAt), g.tokenGap)
	return time.Duration(remaining) * gap
}

// fastestAlternative estimates the time to the end of the response on the fastest other replica with free capacity, or
// to its first token if none has arrived yet.
func (r *Router) fastestAlternative(now time.Time, g *Grant, remaining int) (time.Duration, bool) {
	var best time.Duration
	found := false
	for _, replicas := range r.usableReplicas(now, g.ticket.Target) {
		for _, replica := range replicas {
			b := r.fleet.get(replica.Backend)
			if g.tokens > 0 && replica.Software != g.Replica.Software {
				continue // what two software versions generate does not fit together
			}
			if replica.Backend == g.Replica.Backend || b.observed.timeToFirstToken.at.IsZero() || !r.hasCapacity(now, g.ticket, replica) {
				continue
			}
			estimate := b.observed.remainingTime(now, b.ownRequests, remaining, g.tokens == 0)
			if !found || estimate < best {
				best, found = estimate, true
			}
		}
	}
	return best, found
}
