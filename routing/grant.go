package routing

import (
	"time"

	"citronspread/model"
)

// recentAge is the age up to which a running request counts as the probable cause of a crash.
const recentAge = 10 * time.Second

// trialPassMargin is how many tokens beyond the point of the crash a trial must deliver until the suspect is no longer
// considered the probable cause.
const trialPassMargin = 16

// Outcome is the outcome of an attempt.
type Outcome int

const (
	OutcomeComplete       Outcome = iota // the complete response arrived
	OutcomeNotLoaded                     // the engine has not loaded the model
	OutcomeOverloaded                    // the engine refused the request for lack of capacity
	OutcomeUnreachable                   // no connection, nothing was sent
	OutcomeConnectionLost                // the backend server closed the connection during the attempt; it may have crashed
	OutcomeNoResponse                    // the same, before the first byte of the response
	OutcomeBad                           // the response stalled, belonged to another request or could not be decoded
	OutcomeAbandoned                     // the caller disconnected
	OutcomeRejected                      // the engine rejected the request as invalid
	OutcomeNoPlace                       // the owner of the backend server had no place, nothing was sent
	OutcomeWithheld                      // Confirm forbade the send after a wait with the grant, nothing was sent
)

// Grant is the right to send one attempt to a replica. Done must be called once.
type Grant struct {
	Replica  model.Replica
	Priority int           // in the engine's order: lower values run first
	Waited   time.Duration // time in the queue
	Turn     *Turn         // nil for a request without a workspace
	Load     LoadInput     // of the backend server, before this request

	ticket      *Ticket
	router      *Router
	startedAt   time.Time
	lastTokenAt time.Time
	tokenGap    time.Duration // time between the last two tokens
	tokens      int
	charged     int // output tokens for which the workspace was charged
	long        bool
	ended       bool
	revoked     bool
	limited     bool      // it has used an allowance of the backend server
	passed      bool      // the trial has delivered passTokens tokens
	beganAt     time.Time // when the response began, zero before
	sound       bool      // the parts of the prompt are known to be sound
	onRevoke    func()
}

// OnRevoke sets the function that is called when the attempt must be stopped, because another entry host reported that
// a backend server crashed while running the same request. It is called at once if the grant is already revoked.
func (g *Grant) OnRevoke(stop func()) {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.onRevoke = stop
	if g.revoked {
		stop()
	}
}

// revoke stops the attempt unless it is a trial, which is the only copy that may run. The router's mutex must be held.
func (g *Grant) revoke() {
	if g.ticket.trial || g.revoked {
		return
	}
	g.stop()
}

// stop ends the attempt. The router's mutex must be held.
func (g *Grant) stop() {
	g.revoked = true
	if g.onRevoke != nil {
		g.onRevoke()
	}
	g.router.stated.notify() // a request that waits with the grant need not wait any longer
}

// Begin records that the backend server has begun to respond.
func (g *Grant) Begin(now time.Time) {
	r := g.router
	r.mu.Lock()
	g.beganAt = now
	delete(r.unbegun, g)
	survived := r.losses.takeSurvived(now, g.Replica.Backend, g.startedAt)
	r.mu.Unlock()
	r.withdraw(now, survived)
}

// Token records the delivery of a token.
func (g *Grant) Token(now time.Time) {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fleet.get(g.Replica.Backend)
	if g.tokens == 0 {
		b.observed.recordFirstToken(now, now.Sub(g.startedAt))
	} else {
		g.tokenGap = now.Sub(g.lastTokenAt)
		b.observed.recordToken(now, g.tokenGap)
	}
	g.tokens++
	g.lastTokenAt = now
	if g.tokens >= g.charged+chargeStep {
		r.chargeOutput(now, g, g.tokens)
	}
	b.failures = 0
	b.full.acceptFrom(g.startedAt)
	if g.ticket.trial && !g.passed && g.tokens >= g.ticket.passTokens {
		g.passed = true
		b.endTrial(g.ticket)
	}
	if !g.sound && !g.beganAt.IsZero() && now.Sub(g.beganAt) >= crashWindow {
		g.sound = true
		r.PromptParts.RecordSound(now, g.ticket.PromptParts)
	}
	if !g.long && g.tokens >= r.Policy.LongTokens {
		g.long = true
		b.ownLongRequests++
	}
}

