package ratelimit

import (
	"maps"
	"slices"
	"time"

	"citronspread/model"
)

// allot gives a host an allowance as the allotter of the zone, or as the deputy of one that does not reply. A deputy gives what
// it gets from a pool.
func (d *Desk) allot(now time.Time, r CapRequest, reply func(CapReply)) {
	if _, capped := d.caps[r.Workspace]; !capped {
		reply(CapReply{Uncapped: true})
		return
	}
	s, _ := d.share(now, r.Workspace)
	s.Restore(now, r.Unused)
	s.refused.add(now, r.Refused, s.pace())
	s.Take(now, r.request(), now.Add(r.patience()), func(a Reply) { reply(CapReply{Allowance: a}) })
	d.settleShare(now, r.Workspace, s)
}

// settleShare replies to the hosts that wait for an allowance, and asks the pool for what the zone needs beyond what it has.
func (d *Desk) settleShare(now time.Time, workspace string, s *Share) {
	_, mayUse := d.share(now, workspace)
	s.Settle(now, mayUse)
	if count, least, patience := s.Wanted(now, mayUse); count > 0 {
		leader := d.poolOf(now, workspace, s)
		if leader == "" {
			d.onOwnShare(now, workspace, s)
			s.Settle(now, mayUse)
		} else {
			d.send(now, leader, CapRequest{Call: CapAmount, Workspace: workspace, Asker: d.Zone, Count: count, Least: least, First: len(s.held) > 0 && s.held[0].First, Patience: patience}, "")
		}
	}
	d.schedule(now, workspace)
}

// poolOf returns the peer address of the leader that is asked for an amount: that which has the share of this zone, whose pool goes on
// when another host ranks first, or else the first one. It is empty if none is reached.
func (d *Desk) poolOf(now time.Time, workspace string, s *Share) string {
	if s.IsLent(now) && !now.Before(d.unreachable[s.lentTo].until) {
		return s.lentTo
	}
	return d.firstReachable(now, d.rankings.of(workspace).leaders)
}

func (d *Desk) onOwnShare(now time.Time, workspace string, s *Share) {
	if s.Failed(now, maxPoolPause) {
		d.Events.ZoneOnOwnShare(workspace, s.terms.PerSecond)
	}
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
		s.Entitle(now, d.firstSince(workspace, r), r.handoverPause())
		s.Hold(now)
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
	if !r.isOnly() && (now.Sub(d.firstSince(workspace, r)) < allotterPause || !d.IsFresh(now)) {
		c := d.confirm(now, workspace, r)
		isVoid = c.no > 0 && !c.isValid(now)
	}
	return d.isEntitled(now, workspace, r), isVoid
}

// isEntitled reports whether this host may use the share of its zone, as far as it knows now.
func (d *Desk) isEntitled(now time.Time, workspace string, r *ranking) bool {
	firstSince, c := d.firstSince(workspace, r), d.confirmations[workspace]
	since := now.Sub(firstSince)
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
	return since >= allotterPause || c.takenSince.Equal(firstSince) || !c.fullSince.IsZero() && now.Sub(c.fullSince) >= confirmedPause
}

// firstSince returns since when this host is the allotter, without a gap and without having given the share up.
func (d *Desk) firstSince(workspace string, r *ranking) time.Time {
	if s := d.shares[workspace]; s != nil && s.givenAt.After(r.firstSince) {
		return s.givenAt
	}
	return r.firstSince
}

// confirmFirst replies to a host that asks whether it is the allotter. If it takes the share over and this host has had it, this host
// gives it up.
func (d *Desk) confirmFirst(now time.Time, r CapRequest) CapReply {
	k := d.rankings.of(r.Workspace)
	reply := CapReply{First: k.allotters[0].Name == r.Asker}
	s := d.shares[r.Workspace]
	if !r.Take || s == nil || d.isEntitled(now, r.Workspace, k) {
		return reply
	}
	reply.Given, _ = s.Give(now, r.Asker)
	return reply
}

// receiveConfirm handles the reply of a host that was asked whether this one is the allotter.
func (d *Desk) receiveConfirm(now time.Time, m CapMessage, reply CapReply, replied bool) {
	workspace := m.Request.Workspace
	c, s := d.confirmations[workspace], d.shares[workspace]
	if c == nil || s == nil || !c.askedAt.Equal(m.sentAt) {
		return
	}
	r := d.rankings.of(workspace)
	if reply.Given != nil && c.given == nil {
		c.given = reply.Given
	}
	if !m.former {
		c.answered(reply.First, !replied)
	}
	since := d.firstSince(workspace, r)
	if c.isUnanimous() && r.isFirst && c.askedSince.Equal(since) && !c.takenSince.Equal(since) {
		switch {
		case c.given != nil:
			s.TakeOver(now, since, c.given)
			c.takenSince = since
		case now.Sub(s.heldAt) <= giveTTL && s.givenTo == "": // this host has had it under its earlier registration
			c.takenSince = since
		}
	}
	d.settleShare(now, workspace, s)
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
	since := d.firstSince(workspace, r)
	take := now.Sub(since) < allotterPause && !c.takenSince.Equal(since)
	*c = confirmation{askedAt: now, askedSince: since, okAt: c.okAt, fullSince: c.fullSince, takenSince: c.takenSince}
	request := CapRequest{Call: CapConfirm, Workspace: workspace, Asker: d.Name, Take: take}
	for _, p := range r.allotters[1:] {
		c.pending++
		d.send(now, p.Address, request, "")
	}
	isAsked := func(p model.Peer) bool { return p.Address == r.former.Address }
	if take && r.former.Address != "" && !slices.ContainsFunc(r.allotters, isAsked) {
		d.send(now, r.former.Address, request, "")
		d.messages[len(d.messages)-1].former = true
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
