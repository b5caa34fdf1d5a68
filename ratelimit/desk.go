package ratelimit

import (
	"maps"
	"slices"
	"time"

	"citronspread/model"
)

const (
	// minUnreachablePause is how long a host is not called that did not reply. The pause doubles with each further time, up to
	// maxUnreachablePause.
	minUnreachablePause = 250 * time.Millisecond
	maxUnreachablePause = 2 * time.Second
	// noAllotterPause is the pause of a host that reaches no allotter.
	noAllotterPause = 200 * time.Millisecond
	// maxCount bounds the amounts in requests of other hosts.
	maxCount = 1 << 40
	// maxPatience bounds the time that the reply to another host waits.
	maxPatience = 250 * time.Millisecond
	// maxBooked bounds the times that refused callers are told.
	maxBooked = 10 * time.Second
	// minRetrySpread is the least time over which refused callers are spread.
	minRetrySpread = 100 * time.Millisecond
)

// CapCall is what one host asks of another one.
type CapCall string

const (
	CapAllowance CapCall = "Allowance" // of an allotter, for the requests of a host
	CapAmount    CapCall = "Amount"    // of the leader of a pool, for a zone
	CapLend      CapCall = "Lend"      // of an allotter, the share of its zone for the pool of the sender
	CapConfirm   CapCall = "Confirm"   // whether the receiver takes the sender for the allotter
)

// CapRequest is a request of one host to another one about the cap of a workspace.
type CapRequest struct {
	Call      CapCall
	Workspace string
	From      string // peer address of the sender
	Asker     string // name of the sender, or its zone in a CapAmount
	Count     int
	Least     int           // see Request
	Owed      int           // in a CapLend: part of this share in the debt of the pool
	Patience  time.Duration // how long the reply may wait until there is enough
}

// CapReply is the reply to a CapRequest.
type CapReply struct {
	Allowance Reply
	Uncapped  bool // the receiver knows no cap of the workspace
	Loan      Loan
	Lent      bool
	First     bool // the sender is the allotter in the view of the receiver
}

// CapMessage is a request that must be sent to another host. Desk.Receive gets the reply.
type CapMessage struct {
	To      string // peer address
	Request CapRequest
	zone    string    // of the receiver, in a CapLend
	sentAt  time.Time // tells a reply from that to an earlier request
}

// CapEvents is told of decisions that concern a whole workspace.
type CapEvents interface {
	LeadingCap(workspace string)
	ShareLent(workspace, leader string)
	ZoneOnOwnShare(workspace string, perSecond float64)
}

// Taken is what a request has taken of the cap of its workspace.
type Taken struct {
	Workspace string
	Count     int
	At        time.Time
	until     time.Time // when it can no longer be given back
}

// Outcome is what became of a request for tokens. RetryAfter is 0 if it was granted.
type Outcome struct {
	Taken      Taken
	RetryAfter time.Duration
	Age        time.Duration // of the last reply of the allotter, 0 if there was none
}

// Desk decides for one host which requests the caps of workspaces allow, and has this host's part in dividing them. It is not
// safe for concurrent use. After each call, the messages of Messages must be sent.
type Desk struct {
	Name      string
	Zone      string
	Address   string // peer address
	Tolerance Tolerance
	Events    CapEvents
	Random    func() float64 // below 1
	// IsFresh reports whether this host knows by itself that the others count it as live: its view of the hosts is at most 3.5 s
	// old, and it has renewed its lease so recently that this has not ended.
	IsFresh func(now time.Time) bool

	rankings      rankings
	caps          map[string]Cap
	accounts      map[string]*capAccount
	shares        map[string]*Share
	pools         map[string]*Pool
	confirmations map[string]*confirmation
	unreachable   map[string]unreachable // by peer address
	wake          map[string]time.Time   // by workspace: when Tick must be called for it
	messages      []CapMessage
	completed     []completion
	granted       int64
	refused       int64
}

// unreachable is when a host that did not reply may be called again.
type unreachable struct {
	until time.Time
	pause time.Duration
}

// completion is the reply of this host to itself.
type completion struct {
	message CapMessage
	reply   CapReply
}

