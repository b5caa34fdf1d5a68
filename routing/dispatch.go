package routing

import (
	"time"

	"citronspread/fairshare"
	"citronspread/model"
)

// maxSkips is how many tickets of a class queue one dispatch passes over because they may not run on every replica.
const maxSkips = 16

// cursor is a position in one class queue during a dispatch.
type cursor struct {
	targetQueue *TargetQueue
	class       Class
	flows       []flowCursor
	current     int // index in flows of the ticket to serve first, -1 if it must be found again
	skipped     int
}

// flowCursor is a position in one flow of the class queue.
type flowCursor struct {
	flow     *flow
	position int
}

// ticket returns the ticket to serve first of those that were not passed over, nil if there is none.
func (c *cursor) ticket() *Ticket {
	if c.current < 0 {
		c.find()
	}
	if c.current < 0 {
		return nil
	}
	return c.flows[c.current].ticket()
}

func (c *cursor) find() {
	var best *Ticket
	for i := range c.flows {
		t := c.flows[i].ticket()
		if t != nil && (best == nil || t.precedes(best)) {
			best, c.current = t, i
		}
	}
}

func (c *flowCursor) ticket() *Ticket {
	if c.position >= len(c.flow.tickets) {
		return nil
	}
	return c.flow.tickets[c.position]
}

// pass passes over the current ticket.
func (c *cursor) pass() {
	c.flows[c.current].position++
	c.current = -1
}

// remaining returns the number of tickets that were not passed over.
func (c *cursor) remaining() int {
	count := 0
	for i := range c.flows {
		count += len(c.flows[i].flow.tickets) - c.flows[i].position
	}
	return count
}

// admit queues a ticket, grants it at once if there is free capacity, or refuses it.
// It returns the load demands to send.
func (r *Router) admit(now time.Time, t *Ticket) []model.LoadDemand {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(now)
	if r.index.find(t.Target.Key) == nil {
		t.resolve(result{err: &RefusedError{Reason: ReasonUnknown}})
		return nil
	}
	t.Class = r.Policy.classOf(r.estimates.expectedTokens(&t.Request))
	t.outputTokens = r.estimates.usualTokens(&t.Request)
	t.cost = fairshare.Cost(t.promptTokens(), t.outputTokens)
	if refused := r.queue.Push(now, t); refused != nil {
		r.resolveQueueFull(now, refused, t)
		if refused == t {
			return nil
		}
	}
	r.dispatch(now)
	targetQueue := r.queue.TargetQueue(t.Target)
	if targetQueue == nil {
		return nil
	}
	demands := r.appendDemand(now, nil, targetQueue)
	if ahead, waiting := targetQueue.ByClass[t.Class].position(t, r.queue.Shares.Scale(now)); waiting && r.isPredictedLate(now, t, ahead) {
		r.refuse(now, t, ReasonLate)
	}
	return demands
}

// resolveQueueFull resolves the ticket that Queue.Push rejected because the queue is full: the new one or a displaced one.
func (r *Router) resolveQueueFull(now time.Time, refused, added *Ticket) {
	reason := ReasonDisplaced
	if refused == added {
		reason = ReasonQueueFull
	}
	refused.resolve(result{err: &RefusedError{Reason: reason, RetryAfter: r.retryAfter(now, refused), Turn: r.refusedTurnOf(now, refused)}})
}

// dispatch grants replicas to waiting requests until no request fits. After a freeze of the process it grants nothing
// until updates about the backend servers have had time to arrive.
func (r *Router) dispatch(now time.Time) {
	if r.queue.Len() == 0 || r.wasFrozen(now) || now.Before(r.noGrantsBefore) {
		return
	}
	r.stated.clearWanted()
	cursors := r.queue.cursors()
	longWaiting := r.countLongWaiting(now)
	for len(cursors) > 0 {
		best := bestCursor(cursors)
		t := cursors[best].ticket()
		if r.isTooLate(now, t) {
			r.refuse(now, t, ReasonLate)
			cursors[best].current = -1
		} else if !t.trial && r.Suspects.IsSuspect(t.Fingerprint) || r.PromptParts.IsBlocked(now, t.PromptParts) {
			r.returnSuspect(now, t)
			cursors[best].current = -1
		} else if backends, end := r.allInBackOff(now, t.Target); len(backends) > 0 {
			r.refuseInBackOff(now, t, backends, end)
			cursors[best].current = -1
		} else if r.awaitsAllowance(now, t) {
			cursors[best].pass()
		} else if replica := r.chooseReplica(now, t, longWaiting); replica != nil {
			r.grant(now, t, replica, longWaiting)
			cursors[best].current = -1
			forgetCurrent(cursors, t.account)
		} else if !cursors[best].skip(r, t) {
			r.wantAllowance(now, t.Target, cursors[best].remaining())
			cursors = dropCursor(cursors, best)
			continue
		}
		if cursors[best].ticket() == nil {
			cursors = dropCursor(cursors, best)
		}
	}
}