// Done records the outcome of the attempt and frees its capacity.
func (g *Grant) Done(now time.Time, outcome Outcome) {
	r := g.router
	r.mu.Lock()
	if g.ended {
		r.mu.Unlock()
		return
	}
	g.ended = true
	delete(r.unbegun, g)
	possibleCause := r.finish(now, g, outcome)
	r.settle(now, g, outcome)
	crash := g.partsCrash(now, outcome)
	if possibleCause || len(crash.Parts) > 0 {
		r.losses.add(loss{backend: g.Replica.Backend, at: now, fingerprint: g.ticket.Fingerprint, parts: crash.begunParts()})
	}
	r.dispatch(now)
	r.mu.Unlock()
	r.Suspects.recordOutcome(now, suspectRun{
		fingerprint: g.ticket.Fingerprint, backend: g.Replica.Backend, trial: g.ticket.trial,
		recent: g.ticket.recent || g.isRecent(now), tokens: g.ticket.Delivered + g.tokens,
	}, outcome, possibleCause)
	if outcome == OutcomeComplete && !g.beganAt.IsZero() {
		r.PromptParts.RecordSound(now, g.ticket.PromptParts)
	}
	if r.PromptParts.RecordCrash(now, crash) {
		r.stopBlocked(now)
	}
}

// isRecent reports whether the attempt began so shortly before that it is the probable cause of a crash. A response that
// has lasted for longer than crashWindow is less probable than one that is about to begin.
func (g *Grant) isRecent(now time.Time) bool {
	hasLasted := !g.beganAt.IsZero() && now.Sub(g.beganAt) >= crashWindow
	return now.Sub(g.startedAt) <= recentAge && !hasLasted
}

// partsCrash returns the crash that the parts of the prompt may have caused: the connection was lost before the response
// began, or when it had just begun. It has no parts if they are not suspect.
func (g *Grant) partsCrash(now time.Time, outcome Outcome) PartsCrash {
	crash := PartsCrash{Backend: g.Replica.Backend, Request: g.ticket.Fingerprint}
	hasBegun := !g.beganAt.IsZero()
	switch {
	case outcome == OutcomeConnectionLost && hasBegun && now.Sub(g.beganAt) < crashWindow:
		crash.Parts = g.ticket.PromptParts
	case outcome == OutcomeNoResponse && !hasBegun:
		crash.Parts, crash.Unbegun = g.ticket.PromptParts, true
	}
	return crash
}

// begunParts returns the parts of a request whose response had begun.
func (c PartsCrash) begunParts() []string {
	if c.Unbegun {
		return nil
	}
	return c.Parts
}

// stopBlocked ends the attempts whose prompts have a blocked part and whose responses have not begun.
func (r *Router) stopBlocked(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for g := range r.unbegun {
		if r.PromptParts.IsBlocked(now, g.ticket.PromptParts) {
			g.stop()
		}
	}
}

// MergeSuspectParts merges the suspect parts of another entry host and returns those that were news.
func (r *Router) MergeSuspectParts(now time.Time, parts []model.SuspectPart) (news []model.SuspectPart) {
	r.once.Do(r.init)
	news, blocked := r.PromptParts.Merge(now, parts)
	if blocked {
		r.stopBlocked(now)
	}
	return news
}

// finish frees the capacity of the attempt and reports whether its request may have crashed the backend server.
func (r *Router) finish(now time.Time, g *Grant, outcome Outcome) (possibleCause bool) {
	b := r.fleet.get(g.Replica.Backend)
	trials := b.trials
	r.recordEndedLoad(now, b, g, outcome)
	if g.long {
		b.ownLongRequests--
	}
	r.unpin(g)
	if g.ticket.trial && !g.passed {
		b.endTrial(g.ticket)
	}
	switch outcome {
	case OutcomeComplete:
		r.estimates.recordResponse(now, &g.ticket.Request, g.ticket.Class, g.tokens, now.Sub(g.startedAt))
	case OutcomeNotLoaded:
		b.notLoadedAt[g.ticket.Target] = now
	case OutcomeUnreachable:
		b.pauseAfterFailure(now, r.Policy.FailurePause)
	case OutcomeBad:
		if b.isSilent(now, r.Policy.MoveSilence) {
			b.pauseAfterFailure(now, r.Policy.FailurePause)
		}
	case OutcomeConnectionLost, OutcomeNoResponse:
		b.pauseAfterFailure(now, r.Policy.FailurePause)
		return b.isPossibleCause(now, g, trials)
	}
	return false
}

// isPossibleCause reports whether the request may be the cause of a crash.
// If a trial was running on the backend server, the crash is attributed to the trial alone.
func (b *backend) isPossibleCause(now time.Time, g *Grant, trials int) bool {
	if g.ticket.trial && !g.passed {
		b.trialCrashAt = now
		return true
	}
	explained := trials > 0 || !b.trialCrashAt.IsZero() && now.Sub(b.trialCrashAt) < sameCrashWindow
	return !explained
}

// endTrial removes a trial from the counts that keep other suspects off the backend server.
func (b *backend) endTrial(t *Ticket) {
	b.trials--
	if t.recent {
		b.recentTrials--
	}
}

// enginePriority returns the position of a request in the engine's order: by priority, short before long.
func enginePriority(t *Ticket) int {
	return (100-t.Priority)*int(classes) + int(t.Class)
}
