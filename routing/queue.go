package routing

import (
	"slices"
	"time"
)

// Ticket is one waiting request.
type Ticket struct {
	Request
	Class Class
	Since time.Time
	clearance
	sequence uint64
	result   chan result
}

// before orders tickets of one lane: priority, then deadline, then arrival.
func (t *Ticket) before(other *Ticket) bool {
	if t.Priority != other.Priority {
		return t.Priority > other.Priority
	}
	if !t.Deadline.Equal(other.Deadline) {
		return t.Deadline.Before(other.Deadline)
	}
	return t.sequence < other.sequence
}

// settle gives the ticket its result; each ticket gets one.
func (t *Ticket) settle(res result) {
	select {
	case t.result <- res:
	default:
	}
}

// Counts are the totals of a queue. Pushed = Granted + Refused + Withdrawn + waiting always holds.
type Counts struct {
	Pushed    int64
	Granted   int64
	Refused   int64
	Withdrawn int64
	LateGrant int64 // breaches: granted after the deadline
	Unsettled int64 // breaches: found waiting after the deadline by more than the tolerance
	Unbalance int64 // breaches: a request is not accounted for
}

// Line holds the waiting requests for one target, one lane for each class.
type Line struct {
	Target Target
	Lanes  [classes][]*Ticket
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.Lanes[Short]) + len(l.Lanes[Long]) }

// position returns how many wait ahead of the ticket in its lane, and whether it waits at all.
func (l *Line) position(t *Ticket) (int, bool) {
	return slices.BinarySearchFunc(l.Lanes[t.Class], t, order)
}

// Queue is a bounded set of waiting requests. It is not safe for concurrent use.
type Queue struct {
	Limit  int
	Counts Counts

	lines    map[Target]*Line
	waiting  int
	sequence uint64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Line returns the line of the target, nil when nobody waits for it.
func (q *Queue) Line(target Target) *Line { return q.lines[target] }

// Push puts a ticket in its lane. When the queue is full it returns the ticket to refuse:
// the worst one of lower priority, or else the new one.
func (q *Queue) Push(now time.Time, t *Ticket) (refused *Ticket) {
	q.Counts.Pushed++
	q.sequence++
	t.sequence = q.sequence
	t.Since = now
	if q.waiting >= q.Limit {
		refused = q.worst()
		if refused == nil || refused.Priority >= t.Priority {
			q.Counts.Refused++
			return t
		}
		q.Refuse(refused)
	}
	line := q.lines[t.Target]
	if line == nil {
		line = &Line{Target: t.Target}
		if q.lines == nil {
			q.lines = make(map[Target]*Line)
		}
		q.lines[t.Target] = line
	}
	lane := line.Lanes[t.Class]
	at, _ := slices.BinarySearchFunc(lane, t, order)
	line.Lanes[t.Class] = slices.Insert(lane, at, t)
	q.waiting++
	return refused
}

// Grant takes the ticket out because it is served.
func (q *Queue) Grant(now time.Time, t *Ticket) {
	if !q.remove(t) {
		return
	}
	q.Counts.Granted++
	if now.After(t.Deadline) {
		q.Counts.LateGrant++
	}
}

// Refuse takes the ticket out because it is refused and reports whether it was waiting.
func (q *Queue) Refuse(t *Ticket) bool {
	if !q.remove(t) {
		return false
	}
	q.Counts.Refused++
	return true
}

// Withdraw takes the ticket out because its caller went away and reports whether it was waiting.
func (q *Queue) Withdraw(t *Ticket) bool {
	if !q.remove(t) {
		return false
	}
	q.Counts.Withdrawn++
	return true
}

// Outlook predicts the fate of waiting tickets.
type Outlook interface {
	// Forecast predicts the waits in one lane of a line.
	Forecast(now time.Time, target Target, class Class) Forecast
	// Service predicts the time to serve the ticket once it starts.
	Service(now time.Time, t *Ticket) time.Duration
}

// Hopeless returns the tickets whose answer is predicted to come after their deadline.
func (q *Queue) Hopeless(now time.Time, outlook Outlook) []*Ticket {
	var hopeless []*Ticket
	for _, line := range q.lines {
		for class, lane := range line.Lanes {
			if len(lane) == 0 {
				continue
			}
			forecast, ahead := outlook.Forecast(now, line.Target, Class(class)), 0
			for _, t := range lane {
				start := now.Add(forecast.Wait(ahead))
				if t.isLate(start, start.Add(outlook.Service(now, t))) || !now.Before(t.giveUpAt()) {
					hopeless = append(hopeless, t)
					continue
				}
				ahead++
			}
		}
	}
	return hopeless
}

// Audit counts breaches: tickets that wait past their deadline by more than the tolerance or are not accounted for.
func (q *Queue) Audit(now time.Time, tolerance time.Duration) {
	if !q.Balanced() {
		q.Counts.Unbalance++
	}
	for _, line := range q.lines {
		for _, lane := range line.Lanes {
			for _, t := range lane {
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
	line := q.lines[t.Target]
	if line == nil {
		return false
	}
	at, found := slices.BinarySearchFunc(line.Lanes[t.Class], t, order)
	if !found {
		return false
	}
	line.Lanes[t.Class] = slices.Delete(line.Lanes[t.Class], at, at+1)
	q.waiting--
	if line.Len() == 0 {
		delete(q.lines, t.Target)
	}
	return true
}

// worst returns the ticket that is served last.
func (q *Queue) worst() *Ticket {
	var worst *Ticket
	for _, line := range q.lines {
		for _, lane := range line.Lanes {
			if len(lane) == 0 {
				continue
			}
			last := lane[len(lane)-1]
			if worst == nil || worst.before(last) {
				worst = last
			}
		}
	}
	return worst
}

func order(a, b *Ticket) int {
	switch {
	case a.sequence == b.sequence:
		return 0
	case a.before(b):
		return -1
	default:
		return 1
	}
}
