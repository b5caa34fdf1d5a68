package routing

import (
	"time"

	"citronspread/fairshare"
)

// Ticket is one waiting request.
type Ticket struct {
	Request
	Class Class
	Since time.Time // when it was pushed to the queue
	clearance
	sequence uint64
	account  *fairshare.Account // of the workspace
	first    bool               // it resumes a stream and is served before the requests that are ordered by workspace
	cost     float64            // expected service
	result   chan result

	outputTokens int // of cost
}

// before reports whether the ticket is served before another one of its flow: by priority, deadline, arrival.
func (t *Ticket) before(other *Ticket) bool {
	if t.Priority != other.Priority {
		return t.Priority > other.Priority
	}
	if !t.Deadline.Equal(other.Deadline) {
		return t.Deadline.Before(other.Deadline)
	}
	return t.sequence < other.sequence
}

// resolve delivers the result of the ticket. Only the first call has an effect.
func (t *Ticket) resolve(res result) {
	select {
	case t.result <- res:
	default:
	}
}

// Counts holds the totals of a queue. Pushed always equals Granted + Refused + Withdrawn + the waiting tickets.
// LateGrant, Unsettled and Unbalance count violations and stay 0 unless there is a bug.
type Counts struct {
	Pushed    int64
	Granted   int64
	Refused   int64
	Withdrawn int64
	LateGrant int64 // granted after the deadline
	Unsettled int64 // found waiting longer than the tolerance after the deadline
	Unbalance int64 // audits in which the sum did not match
}

// TargetQueue holds the waiting requests for one target in one queue for each class.
type TargetQueue struct {
	Target  Target
	ByClass [classes]ClassQueue
}

func (q *TargetQueue) Len() int { return q.ByClass[Short].Len() + q.ByClass[Long].Len() }

// Queue is a bounded queue of waiting requests, divided by target and class and ordered by priority, workspace, deadline and
// arrival. It is not safe for concurrent use.
type Queue struct {
	Limit  int
	Counts Counts
	Shares fairshare.Counters

	targets  map[Target]*TargetQueue
	waiting  int
	sequence uint64
}

// Len returns the number of waiting requests of all targets.
func (q *Queue) Len() int { return q.waiting }

// TargetQueue returns the waiting requests for the target, nil if there are none.
func (q *Queue) TargetQueue(target Target) *TargetQueue { return q.targets[target] }

// Push adds a ticket to its class queue. If the queue is full, it returns the ticket to refuse: the one that would be served
// last if the new one precedes it, or else the new one.
func (q *Queue) Push(now time.Time, t *Ticket) (refused *Ticket) {
	q.Counts.Pushed++
	q.sequence++
	t.sequence = q.sequence
	t.Since = now
	t.first = t.Resumed && (t.Workspace != "" || q.Shares.HasWorkspaces())
	t.account = q.Shares.Account(now, t.Workspace)
	if !t.first {
		q.Shares.Join(now, t.account, t.Priority)
	}
	if q.waiting >= q.Limit {
		refused = q.displacedBy(now, t)
		if refused == nil {
			q.Counts.Refused++
			q.leave(now, t)
			q.Shares.Refuse(now, t.account)
			return t
		}
		q.Refuse(now, refused)
	}
	targetQueue := q.targets[t.Target]
	if targetQueue == nil {
		targetQueue = &TargetQueue{Target: t.Target}
		if q.targets == nil {
			q.targets = make(map[Target]*TargetQueue)
		}
		q.targets[t.Target] = targetQueue
	}
	targetQueue.ByClass[t.Class].insert(t)
	q.waiting++
	return refused
}

// Grant removes a ticket that is served and charges its workspace.
func (q *Queue) Grant(now time.Time, t *Ticket) {
	if targetQueue := q.targets[t.Target]; targetQueue != nil {
		targetQueue.ByClass[t.Class].recordGrant(t)
	}
	if !q.remove(now, t) {
		return
	}
	q.Counts.Granted++
	if now.After(t.Deadline) {
		q.Counts.LateGrant++
	}
	// The account of a stream that is resumed may have been dropped while it waited, see Counters.Join.
	q.Shares.Serve(now, q.Shares.Account(now, t.Workspace), t.Priority, t.cost)
}

// Refuse removes a ticket that is refused and reports whether it was waiting.
func (q *Queue) Refuse(now time.Time, t *Ticket) bool {
	if !q.remove(now, t) {
		return false
	}
	q.Counts.Refused++
	q.Shares.Refuse(now, t.account)
	return true
}

// Withdraw removes a ticket without a decision of the router, for example because its caller disconnected,
// and reports whether it was waiting.
func (q *Queue) Withdraw(now time.Time, t *Ticket) bool {
	if !q.remove(now, t) {
		return false
	}
	q.Counts.Withdrawn++
	return true
}

// Predictor predicts waits and service times.
type Predictor interface {
	// Forecast predicts the waits in the target's queue of the class.
	Forecast(now time.Time, target Target, class Class) Forecast
	// ServiceTime predicts the service time of the ticket, without its wait.
	ServiceTime(now time.Time, t *Ticket) time.Duration
}

