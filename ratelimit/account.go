package ratelimit

import "time"

const (
	// leaderlessShare is the part of a limit that all hosts together use without the leader. Whatever the leader gives
	// other hosts meanwhile comes on top of it.
	leaderlessShare = 0.25
	// leaderlessRetry is the time after which a host asks an unreachable leader again.
	leaderlessRetry = time.Second
	// leaderlessTTL is the time after which a host no longer counts as without a leader, if it has not tried to reach it since.
	leaderlessTTL = 2 * leaderlessRetry
	// prefetchWindow is the time for which a busy host asks for an allowance in advance.
	prefetchWindow = 100 * time.Millisecond
)

// Allowance holds the allowance of this host for one backend server or workspace.
type Allowance struct {
	PerSecond float64
	StatedAt  time.Time // when the backend server stated the limit

	parcels  parcels
	asking   bool
	askedAt  time.Time // when the request was sent that asking is about
	askAfter time.Time
	spacing  time.Duration
	used     usage

	leaderlessSince time.Time // when the leader was last found to be unreachable, zero if it is reachable
	credit          float64   // part of a request, which accumulates while the leader is unreachable
	creditAt        time.Time
	creditSpeed     float64 // per second
}

// NewAllowance returns an allowance of no requests, for a limit that was stated at a time.
func NewAllowance(perSecond float64, statedAt time.Time) *Allowance {
	return &Allowance{PerSecond: perSecond, StatedAt: statedAt, spacing: seconds(1 / max(perSecond, minPerSecond))}
}

// Sendable returns how many requests may be sent now, or which amount may be used.
func (a *Allowance) Sendable(now time.Time) int {
	a.accumulate(now)
	return int(a.credit) + a.parcels.total(now)
}

// Use records that a request is sent.
func (a *Allowance) Use(now time.Time) {
	switch {
	case a.parcels.total(now) > 0:
		a.Spend(now, 1)
		return
	case a.credit >= 1:
		a.credit--
	}
	a.used.add(now, 1)
}

// Spend uses an amount that Sendable covers, and returns the parts that it consists of.
func (a *Allowance) Spend(now time.Time, count int) []parcel {
	a.used.add(now, count)
	return a.parcels.take(now, count)
}

// Return gives back an amount that was spent but not used. Each part may be used for as long as before.
func (a *Allowance) Return(now time.Time, taken []parcel) {
	for _, p := range taken {
		a.parcels.add(now, p.count, p.until)
	}
}

// MayAsk reports whether the leader may be asked for an allowance now.
func (a *Allowance) MayAsk(now time.Time) bool { return !a.asking && !now.Before(a.askAfter) }

// IsAsking reports whether the leader was asked and has not replied.
func (a *Allowance) IsAsking() bool { return a.asking }

// Ask returns the amount that the leader must be asked for now, if requests that cost waiting together wait. The caller must
// report the reply with Receive, Unreachable or Failed.
func (a *Allowance) Ask(now time.Time, waiting int) int {
	return a.AskUntil(now, now, waiting)
}

// AskUntil is Ask for requests that may wait until a time. What can't be used until then does not count.
func (a *Allowance) AskUntil(now, until time.Time, waiting int) int {
	if !a.MayAsk(now) {
		return 0
	}
	waiting -= a.parcels.total(until)
	if waiting <= 0 {
		return 0
	}
	a.asking, a.askedAt = true, now
	return waiting + a.used.prefetch(now)
}

// Receive adds the allowance of a reply. It is valid from when the request for it was sent, so that it has ended for this host
// when it has ended for the leader, however long the reply took.
func (a *Allowance) Receive(now time.Time, reply Reply) {
	validFrom := now
	if a.asking {
		validFrom = a.askedAt.Add(reply.Held)
	}
	a.asking, a.leaderlessSince, a.credit = false, time.Time{}, 0
	a.parcels.add(now, reply.Count, validFrom.Add(reply.ValidFor))
	a.askAfter, a.spacing = now.Add(reply.RetryAfter), reply.Spacing
}

// Failed records that a request was not answered. The next one may be sent after a pause.
func (a *Allowance) Failed(now time.Time, pause time.Duration) {
	a.asking, a.askAfter = false, now.Add(pause)
}

// Unreachable records that the leader has not replied. Until it does, the host uses an equal part of leaderlessShare of the
// limit. The random number below 1 makes hosts that lose the leader at the same time send at different times.
func (a *Allowance) Unreachable(now time.Time, hosts int, random float64) {
	a.accumulate(now)
	if a.leaderlessSince.IsZero() {
		a.credit, a.creditAt = random, now
	}
	a.creditSpeed = max(a.PerSecond, minPerSecond) * leaderlessShare / float64(max(hosts, 1))
	a.asking, a.leaderlessSince = false, now
	a.askAfter, a.spacing = now.Add(leaderlessRetry), seconds(1/a.creditSpeed)
}

// NextAt returns when this host expects to send its next request, and the expected time between further ones.
func (a *Allowance) NextAt(now time.Time) (at time.Time, spacing time.Duration) {
	switch {
	case a.Sendable(now) > 0 || a.asking || a.leaderlessSince.IsZero() && !now.Before(a.askAfter):
		return now, a.spacing
	case !a.leaderlessSince.IsZero():
		return now.Add(seconds((1 - a.credit) / a.creditSpeed)), a.spacing
	}
	return a.askAfter, a.spacing
}

func (a *Allowance) accumulate(now time.Time) {
	if a.leaderlessSince.IsZero() {
		return
	}
	if now.Sub(a.leaderlessSince) > leaderlessTTL {
		a.leaderlessSince, a.credit = time.Time{}, 0
		return
	}
	a.credit = min(1, a.credit+a.creditSpeed*now.Sub(a.creditAt).Seconds())
	a.creditAt = now
}

// usage measures what requests have used.
type usage struct {
	amount   rate
	requests rate
}

func (u *usage) add(now time.Time, count int) {
	u.amount.add(now, count)
	u.requests.add(now, 1)
}

// prefetch returns the amount that is expected to be used within prefetchWindow, 0 if no request is expected.
func (u *usage) prefetch(now time.Time) int {
	if u.requests.perSecond(now)*prefetchWindow.Seconds() < 1 {
		return 0
	}
	return int(u.amount.perSecond(now) * prefetchWindow.Seconds())
}

// rate measures an amount per second, by adding up those of the current and of the previous second.
type rate struct {
	second            int64
	current, previous int
}

func (r *rate) add(now time.Time, count int) {
	r.advance(now)
	r.current += count
}

func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	return float64(r.previous)
}

func (r *rate) advance(now time.Time) {
	switch second := now.Unix(); {
	case second == r.second:
	case second == r.second+1:
		r.previous, r.current, r.second = r.current, 0, second
	default:
		r.previous, r.current, r.second = 0, 0, second
	}
}
