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

// CapEvents is told of decisions that concern a whole workspace.
type CapEvents interface {
	LeadingCap(workspace string)
	ShareLent(workspace, leader string)
	ZoneOnOwnShare(workspace string, perSecond float64)
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
	r.Unused = min(max(r.Unused, 0), maxCount)
	r.Refused = min(max(r.Refused, 0), maxCount)
	switch r.Call {
	case CapAllowance:
		d.allot(now, r, reply)
	case CapAmount:
		d.divide(now, r, reply)
	case CapLend:
		reply(d.lend(now, r))
	case CapConfirm:
		reply(d.confirmFirst(now, r))
	default:
		reply(CapReply{})
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
		d.receiveConfirm(now, m, reply, replied)
	}
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
