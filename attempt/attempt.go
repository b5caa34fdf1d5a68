// Package attempt sends a request to one backend server after another until it is served or must not be sent again.
package attempt

import (
	"context"
	"slices"
	"time"

	"citronspread/ratelimit"
	"citronspread/routing"
)

// Result is the result of one send.
type Result int

const (
	Complete    Result = iota // the complete response was delivered
	Unsent                    // no byte reached a backend server
	NotRun                    // the backend server responded that it did not run the request
	WrongServer               // another server responded at the address and did not run the request
	Moved                     // stopped to move to a faster backend server; the budget was already charged
	MayHaveRun                // no usable response arrived, and no part of one was delivered
	Interrupted               // only a part of the response was delivered
	Final                     // no other backend server would give a better response, or none may be tried
)

// resultNames holds the names in logs and metrics. They differ from the constants for Complete and Interrupted.
var resultNames = [...]string{"Whole", "Unsent", "NotRun", "WrongServer", "Moved", "MayHaveRun", "BrokenOff", "Final"}

func (r Result) String() string { return resultNames[r] }

// Outcome is what Transport.Send returns: the result for the loop and the outcome for the router.
type Outcome struct {
	Result  Result
	Routing routing.Outcome
	Err     error // nil for Complete
}

// Grant is the right to send the request to one backend server. Done must be called after the send.
type Grant interface {
	Backend() string
	Done(now time.Time, outcome routing.Outcome)
}

// Continuation is how a request may continue after a send that may have run or was moved.
type Continuation int

const (
	Never   Continuation = iota // it may not be sent again
	Restart                     // it may be sent again from the start
	Resume                      // it may continue after the delivered part of the response
)

// Transport connects a Loop to the caller of the request and to the backend servers.
type Transport interface {
	// Acquire waits for the right to send the request to a backend server.
	Acquire(ctx context.Context, p *Progress) (Grant, error)
	// Send sends the request once and delivers the response to the caller.
	Send(ctx context.Context, grant Grant, p *Progress) Outcome
	// Continuation returns how the request may continue, and prepares the next send.
	Continuation(o Outcome, p *Progress) Continuation
	// OnRepeat is called before each repeat.
	OnRepeat(now time.Time, backend string, o Outcome, c Continuation)
}

// Budget limits repeats to a share of the requests.
type Budget interface {
	Request(now time.Time)
	// Reserve takes a repeat from the budget if it allows one. The repeat counts until it is released, or long since sent.
	Reserve(now time.Time, extra routing.Extra) bool
	Send(now time.Time)      // a reserved repeat is sent now
	Unsend(sentAt time.Time) // it did not reach a backend server and is reserved again
	Release()                // a reserved repeat is not sent
}

// Progress counts the sends of a request so far and holds what the next send depends on.
type Progress struct {
	Runs             int      // sends that may have run
	PossibleArrivals int      // sends of which at least one byte may have reached a backend server
	Refusals         int      // sends for which a server responded that it did not run the request
	Resuming         bool     // the caller has received a part of the response, and the next send continues after it
	Failed           []string // backend servers on which the request failed

	Tokens ratelimit.Taken // what the request has taken of the usage cap of its workspace
}

// Loop sends a request and repeats it within limits.
type Loop struct {
	Budget         Budget
	MaxRuns        int  // maximum number of sends that may run the request
	MaxRefusals    int  // maximum number of repeats after refusals by backend servers, 0 for no limit
	ChargeRefusals bool // charge repeats after a refusal to the budget as well
	Now            func() time.Time
}

// Run sends the request until it is served or must not be sent again, and returns the error of the last send
// or of Acquire.
func (l *Loop) Run(ctx context.Context, transport Transport) (Progress, error) {
	var p Progress
	l.Budget.Request(l.Now())
	r := repeat{budget: l.Budget}
	defer r.release()
	for {
		grant, err := transport.Acquire(ctx, &p)
		if err != nil {
			return p, err
		}
		r.send(l.Now())
		o := transport.Send(ctx, grant, &p)
		r.resolve(o)
		p.record(o)
		grant.Done(l.Now(), o.Routing)
		if o.Result == Complete {
			return p, nil
		}
		c, again := l.mayRepeat(ctx, transport, grant.Backend(), o, &p, &r)
		if !again {
			return p, o.Err
		}
		p.Resuming = p.Resuming || c == Resume
		transport.OnRepeat(l.Now(), grant.Backend(), o, c)
	}
}

func (p *Progress) record(o Outcome) {
	switch o.Result {
	case Unsent:
		return
	case NotRun, WrongServer:
		p.Refusals++
	default:
		p.Runs++
	}
	p.PossibleArrivals++
}

// mayRepeat reports whether another send may follow, and how it continues the request. It charges the budget if needed.
func (l *Loop) mayRepeat(ctx context.Context, transport Transport, backend string, o Outcome, p *Progress, r *repeat) (Continuation, bool) {
	if ctx.Err() != nil || p.Runs >= l.MaxRuns || l.MaxRefusals > 0 && p.Refusals > l.MaxRefusals {
		return Never, false
	}
	switch o.Result {
	case Unsent:
		p.addFailed(backend)
		return Restart, true
	case NotRun, WrongServer:
		return Restart, !l.ChargeRefusals || r.reserve(l.Now(), routing.ExtraRetry)
	case Moved:
		p.addFailed(backend)
		return transport.Continuation(o, p), true
	case MayHaveRun, Interrupted:
		p.addFailed(backend)
		c := transport.Continuation(o, p)
		return c, c != Never && r.reserve(l.Now(), extraFor(c))
	}
	return Never, false
}

func (p *Progress) addFailed(backend string) {
	if !slices.Contains(p.Failed, backend) {
		p.Failed = append(p.Failed, backend)
	}
}

func extraFor(c Continuation) routing.Extra {
	if c == Resume {
		return routing.ExtraResume
	}
	return routing.ExtraRetry
}
