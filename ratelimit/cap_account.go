package ratelimit

import (
	"slices"
	"time"
)

// Taken is what a request has taken of the cap of its workspace.
type Taken struct {
	Workspace string
	Count     int
	At        time.Time
	parts     []parcel // what it was taken from, empty without a cap
}

// Outcome is what became of a request for tokens. RetryAfter is 0 if it was granted.
type Outcome struct {
	Taken      Taken
	RetryAfter time.Duration
	Age        time.Duration // of the last reply of the allotter, 0 if there was none
}

// capAccount is what this host has of the cap of a workspace.
type capAccount struct {
	Allowance
	waiters     []*Waiter
	repliedAt   time.Time
	usedAt      time.Time
	turnAt      time.Time // when the amount is expected that the allotter has denied
	deniedLeast int       // that amount
	allotter    string    // peer address of the host that gave the last allowance
	unreported  int       // amount that was refused here and that the allotter does not know
	bookedUntil time.Time // when the tokens are available that refused callers were told of
}

// Waiter is a request that waits for its tokens.
type Waiter struct {
	count     int
	until     time.Time
	again     bool // see TakeAgain
	done      func(Outcome)
	isDecided bool
}

// Take takes the tokens of a request. done is called at once or, if the request waits for its tokens, later; the request may
// wait for patience. The result is nil if it does not wait.
func (d *Desk) Take(now time.Time, workspace string, count int, patience time.Duration, done func(Outcome)) *Waiter {
	return d.take(now, workspace, &Waiter{count: count, until: now.Add(patience), done: done})
}

// TakeAgain takes the tokens of a request that has given them back while it waited for a backend server. It has been admitted by the
// cap and goes before requests that have not.
func (d *Desk) TakeAgain(now time.Time, workspace string, count int, patience time.Duration, done func(Outcome)) *Waiter {
	return d.take(now, workspace, &Waiter{count: count, until: now.Add(patience), again: true, done: done})
}

func (d *Desk) take(now time.Time, workspace string, w *Waiter) *Waiter {
	c, capped := d.caps[workspace]
	if !capped {
		w.decide(Outcome{Taken: Taken{Workspace: workspace, Count: w.count, At: now}})
		return nil
	}
	a := d.accounts[workspace]
	if a == nil {
		a = &capAccount{Allowance: *NewAllowance(c.PerSecond, now)}
		a.spacing = 0
		d.accounts[workspace] = a
	}
	a.usedAt = now
	i := len(a.waiters)
	if w.again {
		for i = 0; i < len(a.waiters) && a.waiters[i].again; i++ {
		}
	}
	a.waiters = slices.Insert(a.waiters, i, w)
	d.settle(now, workspace, a)
	d.finish(now)
	if w.isDecided {
		return nil
	}
	return w
}

// settle grants the requests at the front of the queue, refuses those that can't be granted in time, and asks the allotter for
// what the others need.
func (d *Desk) settle(now time.Time, workspace string, a *capAccount) {
	for len(a.waiters) > 0 && a.Sendable(now) >= a.waiters[0].count {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		parts := a.Spend(now, w.count)
		d.granted += int64(w.count)
		w.decide(Outcome{Taken: Taken{Workspace: workspace, Count: w.count, At: now, parts: parts}})
	}
	if len(a.waiters) > 0 {
		d.ask(now, workspace, a)
	}
	ahead := time.Duration(0)
	kept := a.waiters[:0]
	var late []*Waiter
	for _, w := range a.waiters {
		if a.turnOf(now, w.count).Add(ahead).After(w.until) || !now.Before(w.until) {
			late = append(late, w)
			continue
		}
		kept = append(kept, w)
		ahead += span(w.count, a.spacing)
	}
	a.waiters = kept
	for _, w := range late {
		d.refuse(now, a, w)
	}
	d.schedule(now, workspace)
}

// turnOf returns when a request is expected to get its tokens.
func (a *capAccount) turnOf(now time.Time, count int) time.Time {
	if a.asking {
		return now
	}
	turn := a.turnAt.Add(-span(max(0, a.deniedLeast-count), a.spacing))
	if turn.Before(a.askAfter) {
		turn = a.askAfter
	}
	if turn.Before(now) {
		return now
	}
	return turn
}

