package routing

import (
	"container/heap"
	"iter"
	"math"
	"slices"

	"citronspread/fairshare"
)

const (
	// gapWeight is the weight of the latest gap in the mean of a flow's gaps. A flow of a few requests a second must notice
	// within about a second that others have stopped.
	gapWeight = 0.25
	// overtakingWeight is the weight of the latest grant in ClassQueue.overtaking.
	overtakingWeight = 0.1
	// maxOvertaking bounds the part of the grants that is expected to go to requests that arrive later. Without a bound the
	// queue becomes so short that the requests of a burst are refused which could have waited: in a simulation of bursts of
	// a second at one host 0.897 were served with 0.9, 0.999 with 0.5.
	maxOvertaking = 0.5
)

// flow holds the waiting requests of one workspace in one class queue, in their order. The requests that resume streams are
// one flow of their own.
type flow struct {
	account *fairshare.Account // nil for requests that resume streams
	tickets []*Ticket          // not empty
	gap     float64            // mean number of grants of the class queue from one of the flow to its next one
	granted int64              // ClassQueue.grants after the flow's last grant, or when its first request arrived
}

// ClassQueue holds the waiting requests of one class for one target, by workspace.
type ClassQueue struct {
	flows  []*flow // in no order
	length int
	grants int64 // since the queue was empty
	// overtaking is the part of the latest grants that went to requests which had arrived after a waiting one of another
	// workspace.
	overtaking float64
}

// Len returns the number of waiting requests.
func (q *ClassQueue) Len() int { return q.length }

// flowOf returns the flow to which a ticket belongs, nil if none of its workspace waits.
func (q *ClassQueue) flowOf(t *Ticket) *flow {
	var account *fairshare.Account
	if !t.first {
		account = t.account
	}
	for _, f := range q.flows {
		if f.account == account {
			return f
		}
	}
	return nil
}

func (q *ClassQueue) insert(t *Ticket) {
	f := q.flowOf(t)
	if f == nil {
		f = &flow{gap: 1, granted: q.grants}
		if !t.first {
			f.account = t.account
		}
		q.flows = append(q.flows, f)
	}
	at, _ := slices.BinarySearchFunc(f.tickets, t, compareTickets)
	f.tickets = slices.Insert(f.tickets, at, t)
	q.length++
}

// remove removes a ticket and reports whether it was waiting.
func (q *ClassQueue) remove(t *Ticket) bool {
	f := q.flowOf(t)
	if f == nil {
		return false
	}
	at, found := slices.BinarySearchFunc(f.tickets, t, compareTickets)
	if !found {
		return false
	}
	f.tickets = slices.Delete(f.tickets, at, at+1)
	q.length--
	if len(f.tickets) == 0 {
		q.flows = slices.DeleteFunc(q.flows, func(other *flow) bool { return other == f })
	}
	return true
}

// recordGrant records that the flow of a waiting ticket gets the next grant.
func (q *ClassQueue) recordGrant(t *Ticket) {
	f := q.flowOf(t)
	if f == nil {
		return
	}
	overtakes := 0.0
	if slices.ContainsFunc(q.flows, func(other *flow) bool { return other != f && other.isOvertakenBy(t) }) {
		overtakes = 1
	}
	q.overtaking += overtakingWeight * (overtakes - q.overtaking)
	q.grants++
	f.gap += gapWeight * (float64(q.grants-f.granted) - f.gap)
	f.granted = q.grants
}

// isOvertakenBy reports whether a ticket of another flow that is served first has arrived after the flow's next one.
func (f *flow) isOvertakenBy(t *Ticket) bool {
	next := f.tickets[0]
	return next.Priority == t.Priority && next.sequence < t.sequence
}

// turn returns how many requests are expected to be served before the flow's request at the given index, of which so many
// wait now. If other flows have got several grants for each one of this flow, requests that arrive later will be served
// before it too.
func (q *ClassQueue) turn(f *flow, index, ahead int) int {
	passed := float64(q.grants - f.granted)
	gap := max(f.gap, passed+1)
	return max(ahead, int(math.Ceil(float64(index+1)*gap-passed))-1)
}

// position returns how many requests are expected to be served before a waiting ticket. found is false if it does not wait.
func (q *ClassQueue) position(t *Ticket, scale float64) (ahead int, found bool) {
	f := q.flowOf(t)
	if f == nil {
		return 0, false
	}
	index, found := slices.BinarySearchFunc(f.tickets, t, compareTickets)
	if !found {
		return 0, false
	}
	return q.positionAfter(t, f, f.tickets[:index], scale), true
}

