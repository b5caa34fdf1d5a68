package routing

import (
	"time"
)

// ShouldMove reports whether another replica would finish a silent answer much sooner, and spends the budget for it.
// The observations of this router decide: reports come too late for slowdowns of a moment.
func (g *Grant) ShouldMove(now time.Time) bool {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Policy.MoveFactor == 0 || g.ticket.trial || g.ticket.Moves >= r.Policy.MaxMoves {
		return false
	}
	remaining := g.remaining()
	other, found := r.quickest(now, g, remaining)
	rest := g.rest(now, remaining)
	if !found || rest < time.Duration(r.Policy.MoveFactor*float64(other)) || rest-other < r.Policy.MoveGain {
		return false
	}
	return r.Budget.Spend(now, ExtraHedge)
}

// remaining returns how many tokens the attempt is expected to bring yet.
func (g *Grant) remaining() int {
	return max(1, g.router.estimates.expectedTokens(&g.ticket.Request)-g.tokens)
}

// rest estimates the time to the end of the answer when it goes on as slowly as it does now.
func (g *Grant) rest(now time.Time, remaining int) time.Duration {
	if g.tokens == 0 {
		return now.Sub(g.started)
	}
	gap := max(now.Sub(g.last), g.gap)
	return time.Duration(remaining) * gap
}

// quickest estimates the time to the end of the answer on the best other replica that has room.
func (r *Router) quickest(now time.Time, g *Grant, remaining int) (time.Duration, bool) {
	var best time.Duration
	found := false
	for _, replicas := range r.usable(now, g.ticket.Target) {
		for _, replica := range replicas {
			b := r.fleet.get(replica.Backend)
			if replica.Backend == g.Replica.Backend || b.observed.first.at.IsZero() || !r.hasRoom(now, g.ticket, replica) {
				continue
			}
			estimate := b.observed.rest(now, b.own, remaining, g.tokens == 0)
			if !found || estimate < best {
				best, found = estimate, true
			}
		}
	}
	return best, found
}