// returnSuspect removes a ticket whose request became a suspect, or has a part of its prompt blocked, since it waits. Acquire
// then checks the request again.
func (r *Router) returnSuspect(now time.Time, t *Ticket) {
	if r.queue.Withdraw(now, t) {
		t.resolve(result{suspected: true})
	}
}

// isTooLate reports whether the ticket has expired or, while other requests wait, is expected to miss its deadline,
// so that serving it would waste capacity.
func (r *Router) isTooLate(now time.Time, t *Ticket) bool {
	if !now.Before(t.expiresAt()) {
		return true
	}
	return r.queue.Len() > 1 && now.Add(r.ServiceTime(now, t)).After(t.Deadline)
}

// skip passes over a ticket that may not run on every replica, so that tickets behind it are not blocked. It reports
// whether the dispatch may go on in this queue: not at a ticket that may run on every replica, nor after maxSkips.
func (c *cursor) skip(r *Router, t *Ticket) bool {
	_, pinned := r.pins[t.Fingerprint]
	if !pinned && !t.trial && len(t.Avoid) == 0 {
		return false
	}
	c.pass()
	c.skipped++
	return c.skipped <= maxSkips
}

// grant removes the ticket from the queue and resolves it with a grant for the replica.
func (r *Router) grant(now time.Time, t *Ticket, replica *model.Replica, longWaiting map[string]int) {
	turn := r.turnOf(now, t)
	r.queue.Grant(now, t)
	b := r.fleet.get(replica.Backend)
	if b.ownRequests == 0 {
		b.observed.recordStart(now)
	}
	input := r.recordGrantedLoad(now, b, t, replica)
	r.stated.use(now, replica.Backend)
	r.stated.recordSent(now, replica.Backend)
	switch {
	case t.Class == Long:
		b.ownLongRequests++
		b.shortStreak = 0
		r.removeLongWaiting(now, t.Target, longWaiting)
	case longWaiting[replica.Backend] > 0:
		b.shortStreak++
	}
	if t.trial {
		b.trials++
	}
	if t.recent {
		b.recentTrials++
	}
	g := &Grant{
		Replica:   *replica,
		Priority:  enginePriority(t),
		Waited:    now.Sub(t.Since),
		Turn:      turn,
		Load:      input,
		ticket:    t,
		router:    r,
		startedAt: now,
		limited:   r.stated.allowances[replica.Backend] != nil,
		charged:   t.outputTokens,
		long:      t.Class == Long,
	}
	r.pin(g)
	if len(t.PromptParts) > 0 {
		r.unbegun[g] = true
	}
	t.resolve(result{grant: g})
}

// countLongWaiting returns for each backend server, by name, how many of the waiting long requests it could run.
func (r *Router) countLongWaiting(now time.Time) map[string]int {
	counts := make(map[string]int)
	for _, targetQueue := range r.queue.targets {
		if count := targetQueue.ByClass[Long].Len(); count > 0 {
			r.addLongWaiting(now, targetQueue.Target, counts, count)
		}
	}
	return counts
}

func (r *Router) removeLongWaiting(now time.Time, target Target, counts map[string]int) {
	r.addLongWaiting(now, target, counts, -1)
}

func (r *Router) addLongWaiting(now time.Time, target Target, counts map[string]int, count int) {
	for _, replicas := range r.usableReplicas(now, target) {
		for _, replica := range replicas {
			counts[replica.Backend] += count
		}
	}
}

// cursors returns one cursor for each class queue that is not empty.
func (q *Queue) cursors() []cursor {
	flows := 0
	for _, targetQueue := range q.targets {
		for class := range targetQueue.ByClass {
			flows += len(targetQueue.ByClass[class].flows)
		}
	}
	all, positions := make([]cursor, 0, len(q.targets)), make([]flowCursor, 0, flows)
	for _, targetQueue := range q.targets {
		for class := range targetQueue.ByClass {
			from := len(positions)
			for _, f := range targetQueue.ByClass[class].flows {
				positions = append(positions, flowCursor{flow: f})
			}
			if len(positions) > from {
				all = append(all, cursor{targetQueue: targetQueue, class: Class(class), flows: positions[from:], current: -1})
			}
		}
	}
	return all
}

// bestCursor returns the index of the cursor to serve first, see Ticket.precedes.
func bestCursor(cursors []cursor) int {
	best := 0
	for i := 1; i < len(cursors); i++ {
		if cursors[i].ticket().precedes(cursors[best].ticket()) {
			best = i
		}
	}
	return best
}

// forgetCurrent lets the cursors whose current ticket is of a workspace that was served now find the ticket to serve first
// again. All other workspaces have kept their counters.
func forgetCurrent(cursors []cursor, account *fairshare.Account) {
	for i := range cursors {
		if t := cursors[i].ticket(); t != nil && t.account == account {
			cursors[i].current = -1
		}
	}
}

func dropCursor(cursors []cursor, i int) []cursor {
	last := len(cursors) - 1
	cursors[i] = cursors[last]
	return cursors[:last]
}