// endPosition returns how many requests are expected to be served before a new one like the ticket, which does not wait.
func (q *ClassQueue) endPosition(t *Ticket, scale float64) int {
	f := q.flowOf(t)
	if f == nil {
		return q.positionAfter(t, nil, nil, scale)
	}
	return q.positionAfter(t, f, f.tickets, scale)
}

// positionAfter returns how many requests are expected to be served before a ticket that has the given ones of its own flow
// ahead of it. Each request that is served raises the counter of its workspace. own is nil if nothing of it waits.
func (q *ClassQueue) positionAfter(t *Ticket, own *flow, ahead []*Ticket, scale float64) int {
	level := t.account.Level()
	for _, u := range ahead {
		level += u.cost * scale
	}
	position := len(ahead) + q.countBefore(own, t, level, scale)
	if own != nil {
		position = q.turn(own, len(ahead), position)
	}
	if t.first {
		return position
	}
	return q.withLater(position, own, level)
}

// withLater adds the requests to a position that are expected to arrive later and to be served before: those of the waiting
// workspaces whose counters are below the given one.
func (q *ClassQueue) withLater(position int, own *flow, level float64) int {
	below, others := 0, 0
	for _, f := range q.flows {
		if f == own || f.account == nil {
			continue
		}
		others++
		if f.account.Level() < level {
			below++
		}
	}
	if below == 0 {
		return position
	}
	later := min(q.overtaking*float64(below)/float64(others), maxOvertaking)
	return int(float64(position+1)/(1-later)+0.5) - 1
}

// countBefore returns how many waiting requests of other flows are served before a ticket at whose turn the counter of its
// workspace is the given one.
func (q *ClassQueue) countBefore(own *flow, t *Ticket, level, scale float64) int {
	count := 0
	for _, f := range q.flows {
		if f == own {
			continue
		}
		other := 0.0
		if f.account != nil {
			other = f.account.Level()
		}
		for _, u := range f.tickets {
			if !isInTurnBefore(u, other, t, level) {
				break
			}
			other += u.cost * scale
			count++
		}
	}
	return count
}

// isInTurnBefore is Ticket.precedes for tickets of different flows of a class queue, with the counters at their turns.
func isInTurnBefore(t *Ticket, level float64, other *Ticket, otherLevel float64) bool {
	switch {
	case t.Priority != other.Priority:
		return t.Priority > other.Priority
	case t.first != other.first:
		return t.first
	case !t.first && level != otherLevel:
		return level < otherLevel
	}
	return t.before(other)
}

// all returns the waiting requests in no order.
func (q *ClassQueue) all() iter.Seq[*Ticket] {
	return func(yield func(*Ticket) bool) {
		for _, f := range q.flows {
			for _, t := range f.tickets {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// all returns the waiting requests for the target in no order.
func (q *TargetQueue) all() iter.Seq[*Ticket] {
	return func(yield func(*Ticket) bool) {
		for class := range q.ByClass {
			for t := range q.ByClass[class].all() {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// visitInTurn calls a function with each waiting ticket in the expected order of service, and how many requests are expected
// to be served before it. The function returns whether the ticket counts as waiting ahead of the others. It must not change
// the queue.
func (q *ClassQueue) visitInTurn(scale float64, visit func(t *Ticket, ahead int) (counts bool)) {
	turns := make(turnHeap, 0, len(q.flows))
	for _, f := range q.flows {
		next := flowTurn{flow: f}
		if f.account != nil {
			next.level = f.account.Level()
		}
		turns = append(turns, next)
	}
	heap.Init(&turns)
	ahead := 0
	for len(turns) > 0 {
		next := &turns[0]
		t := next.ticket()
		if visit(t, q.turn(next.flow, next.index, ahead)) {
			ahead++
			next.index++
			next.level += t.cost * scale
		}
		next.visited++
		if next.visited == len(next.flow.tickets) {
			heap.Pop(&turns)
		} else {
			heap.Fix(&turns, 0)
		}
	}
}

// flowTurn is the next ticket of a flow in visitInTurn.
type flowTurn struct {
	flow    *flow
	visited int
	index   int     // of the visited tickets, those that count
	level   float64 // of the workspace at the next ticket's turn
}

func (n *flowTurn) ticket() *Ticket { return n.flow.tickets[n.visited] }

// turnHeap implements heap.Interface. The first element is served first.
type turnHeap []flowTurn

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(i, j int) bool {
	return isInTurnBefore(h[i].ticket(), h[i].level, h[j].ticket(), h[j].level)
}

func (h turnHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(flowTurn)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
