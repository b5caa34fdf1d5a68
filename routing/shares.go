package routing

import (
	"time"

	"citronspread/fairshare"
)

// chargeStep is the number of output tokens beyond the expected ones for which a workspace is charged at once.
const chargeStep = 16

// chargeOutput charges the workspace of a request for output tokens up to a number, or gives back what it was charged beyond
// it.
func (r *Router) chargeOutput(now time.Time, g *Grant, tokens int) {
	if tokens == g.charged {
		return
	}
	servedAt := now
	if tokens < g.charged {
		servedAt = g.startedAt
	}
	r.queue.Shares.Charge(now, servedAt, g.ticket.Workspace, fairshare.Cost(0, tokens-g.charged))
	g.charged = tokens
}

// settle charges the workspace of an attempt that has ended for what was produced. An attempt that did not run is free. The
// length of a complete response that was not delivered token by token is not known; it counts as the longest possible one, as
// for usage caps.
func (r *Router) settle(now time.Time, g *Grant, outcome Outcome) {
	tokens := g.tokens
	switch outcome {
	case OutcomeComplete:
		if tokens == 0 {
			tokens = max(g.ticket.MaxTokens, g.charged)
		}
	case OutcomeNotLoaded, OutcomeOverloaded, OutcomeUnreachable, OutcomeNoPlace, OutcomeWithheld:
		r.queue.Shares.Charge(now, g.startedAt, g.ticket.Workspace, -fairshare.Cost(g.ticket.promptTokens(), 0))
	}
	r.chargeOutput(now, g, tokens)
}

// turnOf returns what decides on the turn of a ticket, nil if its request has no workspace.
func (r *Router) turnOf(now time.Time, t *Ticket) *Turn {
	if t.Workspace == "" || t.account == nil {
		return nil
	}
	shares := &r.queue.Shares
	turn := &Turn{Workspace: t.Workspace, Counter: shares.Counter(now, t.account)}
	turn.Lowest, _ = shares.Lowest(now, t.Priority)
	return turn
}

// refusedTurnOf is turnOf for a ticket that is refused.
func (r *Router) refusedTurnOf(now time.Time, t *Ticket) *Turn {
	turn := r.turnOf(now, t)
	targetQueue := r.queue.TargetQueue(t.Target)
	if turn == nil || targetQueue == nil {
		return turn
	}
	classQueue, scale := &targetQueue.ByClass[t.Class], r.queue.Shares.Scale(now)
	ahead, waiting := classQueue.position(t, scale)
	if !waiting {
		ahead = classQueue.endPosition(t, scale)
	}
	turn.Ahead = ahead
	return turn
}

// ReportServed returns a report to the relay of the zone of what was served here, nil if no request has a workspace.
func (r *Router) ReportServed(now time.Time, relay string) *fairshare.Report {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Shares.Report(now, r.Name, r.Seed, relay)
}

// ServedReported applies the relay's reply to the latest report.
func (r *Router) ServedReported(now time.Time, totals *fairshare.Totals) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Shares.Reported(now, totals)
}

// ReceiveServed adds what another host of the zone has served.
func (r *Router) ReceiveServed(now time.Time, report *fairshare.Report) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Shares.Receive(now, r.Seed, report)
}

// ServedTotals returns the reply to a report that was received.
func (r *Router) ServedTotals(now time.Time, report *fairshare.Report) *fairshare.Totals {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Shares.Totals(now, r.Seed, report)
}

// Shares returns the counters of the workspaces that were served most, at most the given number.
func (r *Router) Shares(now time.Time, limit int) []fairshare.Amount {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Shares.Busiest(now, limit)
}
