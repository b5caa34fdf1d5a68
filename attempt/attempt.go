// Package attempt runs one request on one backend server after the other until it is served or may not be sent again.
package attempt

import (
	"context"
	"slices"
	"time"

	"citronspread/routing"
)

// Result is how one send ended.
type Result int

// Results.
const (
	Whole       Result = iota // the whole answer was delivered
	Unsent                    // no byte reached a backend server
	NotRun                    // the backend server said that it did not run the request
	WrongServer               // another server answered at the address and did not run the request
	Moved                     // given up for a faster backend server, which the budget was asked for before
	MayHaveRun                // no usable answer came, and nothing of one was delivered
	BrokenOff                 // a part of the answer was delivered
	Final                     // an answer that no other backend server would better, or none may be asked
)

var resultNames = [...]string{"Whole", "Unsent", "NotRun", "WrongServer", "Moved", "MayHaveRun", "BrokenOff", "Final"}

// String returns the name of the result.
func (r Result) String() string { return resultNames[r] }

// Outcome tells the loop and the router how one send ended.
type Outcome struct {
	Result  Result
	Routing routing.Outcome
	Err     error // nil for Whole
}

// Place is the right to send the request to one backend server.
type Place interface {
	Backend() string
	Done(now time.Time, outcome routing.Outcome)
}

// Continuation says how a request may go on after a send that may have run.
type Continuation int

// Continuations.
const (
	Never   Continuation = iota // it may not be sent again
	Restart                     // from the start
	Resume                      // after what was delivered
)

// Edge is the side of the callers and backend servers that a request comes from and goes to.
type Edge interface {
	// Acquire waits for a place on a backend server.
	Acquire(ctx context.Context, p *Progress) (Place, error)
	// Send sends the request once and delivers what comes.
	Send(ctx context.Context, place Place, p *Progress) Outcome
	// Continuation says how the request may go on, and prepares that.
	Continuation(o Outcome, p *Progress) Continuation
	// Repeating is told of each repeat before it begins.
	Repeating(now time.Time, backend string, o Outcome, c Continuation)
}

// Budget limits repeats.
type Budget interface {
	Request(now time.Time)
	Spend(now time.Time, extra routing.Extra) bool
}

// Progress is what became of a request so far.
type Progress struct {
	Runs     int      // sends that may have run
	Arrivals int      // sends of which a byte may have reached a backend server
	Refusals int      // sends that backend servers refused
	Resuming bool     // the caller has a part of the answer, and the next send goes on after it
	Failed   []string // backend servers that failed the request
}

// Loop holds the limits of one request.
type Loop struct {
	Budget        Budget
	MaxRuns       int  // backend servers that may run the request
	MaxRefusals   int  // refusals by backend servers, 0 for no limit
	PayForRefusal bool // a repeat after a refusal comes out of the budget as well
	Now           func() time.Time
}

// Run sends the request until it is served or may not be sent again.
func (l *Loop) Run(ctx context.Context, e Edge) (Progress, error) {
	var p Progress
	l.Budget.Request(l.Now())
	for {
		place, err := e.Acquire(ctx, &p)
		if err != nil {
			return p, err
		}
		o := e.Send(ctx, place, &p)
		p.note(o)
		place.Done(l.Now(), o.Routing)
		if o.Result == Whole {
			return p, nil
		}
		c, again := l.mayRepeat(ctx, e, place.Backend(), o, &p)
		if !again {
			return p, o.Err
		}
		p.Resuming = p.Resuming || c == Resume
		e.Repeating(l.Now(), place.Backend(), o, c)
	}
}

func (p *Progress) note(o Outcome) {
	switch o.Result {
	case Unsent:
		return
	case NotRun, WrongServer:
		p.Refusals++
	default:
		p.Runs++
	}
	p.Arrivals++
}

// mayRepeat decides whether another send follows.
func (l *Loop) mayRepeat(ctx context.Context, e Edge, backend string, o Outcome, p *Progress) (Continuation, bool) {
	if ctx.Err() != nil || p.Runs >= l.MaxRuns || l.MaxRefusals > 0 && p.Refusals > l.MaxRefusals {
		return Never, false
	}
	switch o.Result {
	case Unsent:
		p.avoid(backend)
		return Restart, true
	case NotRun, WrongServer:
		return Restart, !l.PayForRefusal || l.Budget.Spend(l.Now(), routing.ExtraRetry)
	case Moved:
		p.avoid(backend)
		return e.Continuation(o, p), true
	case MayHaveRun, BrokenOff:
		p.avoid(backend)
		c := e.Continuation(o, p)
		return c, c != Never && l.Budget.Spend(l.Now(), extraOf(c))
	}
	return Never, false
}

func (p *Progress) avoid(backend string) {
	if !slices.Contains(p.Failed, backend) {
		p.Failed = append(p.Failed, backend)
	}
}

func extraOf(c Continuation) routing.Extra {
	if c == Resume {
		return routing.ExtraResume
	}
	return routing.ExtraRetry
}
