package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/attempt"
	"citronspread/model"
	"citronspread/ratelimit"
)

const (
	// streamTokenWait and tokenWait are how long a stream and another request may wait for the tokens that they need of the cap of
	// their workspace. The start of a stream takes longer anyway.
	streamTokenWait = 250 * time.Millisecond
	tokenWait       = 100 * time.Millisecond
	// holdWait is how long a request that waits for a backend server keeps its tokens. Other requests of this host can use them for
	// about 0.2 s after that; a request that waits for longer would let them expire.
	holdWait = 10 * time.Millisecond
	// capCallTimeout is how long the reply to a call about a cap may take beyond the time that it waits for tokens.
	capCallTimeout = 300 * time.Millisecond
	// maxCapViewAge is the highest age of this host's view of the other hosts at which it is up to date for dividing caps. Replies of
	// a relay without news are up to 2.7 s old before the next one arrives: watchWait and watchDelay, and the same for the follower.
	maxCapViewAge = 3500 * time.Millisecond
	// capViewInterval is the longest time between two updates of what the desk knows of the other hosts.
	capViewInterval = time.Second
	// leftZoneTTL is how long a zone counts among those that share the caps when all of its hosts have left: longer than a host
	// takes to stop.
	leftZoneTTL = time.Minute
)

// defaultCapTolerance applies if the platform states none.
var defaultCapTolerance = ratelimit.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 11_000}

// CapError reports that a request is beyond the usage cap of its workspace. It has not run.
type CapError struct {
	Workspace  string
	Tokens     int // or 1 if the cap counts requests
	Cap        model.UsageCap
	Version    int64         // of the desired state
	RetryAfter time.Duration // until the tokens are expected
}

func (e *CapError) Error() string {
	return fmt.Sprintf("gateway: %d of workspace %s are beyond its cap of %g a second, expected in %s", e.Tokens, e.Workspace, e.Cap.PerSecond, e.RetryAfter)
}

// capDesk connects the desk for the caps of workspaces with the other hosts and the requests of this one.
type capDesk struct {
	host *Host

	mu    sync.Mutex
	desk  *ratelimit.Desk
	timer *time.Timer // calls tick, nil before it is first needed
	dueAt time.Time   // when it does

	completeAt time.Time // as Host.viewCompleteAt, of the view that the desk has
	renewedAt  time.Time // of this host's lease

	// The fields below are used by the control thread only.
	live      []model.Peer // as of the last update of the view
	counts    bool
	revision  int64 // of this host's registration
	updatedAt time.Time
}

func newCapDesk(h *Host) *capDesk {
	tolerance := h.CapTolerance
	if tolerance == (ratelimit.Tolerance{}) {
		tolerance = defaultCapTolerance
	}
	c := &capDesk{host: h, desk: &ratelimit.Desk{
		Name: h.Name, Zone: h.Zone, Address: h.PeerAddress, Tolerance: tolerance, Events: capEvents{host: h}, Random: rand.Float64,
	}}
	c.desk.IsFresh = func(now time.Time) bool {
		return now.Sub(c.completeAt) <= maxCapViewAge && now.Sub(c.renewedAt) <= maxLeaderRenewalAge
	}
	c.desk.Init()
	return c
}

// capEvents logs the decisions that concern a whole workspace.
type capEvents struct{ host *Host }

func (e capEvents) LeadingCap(workspace string) {
	e.host.Log.Info("leading cap", zap.String("Workspace", workspace))
}

func (e capEvents) ShareLent(workspace, leader string) {
	e.host.Log.Info("share lent", zap.String("Workspace", workspace), zap.String("Leader", leader))
}

func (e capEvents) ZoneOnOwnShare(workspace string, perSecond float64) {
	e.host.Log.Info("zone on its own share", zap.String("Workspace", workspace), zap.String("Zone", e.host.Zone), zap.Float64("PerSecond", perSecond))
}

// do lets the desk decide something, and sends the messages that follow from it.
func (c *capDesk) do(decide func(now time.Time, d *ratelimit.Desk)) {
	c.mu.Lock()
	now := c.host.Now()
	decide(now, c.desk)
	messages := c.desk.Messages()
	c.schedule(now)
	c.mu.Unlock()
	for _, m := range messages {
		c.host.spawn(func(ctx context.Context) { c.send(ctx, m) })
	}
}

// schedule sets the timer. The caller holds the mutex.
func (c *capDesk) schedule(now time.Time) {
	at := c.desk.WakeAt()
	switch {
	case at.IsZero() || c.host.ctx.Err() != nil:
		return
	case c.timer == nil:
		c.timer = time.AfterFunc(max(time.Millisecond, at.Sub(now)), c.tick)
	case !c.dueAt.After(now) || at.Before(c.dueAt):
		c.timer.Reset(max(time.Millisecond, at.Sub(now)))
	default:
		return
	}
	c.dueAt = at
}