// PredictedLate returns the tickets that have expired or whose response is predicted to start or end too late.
// Such tickets do not count as waiting ahead of the others.
func (q *Queue) PredictedLate(now time.Time, predictor Predictor) []*Ticket {
	var late []*Ticket
	for _, targetQueue := range q.targets {
		for class := range targetQueue.ByClass {
			classQueue := &targetQueue.ByClass[class]
			if classQueue.Len() == 0 {
				continue
			}
			forecast := predictor.Forecast(now, targetQueue.Target, Class(class))
			classQueue.visitInTurn(q.Shares.Scale(now), func(t *Ticket, ahead int) (counts bool) {
				start := now.Add(forecast.Wait(ahead))
				if t.isLate(start, start.Add(predictor.ServiceTime(now, t))) || !now.Before(t.expiresAt()) {
					late = append(late, t)
					return false
				}
				return true
			})
		}
	}
	return late
}

// Audit counts violations: tickets that wait longer than the tolerance after their deadline, and unbalanced counts.
func (q *Queue) Audit(now time.Time, tolerance time.Duration) {
	if !q.Balanced() {
		q.Counts.Unbalance++
	}
	for _, targetQueue := range q.targets {
		for t := range targetQueue.all() {
			if now.Sub(t.Deadline) > tolerance {
				q.Counts.Unsettled++
			}
		}
	}
}

// Balanced reports whether every pushed ticket is accounted for.
func (q *Queue) Balanced() bool {
	c := q.Counts
	return c.Pushed == c.Granted+c.Refused+c.Withdrawn+int64(q.waiting)
}

func (q *Queue) remove(now time.Time, t *Ticket) bool {
	targetQueue := q.targets[t.Target]
	if targetQueue == nil || !targetQueue.ByClass[t.Class].remove(t) {
		return false
	}
	q.leave(now, t)
	q.waiting--
	if targetQueue.Len() == 0 {
		delete(q.targets, t.Target)
	}
	return true
}

// leave records that a ticket no longer waits.
func (q *Queue) leave(now time.Time, t *Ticket) {
	if !t.first {
		q.Shares.Leave(now, t.account)
	}
}

// waitingGroup is what waits for one workspace, or all requests that resume streams.
type waitingGroup struct {
	last *Ticket // the one that is served last
	cost float64 // of all
}

// displacedBy returns the ticket that a new one displaces from the full queue, nil if the new one must be refused. Among the
// workspaces with tickets of the lowest priority it is the last one of the workspace whose last turn is the latest. So a
// workspace that sends many requests displaces none of another one, and no request displaces one of its own workspace and
// priority.
func (q *Queue) displacedBy(now time.Time, added *Ticket) *Ticket {
	groups := make(map[*fairshare.Account]*waitingGroup)
	for _, targetQueue := range q.targets {
		for t := range targetQueue.all() {
			addToGroup(groups, t)
		}
	}
	own := addToGroup(groups, added)
	isOwnLast := own.last == added || own.last.Priority == added.Priority
	lowest := own
	for _, g := range groups {
		if g.last.Priority < lowest.last.Priority {
			lowest = g
		}
	}
	scale, priority := q.Shares.Scale(now), lowest.last.Priority
	for _, g := range groups {
		if g.last.Priority == priority && g.isServedAfter(lowest, scale) {
			lowest = g
		}
	}
	if lowest == own && isOwnLast {
		return nil
	}
	return lowest.last
}

// addToGroup adds a ticket to the group of its workspace and returns the group.
func addToGroup(groups map[*fairshare.Account]*waitingGroup, t *Ticket) *waitingGroup {
	var key *fairshare.Account // nil for requests that resume streams
	if !t.first {
		key = t.account
	}
	g := groups[key]
	if g == nil {
		g = &waitingGroup{last: t}
		groups[key] = g
	}
	if g.last.before(t) {
		g.last = t
	}
	g.cost += t.cost
	return g
}

// isServedAfter reports whether the last ticket of the group is served after that of another group of the same priority.
func (g *waitingGroup) isServedAfter(other *waitingGroup, scale float64) bool {
	if g.last.first != other.last.first {
		return other.last.first
	}
	turn := g.last.account.Level() + (g.cost-g.last.cost)*scale
	otherTurn := other.last.account.Level() + (other.cost-other.last.cost)*scale
	if turn != otherTurn {
		return turn > otherTurn
	}
	return other.last.before(g.last)
}

// precedes reports whether the ticket is served before another one of any queue: by priority, resumed streams first, then the
// workspace that has been served least, then short requests before long ones, by deadline and arrival.
func (t *Ticket) precedes(other *Ticket) bool {
	switch {
	case t.Priority != other.Priority:
		return t.Priority > other.Priority
	case t.first != other.first:
		return t.first
	case !t.first && t.account != other.account && t.account.Level() != other.account.Level():
		return other.account.IsBehind(t.account)
	case t.Class != other.Class:
		return t.Class == Short
	}
	return t.before(other)
}

func compareTickets(a, b *Ticket) int {
	switch {
	case a.sequence == b.sequence:
		return 0
	case a.before(b):
		return -1
	default:
		return 1
	}
}
