// Package ratelimit divides limits that all entry hosts share: the requests per second that a backend server has stated, and
// the usage caps of workspaces. What is divided is an amount per second: of requests, each of which costs 1, or of tokens.
// Amounts are handed out for a short time and wait with a host in an Allowance.
//
// The limit of a backend server has one leader, which gives the hosts allowances with an Allocator.
//
// The cap of a workspace is divided into equal shares of the zones. An allotter in each zone has a Share, and gives the hosts of
// the zone allowances. If a zone needs more than its share, a pool leader borrows the shares of all zones for a short time in a
// Pool and divides them by demand. A Desk has all of these roles of one host. It has no sockets and no clock.
package ratelimit

import "time"

const (
	// allowanceTTL is how long an allowance may be used. It bounds what hosts can save up.
	allowanceTTL = 500 * time.Millisecond
	// burstWindow is the time for which requests that nobody asked for add up.
	burstWindow = 500 * time.Millisecond
	// minBurst is the least number of requests that add up.
	minBurst = 2
	// handoverPause is the time in which a new leader gives no allowance, since some hosts still ask the earlier one.
	handoverPause = 500 * time.Millisecond
	// minPerSecond replaces a lower limit, so that a host that sends nothing still learns when the limit ends.
	minPerSecond = 0.1
	// minRetryPause and maxRetryPause bound the time after which a host that got too small an allowance asks again.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 5 * time.Second
	// askTolerance is the delay with which a host may ask again without losing its turn.
	askTolerance = 100 * time.Millisecond
	// maxAsksPerSecond bounds how often the hosts without a queue ask, all together.
	maxAsksPerSecond = 20
	// askerTTL is how long a host counts among those that share the limit after it has asked.
	askerTTL = 10 * time.Second
)

// Request is a request for an allowance.
type Request struct {
	Host   string
	Count  int  // amount
	Least  int  // smallest amount that is of use: the cost of the first request that waits, 0 for 1
	Queued bool // requests wait; else they are sent to other backend servers if the allowance is refused
	First  bool // it goes before others, see Desk.TakeAgain
}

func (r Request) least() int { return max(1, r.Least) }

// Reply is the reply to a request for an allowance.
type Reply struct {
	Count      int           // amount that the host may use: one for each request to a backend server, or tokens
	ValidFor   time.Duration // how long it may use them, from when it sent the request, and Held
	RetryAfter time.Duration // expected time until the host gets its next allowance, 0 if it got all that it asked for
	Spacing    time.Duration // expected time in which the host gets a further amount of 1
	Backlog    time.Duration // time in which the amount that others have been told to come back for accrues
	Held       time.Duration // from the arrival of the request to the reply, if it waited for the amount
}

// Allocator divides the limit of one backend server. Its allowances in a period exceed the limit for this period at most by
// that for burstWindow, or by minBurst requests.
type Allocator struct {
	bucket
	askers
}

// NewAllocator returns an allocator that gives its first allowance after handoverPause.
func NewAllocator(now time.Time, perSecond float64) *Allocator {
	a := &Allocator{bucket: bucket{updatedAt: now}, askers: newAskers()}
	a.setLimit(perSecond)
	a.level = -a.perSecond * handoverPause.Seconds()
	return a
}

// SetLimit replaces the limit.
func (a *Allocator) SetLimit(now time.Time, perSecond float64) {
	a.refill(now)
	a.setLimit(perSecond)
}

func (a *Allocator) setLimit(perSecond float64) {
	a.perSecond = max(perSecond, minPerSecond)
	a.capacity = max(minBurst, a.perSecond*burstWindow.Seconds())
}

// IsIdle reports whether no host has asked for an allowance recently.
func (a *Allocator) IsIdle(now time.Time) bool {
	a.expire(now)
	return len(a.askedAt) == 0
}

// Take gives a host an allowance. If the queues of several hosts wait, each gets an equal part of what there is. Requests that
// can be sent elsewhere get what the queues leave.
func (a *Allocator) Take(now time.Time, r Request) Reply {
	a.refill(now)
	a.expire(now)
	waiting := a.begin(now, r)
	granted := 0
	if r.Queued || waiting == 1 || a.level >= a.capacity {
		granted = r.part(a.level, a.required(r.least()), waiting)
	}
	a.level -= float64(granted)
	reply := Reply{Count: granted, ValidFor: allowanceTTL, Spacing: seconds(float64(waiting) / a.perSecond)}
	if granted < r.Count {
		reply.RetryAfter = a.retryAfter(r)
	}
	if granted < r.Count && r.Queued {
		a.wait(now, r, reply.RetryAfter+askTolerance)
	}
	return reply
}

// retryAfter returns the time until the turn of a host behind the waiting ones. Hosts without a queue ask less often if they
// are many.
func (a *Allocator) retryAfter(r Request) time.Duration {
	pause := seconds((float64(a.ahead()+r.least()) - a.level) / a.perSecond)
	if !r.Queued {
		pause = max(pause, seconds(float64(len(a.askedAt))/maxAsksPerSecond))
	}
	return min(max(pause, minRetryPause), maxRetryPause)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 2*maxRetryPause.Seconds()) * float64(time.Second))
}