func (c *capDesk) tick() {
	c.do(func(now time.Time, d *ratelimit.Desk) {
		c.dueAt = time.Time{}
		d.Tick(now)
	})
}

// send sends a message to another host and passes on its reply.
func (c *capDesk) send(ctx context.Context, m ratelimit.CapMessage) {
	ctx, cancel := context.WithTimeout(ctx, m.Request.Patience+capCallTimeout)
	defer cancel()
	c.host.Metrics.CountCapCall(string(m.Request.Call))
	reply, err := c.host.Peers.Cap(ctx, m.To, &m.Request)
	if err != nil {
		c.host.Log.Info("no reply about a cap", zap.String("Call", string(m.Request.Call)), zap.String("Workspace", m.Request.Workspace), zap.String("Peer", m.To), zap.Error(err))
		reply = &ratelimit.CapReply{}
	}
	c.do(func(now time.Time, d *ratelimit.Desk) { d.Receive(now, m, *reply, err == nil) })
}

// errNoDesiredState is the reply of a host that does not know which workspaces have caps. Another host is asked.
var errNoDesiredState = errors.New("gateway: no desired state yet")

// Cap handles a request about the cap of a workspace.
func (p *platformHandler) Cap(ctx context.Context, request *ratelimit.CapRequest) (*ratelimit.CapReply, error) {
	if p.host.routes.Load() == nil {
		return nil, errNoDesiredState
	}
	replied := make(chan ratelimit.CapReply, 1)
	p.host.caps.do(func(now time.Time, d *ratelimit.Desk) {
		d.Serve(now, *request, func(reply ratelimit.CapReply) { replied <- reply })
	})
	select {
	case reply := <-replied:
		return &reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// setCaps replaces the caps of the workspaces.
func (c *capDesk) setCaps(caps map[string]model.UsageCap) {
	limits := make(map[string]ratelimit.Cap, len(caps))
	for workspace, l := range caps {
		limits[workspace] = ratelimit.Cap{PerSecond: l.PerSecond, Burst: l.Burst}
	}
	c.do(func(now time.Time, d *ratelimit.Desk) { d.SetCaps(now, limits) })
}

// updateView passes on which other hosts there are, and removes what is no longer used. It is called by the control thread.
func (c *capDesk) updateView(now time.Time) {
	table := c.host.table
	live, counts := table.Live(), c.host.registered && table.CountsAsLive()
	isSame := len(live) == len(c.live) && (len(live) == 0 || &live[0] == &c.live[0]) && counts == c.counts && table.Revision == c.revision
	if isSame && now.Sub(c.updatedAt) < capViewInterval {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.completeAt, c.renewedAt = c.host.viewCompleteAt, table.RenewedAt
		return
	}
	c.live, c.counts, c.revision, c.updatedAt = live, counts, table.Revision, now
	view := ratelimit.HostView{
		Name: c.host.Name, Zone: c.host.Zone, Live: live, Zones: len(c.zones(now)), Counts: counts, Registration: table.Revision,
	}
	c.do(func(now time.Time, d *ratelimit.Desk) {
		c.completeAt, c.renewedAt = c.host.viewCompleteAt, table.RenewedAt
		d.SetView(now, view)
		d.Expire(now)
	})
}

// zones returns the zones that share the caps: those that have or had hosts. One whose hosts are not live may be cut off and use
// its share, unless they have stopped.
func (c *capDesk) zones(now time.Time) []string {
	var zones []string
	for _, h := range c.host.table.Hosts {
		hasStopped := h.Record.Left && now.Sub(h.SilentSince) > leftZoneTTL
		if h.Record.Zone != "" && !hasStopped && !slices.Contains(zones, h.Record.Zone) {
			zones = append(zones, h.Record.Zone)
		}
	}
	return zones
}

// shares returns the state of the caps in whose division this host has a part.
func (c *capDesk) shares(now time.Time) []ratelimit.ShareState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.desk.Shares(now)
}

// CapState returns what gauges show of the caps of workspaces.
func (h *Host) CapState() ratelimit.CapState {
	h.caps.mu.Lock()
	defer h.caps.mu.Unlock()
	return h.caps.desk.State()
}

// capOf returns the cap of the request's workspace and what the request takes of it.
func (d *Dispatcher) capOf(r RoutedRequest) (l model.UsageCap, version int64, count int, capped bool) {
	table := d.host.routes.Load()
	if r.Workspace == "" || table == nil {
		return model.UsageCap{}, 0, 0, false
	}
	l, capped = table.caps[r.Workspace]
	count = 1
	if l.Unit == model.CapTokens {
		count = r.Tokens
		if count <= 0 {
			count = max(1, l.PlainTokens)
		}
	}
	return l, table.state.Version, count, capped
}

// takeTokens takes what the request needs of the cap of its workspace, unless it has done so. It returns a *CapError if that is not
// available in time.
func (d *Dispatcher) takeTokens(ctx context.Context, r RoutedRequest, p *attempt.Progress) error {
	return d.takeTokensInTurn(ctx, r, p, false)
}

// takeTokensInTurn is takeTokens for a request that, if again, has taken them before and given them back.
func (d *Dispatcher) takeTokensInTurn(ctx context.Context, r RoutedRequest, p *attempt.Progress, again bool) error {
	if p.Runs > 0 || !p.Tokens.At.IsZero() {
		return nil
	}
	l, version, count, capped := d.capOf(r)
	if !capped {
		return nil
	}
	patience := tokenWait
	if r.Route.Kind == model.RouteStream {
		patience = streamTokenWait
	}
	decided := make(chan ratelimit.Outcome, 1)
	var waiter *ratelimit.Waiter
	d.host.caps.do(func(now time.Time, desk *ratelimit.Desk) {
		take := desk.Take
		if again {
			take = desk.TakeAgain
		}
		waiter = take(now, r.Workspace, count, patience, func(o ratelimit.Outcome) { decided <- o })
	})
	var o ratelimit.Outcome
	select {
	case o = <-decided:
	case <-ctx.Done():
		isCancelled := false
		d.host.caps.do(func(now time.Time, desk *ratelimit.Desk) { isCancelled = desk.Cancel(now, r.Workspace, waiter) })
		if isCancelled {
			return ctx.Err()
		}
		o = <-decided
	}
	if o.RetryAfter == 0 {
		p.Tokens = o.Taken
		return nil
	}
	d.host.Log.Info("cap refused", zap.String("Request", r.ID), zap.String("Workspace", r.Workspace), zap.Int("Tokens", count), zap.Float64("PerSecond", l.PerSecond),
		zap.Float64("Burst", l.Burst), zap.Int64("Version", version), zap.Duration("AllowanceAge", o.Age), zap.Duration("RetryAfter", o.RetryAfter))
	return &CapError{Workspace: r.Workspace, Tokens: count, Cap: l, Version: version, RetryAfter: o.RetryAfter}
}

// holdTokens gives the tokens of a request back if it waits for a backend server: it would count in a later window, together with the
// requests that have taken theirs since. The returned function must be called once the request waits no longer.
func (d *Dispatcher) holdTokens(p *attempt.Progress) (stop func()) {
	if p.Runs > 0 || p.Tokens.At.IsZero() {
		return func() {}
	}
	returned := make(chan struct{})
	timer := time.AfterFunc(holdWait, func() {
		d.ReturnTokens(p)
		close(returned)
	})
	return func() {
		if !timer.Stop() {
			<-returned
		}
	}
}

// confirmTokens takes the tokens of a request that has been granted a backend server and holds none, because it has waited or
// because an earlier backend server did not run it. A request that has run has been counted.
func (d *Dispatcher) confirmTokens(ctx context.Context, r RoutedRequest, p *attempt.Progress) error {
	if p.Runs > 0 || !p.Tokens.At.IsZero() && d.host.Now().Sub(p.Tokens.At) <= ratelimit.MaxHold {
		return nil
	}
	d.ReturnTokens(p)
	return d.takeTokensInTurn(ctx, r, p, true)
}

// beginTokens takes the tokens of a request before it waits for a backend server, so that one beyond the cap is refused at once.
// One that a backend server did not run gives its tokens back until it is granted the next one.
func (d *Dispatcher) beginTokens(ctx context.Context, r RoutedRequest, p *attempt.Progress) error {
	if p.PossibleArrivals > 0 || len(p.Failed) > 0 {
		d.ReturnTokens(p)
		return nil
	}
	return d.takeTokens(ctx, r, p)
}

// ReturnTokens gives back what a request has taken of the cap of its workspace and not run for.
func (d *Dispatcher) ReturnTokens(p *attempt.Progress) {
	if p.Tokens.At.IsZero() || p.Runs > 0 {
		return
	}
	taken := p.Tokens
	p.Tokens = ratelimit.Taken{}
	d.host.caps.do(func(now time.Time, desk *ratelimit.Desk) { desk.Return(now, taken) })
}