// refuse refuses a request. Each caller is told a later time, so that they do not return together.
func (d *Desk) refuse(now time.Time, a *capAccount, w *Waiter) {
	d.refused += int64(w.count)
	a.unreported += w.count
	at := a.turnOf(now, w.count)
	if a.bookedUntil.After(at) {
		at = a.bookedUntil
	}
	spacing := a.spacing
	if spacing == 0 {
		spacing = seconds(1 / a.PerSecond) // not known, at least this
	}
	a.bookedUntil = minTime(at.Add(span(w.count, spacing)), now.Add(maxBooked))
	wait := at.Sub(now)
	wait += time.Duration(d.Random() * float64(minRetrySpread+wait/4))
	o := Outcome{RetryAfter: max(wait, minRetryPause)}
	if !a.repliedAt.IsZero() {
		o.Age = now.Sub(a.repliedAt)
	}
	w.decide(o)
}

// span returns the time in which an amount accrues, at most maxBooked.
func span(count int, spacing time.Duration) time.Duration {
	return time.Duration(min(float64(count)*float64(spacing), float64(maxBooked)))
}

func (w *Waiter) decide(o Outcome) {
	w.isDecided = true
	w.done(o)
}

// ask asks the allotter for what the waiting requests need, if it may be asked now.
func (d *Desk) ask(now time.Time, workspace string, a *capAccount) {
	if !a.MayAsk(now) {
		return
	}
	to := d.firstReachable(now, addressesOf(d.rankings.of(workspace)))
	if to == "" {
		a.Failed(now, noAllotterPause)
		return
	}
	until := now
	for _, w := range a.waiters {
		if w.until.After(until) {
			until = w.until
		}
	}
	held := a.Sendable(until)
	count := a.AskUntil(now, until, a.waiting())
	if count == 0 {
		return
	}
	least := max(1, a.waiters[0].count-held)
	unused := a.parcels.takeExpired(now)
	if to != a.allotter {
		unused = 0
	}
	refused := max(0, a.unreported)
	a.unreported = 0
	d.send(now, to, CapRequest{
		Call: CapAllowance, Workspace: workspace, Asker: d.Name, Count: max(count, least), Least: least, Unused: unused, Refused: refused,
		First:    a.waiters[0].again,
		Patience: max(0, until.Sub(now)-replyMargin),
	}, "")
}

func (a *capAccount) waiting() int {
	total := 0
	for _, w := range a.waiters {
		total += w.count
	}
	return total
}

func addressesOf(r *ranking) []string {
	addresses := make([]string, 0, deputies+1)
	for _, p := range r.allotters {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

func (d *Desk) receiveAllowance(now time.Time, m CapMessage, a *capAccount, reply CapReply, replied bool) {
	switch {
	case replied && reply.Uncapped:
		a.Receive(now, Reply{Count: m.Request.Count, ValidFor: capAllowanceTTL})
		a.repliedAt = now
	case replied:
		a.Receive(now, reply.Allowance)
		a.repliedAt = now
		if reply.Allowance.Count > 0 {
			a.allotter = m.To
		}
		a.denied(now, m.Request.Least, reply.Allowance)
	default:
		a.Failed(now, 0) // another allotter is asked
	}
	d.settle(now, m.Request.Workspace, a)
}

// denied records when an amount is expected that the allotter has not given, 0 if it has. Smaller amounts may be there earlier, so
// the allotter may be asked for them.
func (a *capAccount) denied(now time.Time, least int, reply Reply) {
	a.turnAt, a.deniedLeast = time.Time{}, 0
	if reply.Backlog > 0 { // 0 from an allotter of an earlier build, too
		a.bookedUntil = now.Add(min(reply.Backlog, maxBooked))
	}
	wait := reply.RetryAfter
	if wait == 0 {
		return
	}
	a.unreported -= least // the allotter has counted it
	a.deniedLeast = least
	a.turnAt = now.Add(min(wait, maxCapPause))
	a.askAfter = now.Add(minCapPause)
	if at := now.Add(wait); at.After(a.bookedUntil) {
		a.bookedUntil = at
	}
}

// Cancel removes a request that no longer waits, so that those behind it pass. It reports false if the request has been decided.
func (d *Desk) Cancel(now time.Time, workspace string, w *Waiter) bool {
	a := d.accounts[workspace]
	if a == nil {
		return false
	}
	for i, waiting := range a.waiters {
		if waiting == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			d.settle(now, workspace, a)
			d.finish(now)
			return true
		}
	}
	return false
}

// Return gives back what a request has taken that has not been sent to a backend server. What can no longer be used goes back to
// the allotter with the next request to it. It must be called at most once.
func (d *Desk) Return(now time.Time, t Taken) {
	a := d.accounts[t.Workspace]
	if a == nil || len(t.parts) == 0 {
		return
	}
	a.Return(now, t.parts)
	if !slices.ContainsFunc(t.parts, func(p parcel) bool { return now.Before(p.until) }) {
		return
	}
	d.granted -= int64(t.Count)
	d.settle(now, t.Workspace, a)
	d.finish(now)
}
