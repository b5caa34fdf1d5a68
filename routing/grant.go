package routing

import (
	"time"

	"citronspread/model"
)

// primeAge is the age up to which a request counts as the probable cause of a death.
const primeAge = 10 * time.Second

// passTokens is how far a suspect must come beyond its tokens at the death to be no longer the probable cause.
const passTokens = 16

// Outcome is how an attempt ended.
type Outcome int

// Outcomes.
const (
	OutcomeWhole       Outcome = iota // the whole answer came
	OutcomeNotLoaded                  // the engine has not loaded the model
	OutcomeOverloaded                 // the engine refused more work
	OutcomeUnreachable                // nothing could be sent
	OutcomeDied                       // the connection was cut by the other end
	OutcomeBad                        // stalled, crossed or unreadable
	OutcomeAbandoned                  // the caller went away
	OutcomeRejected                   // the engine rejected the request itself
)

// Grant is the right to send one attempt to a replica. Done must be called once.
type Grant struct {
	Replica  model.Replica
	Priority int // for the engine, lower runs earlier
	Waited   time.Duration

	ticket  *Ticket
	router  *Router
	started time.Time
	last    time.Time     // of the latest token
	gap     time.Duration // before the latest token
	tokens  int
	long    bool
	ended   bool
	revoked bool
	passed  bool // a suspect that has come beyond the point of the death
	stop    func()
}

// OnRevoke sets what is called when the attempt must be given up, because another entry host
// lost a backend server to the same request. It is called at once when that is so already.
func (g *Grant) OnRevoke(stop func()) {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.stop = stop
	if g.revoked {
		stop()
	}
}

// revoke gives the attempt up, unless it is the only one that may run. The caller holds the router's mutex.
func (g *Grant) revoke() {
	if g.ticket.trial || g.revoked {
		return
	}
	g.revoked = true
	if g.stop != nil {
		g.stop()
	}
}

// Token notes a delivered token.
func (g *Grant) Token(now time.Time) {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fleet.get(g.Replica.Backend)
	if g.tokens == 0 {
		b.observed.firstToken(now, now.Sub(g.started))
	} else {
		g.gap = now.Sub(g.last)
		b.observed.token(now, g.gap)
	}
	g.tokens++
	g.last = now
	b.failures, b.overloads = 0, 0
	if g.ticket.trial && !g.passed && g.tokens >= g.ticket.passAt {
		g.passed = true
		b.endTrial(g.ticket)
	}
	if !g.long && g.tokens >= r.Policy.LongTokens {
		g.long = true
		b.ownLong++
	}
}

// Done ends the attempt.
func (g *Grant) Done(now time.Time, outcome Outcome) {
	r := g.router
	r.mu.Lock()
	if g.ended {
		r.mu.Unlock()
		return
	}
	g.ended = true
	blamed := r.finish(now, g, outcome)
	r.dispatch(now)
	r.mu.Unlock()
	g.settleSuspect(now, outcome, blamed)
}

// settleSuspect tells the suspects how the attempt ended.
func (g *Grant) settleSuspect(now time.Time, outcome Outcome, blamed bool) {
	f, suspects := g.ticket.Fingerprint, g.router.Suspects
	switch {
	case blamed && suspects.Proven(f) && !g.ticket.trial:
		suspects.Doubt(f)
	case blamed:
		recent := g.ticket.prime || now.Sub(g.started) <= primeAge
		suspects.Died(now, f, g.Replica.Backend, recent, g.ticket.Delivered+g.tokens)
	case outcome == OutcomeWhole:
		suspects.Answered(now, f)
	case g.ticket.trial:
		suspects.Release(f)
	}
}

// finish frees the place of the attempt and reports whether its request is to blame for a death.
func (r *Router) finish(now time.Time, g *Grant, outcome Outcome) (blamed bool) {
	b := r.fleet.get(g.Replica.Backend)
	trials := b.trials
	b.own--
	r.usages.ended(g.Replica.Backend, g.ticket.Target)
	if g.long {
		b.ownLong--
	}
	r.unpin(g)
	if g.ticket.trial && !g.passed {
		b.endTrial(g.ticket)
	}
	switch outcome {
	case OutcomeWhole:
		r.estimates.served(now, &g.ticket.Request, g.ticket.Class, g.tokens, now.Sub(g.started))
	case OutcomeNotLoaded:
		b.missing[g.ticket.Target] = now
	case OutcomeOverloaded:
		b.refuse(now, r.Policy.OverloadPause)
	case OutcomeUnreachable:
		b.fail(now, r.Policy.FailurePause)
	case OutcomeBad:
		if b.isSilent(now, r.Policy.MoveSilence) {
			b.fail(now, r.Policy.FailurePause)
		}
	case OutcomeDied:
		b.fail(now, r.Policy.FailurePause)
		return b.blames(now, g, trials)
	}
	return false
}

// blames reports whether the request may be the cause of a death.
// A suspect that was running there explains it, and nobody else is blamed.
func (b *backend) blames(now time.Time, g *Grant, trials int) bool {
	if g.ticket.trial && !g.passed {
		b.blamedAt = now
		return true
	}
	explained := trials > 0 || !b.blamedAt.IsZero() && now.Sub(b.blamedAt) < sameDeath
	return !explained
}

// endTrial notes that a suspect no longer keeps others away.
func (b *backend) endTrial(t *Ticket) {
	b.trials--
	if t.prime {
		b.trialsPrime--
	}
}

// enginePriority orders requests inside an engine: priority first, short before long.
func enginePriority(t *Ticket) int {
	return (100-t.Priority)*int(classes) + int(t.Class)
}