// capAccount is what this host has of the cap of a workspace.
type capAccount struct {
	Allowance
	waiters     []*Waiter
	repliedAt   time.Time
	usedAt      time.Time
	turnAt      time.Time // when the amount is expected that the allotter has denied
	deniedLeast int       // that amount
	bookedUntil time.Time // when the tokens are available that refused callers were told of
}

// Waiter is a request that waits for its tokens.
type Waiter struct {
	count     int
	until     time.Time
	done      func(Outcome)
	isDecided bool
}

// Init must be called before the first use.
func (d *Desk) Init() {
	d.accounts, d.shares, d.pools = make(map[string]*capAccount), make(map[string]*Share), make(map[string]*Pool)
	d.confirmations, d.unreachable = make(map[string]*confirmation), make(map[string]unreachable)
	d.wake = make(map[string]time.Time)
	d.rankings.self = model.Peer{Name: d.Name, Zone: d.Zone, Address: d.Address}
	d.rankings.byWorkspace = make(map[string]*ranking)
}

// SetView replaces what is known of the hosts.
func (d *Desk) SetView(now time.Time, v HostView) {
	d.rankings.setView(now, v)
	for _, workspace := range slices.Sorted(maps.Keys(d.shares)) {
		s := d.shares[workspace]
		if c, capped := d.caps[workspace]; capped {
			s.SetTerms(now, d.termsOf(c))
			d.settleShare(now, workspace, s)
		}
	}
	d.finish(now)
}

func (d *Desk) termsOf(c Cap) Loan { return d.Tolerance.shareOf(c, d.rankings.view.Zones) }

// SetCaps replaces the caps. Requests that wait are decided again.
func (d *Desk) SetCaps(now time.Time, caps map[string]Cap) {
	d.caps = caps
	for _, workspace := range slices.Sorted(maps.Keys(d.shares)) {
		s := d.shares[workspace]
		c, capped := caps[workspace]
		if !capped {
			s.grantAll(now)
			delete(d.shares, workspace)
			continue
		}
		s.SetTerms(now, d.termsOf(c))
		d.schedule(now, workspace)
	}
	for _, workspace := range slices.Sorted(maps.Keys(d.accounts)) {
		a := d.accounts[workspace]
		c, capped := caps[workspace]
		if capped && c.PerSecond == a.PerSecond {
			continue
		}
		a.PerSecond, a.askAfter, a.turnAt, a.bookedUntil = c.PerSecond, time.Time{}, time.Time{}, time.Time{}
		if !capped {
			a.asking = false
			a.Receive(now, Reply{Count: a.waiting(), ValidFor: capAllowanceTTL})
			d.settle(now, workspace, a)
			delete(d.accounts, workspace)
			continue
		}
		d.settle(now, workspace, a)
	}
	d.finish(now)
}

