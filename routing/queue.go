package routing

import (
	"slices"
	"time"
)

// Ticket is one waiting request.
type Ticket struct {
	Request
	Class Class
	Since time.Time // when it was pushed to the queue
	clearance
	sequence uint64
	result   chan result
}

// before reports whether the ticket is served before another one of its class queue: by priority, deadline, arrival.
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

// TargetQueue holds the waiting requests for one target in one sorted queue for each class.
type TargetQueue struct {
	Target  Target
	ByClass [classes][]*Ticket
}

func (q *TargetQueue) Len() int { return len(q.ByClass[Short]) + len(q.ByClass[Long]) }

// position returns how many tickets are ahead of the ticket in its class queue, and whether it is waiting.
func (q *TargetQueue) position(t *Ticket) (int, bool) {
	return slices.BinarySearchFunc(q.ByClass[t.Class], t, compareTickets)
}

// Queue is a bounded priority queue of waiting requests, divided by target and class. It is not safe for concurrent use.
type Queue struct {
	Limit  int
	Counts Counts

	targets  map[Target]*TargetQueue
	waiting  int
	sequence uint64
}

// Len returns the number of waiting requests of all targets.
func (q *Queue) Len() int { return q.waiting }

// TargetQueue returns the waiting requests for the target, nil if there are none.
func (q *Queue) TargetQueue(target Target) *TargetQueue { return q.targets[target] }

// Push adds a ticket to its class queue. If the queue is full, it returns the ticket to refuse: the lowest-ranked one
// if its priority is lower than that of the new ticket, or else the new one.
func (q *Queue) Push(now time.Time, t *Ticket) (refused *Ticket) {
	q.Counts.Pushed++
	q.sequence++
	t.sequence = q.sequence
	t.Since = now
	if q.waiting >= q.Limit {
		refused = q.lowestRanked()
		if refused == nil || refused.Priority >= t.Priority {
			q.Counts.Refused++
			return t
		}
		q.Refuse(refused)
	}
	targetQueue := q.targets[t.Target]
	if targetQueue == nil {
		targetQueue = &TargetQueue{Target: t.Target}
		if q.targets == nil {
			q.targets = make(map[Target]*TargetQueue)
		}
		q.targets[t.Target] = targetQueue
	}
	classQueue := targetQueue.ByClass[t.Class]
	at, _ := slices.BinarySearchFunc(classQueue, t, compareTickets)
	targetQueue.ByClass[t.Class] = slices.Insert(classQueue, at, t)
	q.waiting++
	return refused
}

// Grant removes a ticket that is served.
func (q *Queue) Grant(now time.Time, t *Ticket) {
	if !q.remove(t) {
		return
	}
	q.Counts.Granted++
	if now.After(t.Deadline) {
		q.Counts.LateGrant++
	}
}

// Refuse removes a ticket that is refused and reports whether it was waiting.
func (q *Queue) Refuse(t *Ticket) bool {
	if !q.remove(t) {
		return false
	}
	q.Counts.Refused++
	return true
}

// Withdraw removes a ticket without a decision of the router, for example because its caller disconnected,
// and reports whether it was waiting.
func (q *Queue) Withdraw(t *Ticket) bool {
	if !q.remove(t) {
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
		for class, classQueue := range targetQueue.ByClass {
			if len(classQueue) == 0 {
				continue
			}
			forecast, ahead := predictor.Forecast(now, targetQueue.Target, Class(class)), 0
			for _, t := range classQueue {
				start := now.Add(forecast.Wait(ahead))
				if t.isLate(start, start.Add(predictor.ServiceTime(now, t))) || !now.Before(t.expiresAt()) {
					late = append(late, t)
					continue
				}
				ahead++
			}
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
		for _, classQueue := range targetQueue.ByClass {
			for _, t := range classQueue {
				if now.Sub(t.Deadline) > tolerance {
					q.Counts.Unsettled++
				}
			}
		}
	}
}

// Balanced reports whether every pushed ticket is accounted for.
func (q *Queue) Balanced() bool {
	c := q.Counts
	return c.Pushed == c.Granted+c.Refused+c.Withdrawn+int64(q.waiting)
}

func (q *Queue) remove(t *Ticket) bool {
	targetQueue := q.targets[t.Target]
	if targetQueue == nil {
		return false
	}
	at, found := slices.BinarySearchFunc(targetQueue.ByClass[t.Class], t, compareTickets)
	if !found {
		return false
	}
	targetQueue.ByClass[t.Class] = slices.Delete(targetQueue.ByClass[t.Class], at, at+1)
	q.waiting--
	if targetQueue.Len() == 0 {
		delete(q.targets, t.Target)
	}
	return true
}

// lowestRanked returns the ticket that would be served last, nil if none is waiting.
func (q *Queue) lowestRanked() *Ticket {
	var lowest *Ticket
	for _, targetQueue := range q.targets {
		for _, classQueue := range targetQueue.ByClass {
			if len(classQueue) == 0 {
				continue
			}
			last := classQueue[len(classQueue)-1]
			if lowest == nil || lowest.before(last) {
				lowest = last
			}
		}
	}
	return lowest
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
