package routing

import (
	"time"

	"citronspread/model"
)

// maxSkips bounds the tickets of a lane that are passed over because they may not run on just any replica.
const maxSkips = 16

// cursor walks along one lane during a dispatch.
type cursor struct {
	line    *Line
	class   Class
	at      int
	skipped int
}

func (c *cursor) ticket() *Ticket {
	lane := c.line.Lanes[c.class]
	if c.at >= len(lane) {
		return nil
	}
	return lane[c.at]
}

// admit puts a ticket into the queue, serves it at once when there is room, or refuses it.
func (r *Router) admit(now time.Time, t *Ticket) []model.Wake {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(now)
	if r.index.models[t.Target.Key] == nil {
		t.settle(result{err: &RefusedError{Reason: ReasonUnknown}})
		return nil
	}
	t.Class = r.Policy.classOf(r.estimates.expectedTokens(&t.Request))
	if refused := r.queue.Push(now, t); refused != nil {
		r.tellFull(now, refused, t)
		if refused == t {
			return nil
		}
	}
	r.dispatch(now)
	line := r.queue.Line(t.Target)
	if line == nil {
		return nil
	}
	wakes := r.appendWake(now, nil, line)
	if ahead, waits := line.position(t); waits && r.isHopeless(now, t, ahead) {
		r.refuse(now, t, ReasonLate)
	}
	return wakes
}

// tellFull tells a ticket that it has no place.
func (r *Router) tellFull(now time.Time, refused, newcomer *Ticket) {
	reason := ReasonDisplaced
	if refused == newcomer {
		reason = ReasonQueueFull
	}
	refused.settle(result{err: &RefusedError{Reason: reason, RetryAfter: r.retryAfter(now, refused)}})
}

// dispatch grants places to waiting requests until none fits. After a sleep it waits for news of backend servers.
func (r *Router) dispatch(now time.Time) {
	if r.queue.Len() == 0 || r.hasSlept(now) || now.Before(r.settled) {
		return
	}
	cursors := r.queue.cursors()
	longWaits := r.longWaits(now)
	for len(cursors) > 0 {
		best := bestCursor(cursors)
		t := cursors[best].ticket()
		if r.isTooLate(now, t) {
			r.refuse(now, t, ReasonLate)
		} else if !t.trial && r.Suspects.IsSuspect(t.Fingerprint) {
			r.sendBack(t)
		} else if replica := r.choose(now, t, longWaits); replica != nil {
			r.grant(now, t, replica, longWaits)
		} else if !cursors[best].skip(r, t) {
			cursors = dropCursor(cursors, best)
			continue
		}
		if cursors[best].ticket() == nil {
			cursors = dropCursor(cursors, best)
		}
	}
}

// sendBack takes out a ticket whose request became a suspect while it waited.
func (r *Router) sendBack(t *Ticket) {
	if r.queue.Withdraw(t) {
		t.settle(result{suspected: true})
	}
}

// isTooLate reports whether serving the ticket would take a place from others in vain.
func (r *Router) isTooLate(now time.Time, t *Ticket) bool {
	if !now.Before(t.giveUpAt()) {
		return true
	}
	return r.queue.Len() > 1 && now.Add(r.Service(now, t)).After(t.Deadline)
}

// skip passes over a ticket that may not run on just any replica.
func (c *cursor) skip(r *Router, t *Ticket) bool {
	_, pinned := r.pins[t.Fingerprint]
	if !pinned && !t.trial && len(t.Avoid) == 0 {
		return false
	}
	c.at++
	c.skipped++
	return c.skipped <= maxSkips
}

// grant gives the ticket its place on the replica.
func (r *Router) grant(now time.Time, t *Ticket, replica *model.Replica, longWaits map[string]int) {
	r.queue.Grant(now, t)
	b := r.fleet.get(replica.Backend)
	if b.own == 0 {
		b.observed.begin(now)
	}
	b.own++
	r.usages.began(replica.Backend, t.Target)
	switch {
	case t.Class == Long:
		b.ownLong++
		b.shortRun = 0
		r.lessLong(now, t.Target, longWaits)
	case longWaits[replica.Backend] > 0:
		b.shortRun++
	}
	if t.trial {
		b.trials++
	}
	if t.prime {
		b.trialsPrime++
	}
	g := &Grant{
		Replica:  *replica,
		Priority: enginePriority(t),
		Waited:   now.Sub(t.Since),
		ticket:   t,
		router:   r,
		started:  now,
		long:     t.Class == Long,
	}
	r.pin(g)
	t.settle(result{grant: g})
}

// longWaits counts for each backend server the long requests that could run there.
func (r *Router) longWaits(now time.Time) map[string]int {
	waits := make(map[string]int)
	for _, line := range r.queue.lines {
		if count := len(line.Lanes[Long]); count > 0 {
			r.addLong(now, line.Target, waits, count)
		}
	}
	return waits
}

func (r *Router) lessLong(now time.Time, target Target, waits map[string]int) {
	r.addLong(now, target, waits, -1)
}

func (r *Router) addLong(now time.Time, target Target, waits map[string]int, count int) {
	for _, replicas := range r.usable(now, target) {
		for _, replica := range replicas {
			waits[replica.Backend] += count
		}
	}
}

// cursors returns one cursor for each lane in which someone waits.
func (q *Queue) cursors() []cursor {
	all := make([]cursor, 0, len(q.lines))
	for _, line := range q.lines {
		for class, lane := range line.Lanes {
			if len(lane) > 0 {
				all = append(all, cursor{line: line, class: Class(class)})
			}
		}
	}
	return all
}

// bestCursor finds the lane to serve first: by priority, short before long, by deadline, by arrival.
func bestCursor(cursors []cursor) int {
	best := 0
	for i := 1; i < len(cursors); i++ {
		if servedBefore(cursors[i].ticket(), cursors[best].ticket()) {
			best = i
		}
	}
	return best
}

func servedBefore(a, b *Ticket) bool {
	if a.Priority == b.Priority && a.Class != b.Class {
		return a.Class == Short
	}
	return a.before(b)
}

func dropCursor(cursors []cursor, i int) []cursor {
	last := len(cursors) - 1
	cursors[i] = cursors[last]
	return cursors[:last]
}