// Take takes the tokens of a request. done is called at once or, if the request waits for its tokens, later; the request may
// wait for patience. The result is nil if it does not wait.
func (d *Desk) Take(now time.Time, workspace string, count int, patience time.Duration, done func(Outcome)) *Waiter {
	c, capped := d.caps[workspace]
	if !capped {
		done(Outcome{Taken: Taken{Workspace: workspace, Count: count, At: now}})
		return nil
	}
	a := d.accounts[workspace]
	if a == nil {
		a = &capAccount{Allowance: *NewAllowance(c.PerSecond, now)}
		a.spacing = 0
		d.accounts[workspace] = a
	}
	a.usedAt = now
	w := &Waiter{count: count, until: now.Add(patience), done: done}
	a.waiters = append(a.waiters, w)
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
		until := a.Spend(now, w.count)
		d.granted += int64(w.count)
		w.decide(Outcome{Taken: Taken{Workspace: workspace, Count: w.count, At: now, until: until}})
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
	d.send(now, to, CapRequest{
		Call: CapAllowance, Workspace: workspace, Asker: d.Name, Count: max(count, least), Least: least,
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

func (d *Desk) firstReachable(now time.Time, addresses []string) string {
	for _, address := range addresses {
		if !now.Before(d.unreachable[address].until) {
			return address
		}
	}
	return ""
}

func (d *Desk) send(now time.Time, to string, r CapRequest, zone string) {
	r.From = d.Address
	d.messages = append(d.messages, CapMessage{To: to, Request: r, zone: zone, sentAt: now})
}

// Messages returns the messages that must be sent.
func (d *Desk) Messages() []CapMessage {
	messages := d.messages
	d.messages = nil
	return messages
}

// finish handles the messages of this host to itself.
func (d *Desk) finish(now time.Time) {
	for {
		i := slices.IndexFunc(d.messages, func(m CapMessage) bool { return m.To == d.Address })
		if i >= 0 {
			m := d.messages[i]
			d.messages = slices.Delete(d.messages, i, i+1)
			d.serve(now, m.Request, func(reply CapReply) { d.completed = append(d.completed, completion{m, reply}) })
			continue
		}
		if len(d.completed) == 0 {
			return
		}
		c := d.completed[0]
		d.completed = d.completed[1:]
		d.receive(now, c.message, c.reply, true)
	}
}

// Serve handles a request of another host. reply is called at once or later, within the patience of the request.
func (d *Desk) Serve(now time.Time, r CapRequest, reply func(CapReply)) {
	d.serve(now, r, reply)
	d.finish(now)
}

func (d *Desk) serve(now time.Time, r CapRequest, reply func(CapReply)) {
	r.Count = min(max(r.Count, 0), maxCount)
	r.Least = min(max(r.Least, 0), r.Count)
	r.Owed = min(max(r.Owed, 0), maxCount)
	switch r.Call {
	case CapAllowance:
		d.allot(now, r, reply)
	case CapAmount:
		d.divide(now, r, reply)
	case CapLend:
		reply(d.lend(now, r))
	case CapConfirm:
		allotters := d.rankings.of(r.Workspace).allotters
		reply(CapReply{First: len(allotters) > 0 && allotters[0].Name == r.Asker})
	default:
		reply(CapReply{})
	}
}

// allot gives a host an allowance as the allotter of the zone, or as the deputy of one that does not reply. A deputy gives what
// it gets from a pool.
func (d *Desk) allot(now time.Time, r CapRequest, reply func(CapReply)) {
	if _, capped := d.caps[r.Workspace]; !capped {
		reply(CapReply{Uncapped: true})
		return
	}
	s, _ := d.share(now, r.Workspace)
	s.Take(now, r.request(), now.Add(r.patience()), func(a Reply) { reply(CapReply{Allowance: a}) })
	d.settleShare(now, r.Workspace, s)
}

func (r CapRequest) request() Request {
	return Request{Host: r.Asker, Count: r.Count, Least: r.Least, Queued: true}
}

func (r CapRequest) patience() time.Duration { return min(max(0, r.Patience), maxPatience) }

// settleShare replies to the hosts that wait for an allowance, and asks the pool for what the zone needs beyond what it has.
func (d *Desk) settleShare(now time.Time, workspace string, s *Share) {
	_, mayUse := d.share(now, workspace)
	s.Settle(now, mayUse)
	if count, least, patience := s.Wanted(now, mayUse); count > 0 {
		leader := d.firstReachable(now, d.rankings.of(workspace).leaders)
		if leader == "" {
			d.onOwnShare(now, workspace, s)
			s.Settle(now, mayUse)
		} else {
			d.send(now, leader, CapRequest{Call: CapAmount, Workspace: workspace, Asker: d.Zone, Count: count, Least: least, Patience: patience}, "")
		}
	}
	d.schedule(now, workspace)
}

func (d *Desk) onOwnShare(now time.Time, workspace string, s *Share) {
	if s.Failed(now, maxPoolPause) {
		d.Events.ZoneOnOwnShare(workspace, s.terms.PerSecond)
	}
}

// schedule records when Tick must be called for a workspace.
func (d *Desk) schedule(now time.Time, workspace string) {
	at := time.Time{}
	earliest := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if a := d.accounts[workspace]; a != nil && len(a.waiters) > 0 {
		for _, w := range a.waiters {
			earliest(w.until)
		}
		if !a.asking {
			earliest(a.askAfter)
		}
	}
	if s := d.shares[workspace]; s != nil {
		earliest(s.wakeAt(now))
	}
	if p := d.pools[workspace]; p != nil {
		earliest(p.wakeAt(now))
	}
	if at.IsZero() {
		delete(d.wake, workspace)
		return
	}
	d.wake[workspace] = at
}

// WakeAt returns when Tick must be called, zero for not at all.
func (d *Desk) WakeAt() (first time.Time) {
	for _, at := range d.wake {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// Tick continues with what is due.
func (d *Desk) Tick(now time.Time) {
	var due []string
	for workspace, at := range d.wake {
		if !now.Before(at) {
			due = append(due, workspace)
		}
	}
	slices.Sort(due)
	for _, workspace := range due {
		if p := d.pools[workspace]; p != nil {
			d.settlePool(now, workspace, p)
		}
		if s := d.shares[workspace]; s != nil {
			d.settleShare(now, workspace, s)
		}
		if a := d.accounts[workspace]; a != nil {
			d.settle(now, workspace, a)
		}
		d.schedule(now, workspace)
	}
	d.finish(now)
}

// share returns the share of the zone in a cap, and whether this host may use it.
func (d *Desk) share(now time.Time, workspace string) (s *Share, mayUse bool) {
	if s = d.shares[workspace]; s == nil {
		s = NewShare(now, d.termsOf(d.caps[workspace]))
		d.shares[workspace] = s
	}
	r := d.rankings.of(workspace)
	mayUse, isVoid := d.mayUseShare(now, workspace, r)
	switch {
	case mayUse:
		s.Entitle(now, r.firstSince, r.handoverPause())
	case isVoid:
		s.Void()
	}
	return s, mayUse
}

// mayUseShare reports whether this host is the allotter of its zone for the workspace and no other host can still be, and
// whether another one may be. It asks other hosts if this host does not know it by itself.
func (d *Desk) mayUseShare(now time.Time, workspace string, r *ranking) (mayUse, isVoid bool) {
	if !r.isFirst {
		return false, true
	}
	if !r.isOnly() && (now.Sub(r.firstSince) < allotterPause || !d.IsFresh(now)) {
		c := d.confirm(now, workspace, r)
		isVoid = c.no > 0 && !c.isValid(now)
	}
	return d.isEntitled(now, workspace, r), isVoid
}

// isEntitled reports whether this host may use the share of its zone, as far as it knows now.
func (d *Desk) isEntitled(now time.Time, workspace string, r *ranking) bool {
	since, c := now.Sub(r.firstSince), d.confirmations[workspace]
	switch {
	case !r.isFirst:
		return false
	case r.isOnly():
		return since >= r.handoverPause()
	case since >= allotterPause && d.IsFresh(now):
		return true
	case c == nil || !c.isValid(now):
		return false
	}
	return since >= allotterPause || !c.fullSince.IsZero() && now.Sub(c.fullSince) >= confirmedPause
}

// confirm asks the hosts that rank next whether this host is the allotter, unless they have just been asked.
func (d *Desk) confirm(now time.Time, workspace string, r *ranking) *confirmation {
	c := d.confirmations[workspace]
	if c == nil {
		c = &confirmation{}
		d.confirmations[workspace] = c
	}
	if c.pending > 0 || now.Sub(c.askedAt) < confirmInterval {
		return c
	}
	*c = confirmation{askedAt: now, okAt: c.okAt, fullSince: c.fullSince}
	for _, p := range r.allotters[1:] {
		c.pending++
		d.send(now, p.Address, CapRequest{Call: CapConfirm, Workspace: workspace, Asker: d.Name}, "")
	}
	return c
}

// divide gives the allotter of a zone an amount as the leader of the pool.
func (d *Desk) divide(now time.Time, r CapRequest, reply func(CapReply)) {
	p := d.pools[r.Workspace]
	if p == nil {
		p = NewPool(now)
		d.pools[r.Workspace] = p
		d.Events.LeadingCap(r.Workspace)
	}
	p.Take(now, r.request(), now.Add(r.patience()), func(a Reply) { reply(CapReply{Allowance: a}) })
	d.settlePool(now, r.Workspace, p)
}

// settlePool replies to the allotters that wait for an amount, and requests the shares that are due.
func (d *Desk) settlePool(now time.Time, workspace string, p *Pool) {
	p.Settle(now)
	if p.isUsed(now) {
		d.borrow(now, workspace, p)
	}
	d.schedule(now, workspace)
}

// borrow requests the shares of the zones that are due.
func (d *Desk) borrow(now time.Time, workspace string, p *Pool) {
	byZone := d.rankings.of(workspace).byZone
	isReachable := func(zone string) bool { return !now.Before(d.unreachable[byZone[zone]].until) }
	owed := p.Owed(now)
	for _, zone := range p.Due(now, slices.Sorted(maps.Keys(byZone)), isReachable) {
		d.send(now, byZone[zone], CapRequest{Call: CapLend, Workspace: workspace, Asker: d.Name, Owed: owed}, zone)
	}
}

// lend lends the share of this zone.
func (d *Desk) lend(now time.Time, r CapRequest) CapReply {
	if _, capped := d.caps[r.Workspace]; !capped {
		return CapReply{}
	}
	s, mayUse := d.share(now, r.Workspace)
	if !mayUse {
		return CapReply{}
	}
	wasLent := s.IsLent(now)
	if !s.mayLendTo(now, r.From, d.rankings.of(r.Workspace).precedes) {
		return CapReply{}
	}
	terms, lent := s.Lend(now, r.From, r.Owed)
	if lent && !wasLent {
		d.Events.ShareLent(r.Workspace, r.From)
	}
	return CapReply{Loan: terms, Lent: lent}
}

// Receive handles the reply to a message. replied is false if there was none.
func (d *Desk) Receive(now time.Time, m CapMessage, reply CapReply, replied bool) {
	d.receive(now, m, reply, replied)
	d.finish(now)
}

func (d *Desk) receive(now time.Time, m CapMessage, reply CapReply, replied bool) {
	if replied {
		delete(d.unreachable, m.To)
	} else {
		pause := min(max(minUnreachablePause, 2*d.unreachable[m.To].pause), maxUnreachablePause)
		d.unreachable[m.To] = unreachable{until: now.Add(pause), pause: pause}
	}
	workspace := m.Request.Workspace
	switch m.Request.Call {
	case CapAllowance:
		if a := d.accounts[workspace]; a != nil && a.askedAt.Equal(m.sentAt) {
			d.receiveAllowance(now, m, a, reply, replied)
		}
	case CapAmount:
		if s := d.shares[workspace]; s != nil && s.requestedAt.Equal(m.sentAt) {
			d.receiveAmount(now, workspace, s, reply, replied)
		}
	case CapLend:
		p := d.pools[workspace]
		switch {
		case p == nil || !p.awaits(m.zone, m.sentAt):
			return
		case replied && reply.Lent:
			p.Lent(now, m.zone, reply.Loan)
		default:
			p.NotLent(now, m.zone)
		}
		d.settlePool(now, workspace, p)
	case CapConfirm:
		if c := d.confirmations[workspace]; c != nil && c.askedAt.Equal(m.sentAt) {
			c.answered(reply.First, !replied)
			if s := d.shares[workspace]; s != nil {
				d.settleShare(now, workspace, s)
			}
		}
	}
}

func (d *Desk) receiveAllowance(now time.Time, m CapMessage, a *capAccount, reply CapReply, replied bool) {
	switch {
	case replied && reply.Uncapped:
		a.Receive(now, Reply{Count: m.Request.Count, ValidFor: capAllowanceTTL})
		a.repliedAt = now
	case replied:
		a.Receive(now, reply.Allowance)
		a.repliedAt = now
		a.denied(now, m.Request.Least, reply.Allowance.RetryAfter)
	default:
		a.Failed(now, 0) // another allotter is asked
	}
	d.settle(now, m.Request.Workspace, a)
}

// denied records when an amount is expected that the allotter has not given, 0 if it has. Smaller amounts may be there earlier, so
// the allotter may be asked for them.
func (a *capAccount) denied(now time.Time, least int, wait time.Duration) {
	a.turnAt, a.deniedLeast = time.Time{}, 0
	if wait == 0 {
		return
	}
	a.deniedLeast = least
	a.turnAt = now.Add(min(wait, maxCapPause))
	a.askAfter = now.Add(minCapPause)
	if at := now.Add(wait); at.After(a.bookedUntil) {
		a.bookedUntil = at
	}
}

func (d *Desk) receiveAmount(now time.Time, workspace string, s *Share, reply CapReply, replied bool) {
	switch {
	case replied:
		s.Receive(now, reply.Allowance)
	case d.firstReachable(now, d.rankings.of(workspace).leaders) != "":
		s.Retry(now)
	default:
		d.onOwnShare(now, workspace, s)
	}
	d.settleShare(now, workspace, s)
}

// Cancel removes a request that no longer waits. It reports false if the request has been decided.
func (d *Desk) Cancel(workspace string, w *Waiter) bool {
	a := d.accounts[workspace]
	if a == nil {
		return false
	}
	for i, waiting := range a.waiters {
		if waiting == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Return gives back what a request has taken that has not been sent to a backend server, if it can still be used. It must be
// called at most once.
func (d *Desk) Return(now time.Time, t Taken) {
	a := d.accounts[t.Workspace]
	if a == nil || !now.Before(t.until) {
		return
	}
	a.Return(now, t.Count, t.until)
	d.granted -= int64(t.Count)
	d.settle(now, t.Workspace, a)
	d.finish(now)
}

// accountTTL is how long the account of a workspace without requests is kept.
const accountTTL = 10 * time.Second

// Expire removes what is no longer used.
func (d *Desk) Expire(now time.Time) {
	maps.DeleteFunc(d.accounts, func(_ string, a *capAccount) bool {
		return len(a.waiters) == 0 && !a.asking && now.Sub(a.usedAt) > accountTTL
	})
	maps.DeleteFunc(d.shares, func(_ string, s *Share) bool { return s.IsIdle(now) })
	maps.DeleteFunc(d.pools, func(_ string, p *Pool) bool { return p.IsIdle(now) })
	maps.DeleteFunc(d.confirmations, func(_ string, c *confirmation) bool { return c.pending == 0 && now.Sub(c.askedAt) > accountTTL })
	maps.DeleteFunc(d.unreachable, func(_ string, u unreachable) bool { return now.Sub(u.until) > accountTTL })
	maps.DeleteFunc(d.rankings.byWorkspace, func(workspace string, _ *ranking) bool {
		return d.accounts[workspace] == nil && d.shares[workspace] == nil && d.pools[workspace] == nil
	})
}

// CapState is what gauges show of a Desk.
type CapState struct {
	Capped    int   // workspaces
	Granted   int64 // tokens, or requests if the cap counts these
	Refused   int64
	OwnShares int // zones on their own share: workspaces for which this host is the allotter and reaches no pool
}

// ShareState describes the part of this host in dividing the cap of a workspace.
type ShareState struct {
	Workspace string
	Cap       Cap
	MayUse    bool    // this host may use the share of its zone
	LentTo    string  // peer address of the leader that has the share, empty if it is not lent
	Level     float64 // of the share, negative for a debt
	Amounts   int     // from a pool
	Alone     bool    // no pool is reached
	Pooled    int     // zones whose shares this host has as the leader of the pool
	PoolLevel float64
	Waiting   int // requests of callers that wait at this host for their tokens
}

// Shares returns the state of the workspaces that are in use, sorted by name.
func (d *Desk) Shares(now time.Time) []ShareState {
	byName := make(map[string]ShareState)
	for workspace, a := range d.accounts {
		byName[workspace] = ShareState{Waiting: len(a.waiters)}
	}
	for workspace, s := range d.shares {
		state := byName[workspace]
		s.refill(now)
		state.MayUse, state.Level, state.Amounts, state.Alone = s.mayUse, s.own.level, s.amounts.total(now), s.isAlone
		if s.IsLent(now) {
			state.LentTo = s.lentTo
		}
		byName[workspace] = state
	}
	for workspace, p := range d.pools {
		state := byName[workspace]
		p.refill(now)
		state.Pooled, state.PoolLevel = p.Zones(now), p.level
		byName[workspace] = state
	}
	states := make([]ShareState, 0, len(byName))
	for _, workspace := range slices.Sorted(maps.Keys(byName)) {
		state := byName[workspace]
		state.Workspace, state.Cap = workspace, d.caps[workspace]
		states = append(states, state)
	}
	return states
}

// State returns what gauges show.
func (d *Desk) State() CapState {
	s := CapState{Capped: len(d.caps), Granted: d.granted, Refused: d.refused}
	for _, share := range d.shares {
		if share.isAlone {
			s.OwnShares++
		}
	}
	return s
}
