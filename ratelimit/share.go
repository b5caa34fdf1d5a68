package ratelimit

import "time"

// Share is what the allotter of a zone has to divide of the cap of a workspace: the zone's equal share while it is not lent, and
// amounts from a pool.
type Share struct {
	line

	terms Loan
	own   bucket
	// entitledSince is the time since which this host is the allotter, as of when the own share began to accrue; zero if it has
	// not begun or another host may have used the share since.
	entitledSince time.Time
	mayUse        bool      // as of the last Settle
	isVoid        bool      // the host has been the allotter, and another one may have used the share since
	heldAt        time.Time // when this host last was the allotter that may use the share
	givenTo       string    // host that this one has given the share up for since, and when
	givenAt       time.Time
	lentTo        string
	lentUntil     time.Time
	claimedBy     string // leader that precedes the one that has the share, and when it asked for it
	claimedAt     time.Time
	owed          float64 // part of this share in a debt of the pool, which falls to the zone when the share is no longer lent
	amounts       parcels
	pooledAt      time.Time // when an amount of the pool was last given to a host
	used          usage     // what hosts got
	refused       backlog

	asking      bool
	requestedAt time.Time // when the request to the pool was sent that asking is about
	askAfter    time.Time
	roundTrip   time.Duration // of the last request to the pool, without the time that its reply waited there
	missed      int           // amount of requests that could not wait for the pool's reply, and that the next ones may need
	spacing     time.Duration // expected time in which the pool gives a further amount of 1, 0 if it has enough or is not known
	lastSpacing time.Duration // the last spacing that the pool has told, 0 if there was none
	isAlone     bool          // no leader of a pool was reached when one was last needed
}

// NewShare returns an empty share.
func NewShare(now time.Time, terms Loan) *Share {
	s := &Share{line: newLine(), own: bucket{updatedAt: now}}
	s.SetTerms(now, terms)
	return s
}

// SetTerms replaces the size of the share.
func (s *Share) SetTerms(now time.Time, terms Loan) {
	s.refill(now)
	s.terms = terms
	s.own.perSecond, s.own.capacity, s.own.debt = terms.PerSecond, terms.Capacity, terms.ownDebt()
	s.refill(now)
}

// Entitle begins to accrue the share of a host that is the allotter since a time. If it was not used before, it has accrued since
// the handover was over, which takes a pause.
func (s *Share) Entitle(now, since time.Time, pause time.Duration) {
	if !s.entitledSince.IsZero() && !since.After(s.entitledSince) {
		return
	}
	s.refill(now)
	unused := max(0, now.Sub(since)-pause)
	if s.isVoid || !s.entitledSince.IsZero() {
		unused = 0
	}
	s.own.level = min(s.own.level, 0) + min(s.own.perSecond*unused.Seconds(), s.own.capacity)
	s.entitledSince, s.isVoid = since, false
}

// Give gives the share up for another host that takes itself for the allotter. It reports false if this host has not had the share
// recently, or has given it to a third one. The reply to an earlier call may have been lost.
func (s *Share) Give(now time.Time, to string) (*GivenShare, bool) {
	if now.Sub(s.heldAt) > giveTTL || s.givenTo != "" && s.givenTo != to {
		return nil, false
	}
	s.refill(now)
	if s.givenTo == "" {
		s.givenTo, s.givenAt = to, now
	}
	s.Void()
	g := &GivenShare{Level: s.own.level, Owed: s.owed}
	if s.IsLent(now) {
		g.LentTo, g.LentFor = s.lentTo, s.lentUntil.Sub(now)
	}
	return g, true
}

// TakeOver continues the share of the earlier allotter, as of when this host has become the allotter.
func (s *Share) TakeOver(now, since time.Time, g *GivenShare) {
	s.refill(now)
	s.entitledSince, s.isVoid = since, false
	s.own.level = min(s.own.level, 0) + min(g.Level, s.own.capacity)
	s.owed = max(s.owed, g.Owed)
	if until := now.Add(min(max(0, g.LentFor), loanTTL+lenderMargin)); g.LentTo != "" && until.After(s.lentUntil) {
		s.lentTo, s.lentUntil = g.LentTo, until
	}
}

// Hold records that this host is the allotter that may use the share now.
func (s *Share) Hold(now time.Time) { s.heldAt, s.givenTo = now, "" }

// Void records that another host may use the share. A debt remains.
func (s *Share) Void() {
	s.isVoid = s.isVoid || !s.entitledSince.IsZero()
	s.entitledSince = time.Time{}
}

// IsLent reports whether a pool may use the share.
func (s *Share) IsLent(now time.Time) bool { return now.Before(s.lentUntil) }

// refill adds what has accrued. While the share is lent it pays off a debt only.
func (s *Share) refill(now time.Time) {
	if lent := minTime(now, s.lentUntil).Sub(s.own.updatedAt); lent > 0 {
		if s.own.level < 0 {
			s.own.level = min(0, s.own.level+s.own.perSecond*lent.Seconds())
		}
		s.own.updatedAt = s.own.updatedAt.Add(lent)
	}
	if !s.IsLent(now) {
		s.own.level -= s.owed
		s.owed = 0
	}
	s.own.refill(now)
}

// mayLendTo reports whether a leader may have the share. While it is lent, a leader that precedes the one that has it is waited
// for: the loan is not renewed, so that the zones do not divide their shares among several pools for long.
func (s *Share) mayLendTo(now time.Time, leader string, precedes func(a, b string) bool) bool {
	if s.IsLent(now) && leader != s.lentTo {
		if precedes(leader, s.lentTo) {
			s.claimedBy, s.claimedAt = leader, now
		}
		return false
	}
	isClaimed := now.Sub(s.claimedAt) < activeFor && s.claimedBy != leader && precedes(s.claimedBy, leader)
	return !isClaimed
}

// Lend lends the share to the pool of a leader, which owes a part of its debt to the share. It reports false while another leader
// may use the share.
func (s *Share) Lend(now time.Time, leader string, owed int) (Loan, bool) {
	s.refill(now)
	isRenewal := s.IsLent(now)
	if isRenewal && s.lentTo != leader {
		return Loan{}, false
	}
	terms := s.terms
	if s.own.level < 0 {
		terms.Delay = min(time.Duration(-s.own.level/s.own.perSecond*float64(time.Second)), terms.ValidFor)
	} else if !isRenewal {
		terms.Level = s.own.level
	}
	s.own.level = min(0, s.own.level)
	s.owed = float64(owed)
	s.lentTo, s.lentUntil = leader, now.Add(terms.ValidFor+lenderMargin)
	return terms, true
}

// Restore puts back an amount of allowances that has expired unused. If it may have come from a pool, it is lost, because its time has
// counted already.
func (s *Share) Restore(now time.Time, count int) {
	s.refill(now)
	isPooled := now.Sub(s.pooledAt) < maxTokenAge
	if count > 0 && !isPooled && !s.IsLent(now) && !s.entitledSince.IsZero() {
		s.own.level = max(s.own.level, min(s.own.level+float64(count), s.own.capacity))
	}
}

// Take lets a host ask for an allowance. The reply may wait until there is enough.
func (s *Share) Take(now time.Time, r Request, until time.Time, reply func(Reply)) {
	s.add(now, heldRequest{Request: r, at: now, until: until, reply: reply})
}

// Settle replies to the requests that there is enough for, and to those that can't be served in time. mayUse reports whether
// this host is the allotter that may use the zone's share.
func (s *Share) Settle(now time.Time, mayUse bool) {
	s.refill(now)
	s.mayUse = mayUse
	usable := mayUse && !s.IsLent(now)
	spacing := s.spacing
	switch {
	case usable && s.isAlone:
		spacing = seconds(1 / s.own.perSecond)
	case s.asking || !now.Before(s.askAfter):
		spacing = 0 // the leader will tell
	}
	spread := time.Duration(s.sharers(now)) * spacing
	wait := s.refused.wait(now, s.pace())
	for len(s.held) > 0 {
		r := s.held[0].Request
		level, required := s.available(now, usable), float64(r.least())
		if usable && s.own.level >= s.own.required(r.least()) {
			required = min(required, level)
		}
		granted := r.wholePart(level, required, len(s.held))
		if granted == 0 {
			missed := s.refuse(now, required-level, spacing, Reply{ValidFor: capAllowanceTTL, Spacing: spread, Backlog: wait})
			s.refused.add(now, missed, s.pace())
			if spacing == 0 && !s.asking {
				s.missed = missed
			}
			return
		}
		pooled := min(granted, s.amounts.total(now))
		if pooled > 0 {
			s.amounts.take(now, pooled)
			s.pooledAt = now
		}
		s.own.level -= float64(granted - pooled)
		s.used.add(now, granted)
		s.next(now, Reply{Count: granted, ValidFor: capAllowanceTTL, Spacing: spread, Backlog: wait})
	}
}

// pace returns the time in which the zone is expected to get an amount of 1.
func (s *Share) pace() time.Duration {
	if s.lastSpacing > 0 && !s.isAlone {
		return s.lastSpacing
	}
	return max(1, seconds(1/s.terms.PerSecond))
}

// grantAll replies to all requests that wait, because the workspace has no cap any more.
func (s *Share) grantAll(now time.Time) {
	for len(s.held) > 0 {
		s.next(now, Reply{Count: s.held[0].Count, ValidFor: capAllowanceTTL})
	}
}

// available returns what the zone has to give.
func (s *Share) available(now time.Time, usable bool) float64 {
	level := float64(s.amounts.total(now))
	if usable {
		level += max(0, s.own.level)
	}
	return level
}

// Wanted returns the amount that the leader of the pool must be asked for now, the smallest amount that is of use, and how long
// the reply may wait for it. The amount is 0 if the zone has enough or the leader may not be asked yet. The caller must report
// the reply with Receive, Retry or Failed.
func (s *Share) Wanted(now time.Time, mayUse bool) (count, least int, patience time.Duration) {
	if s.asking || now.Before(s.askAfter) {
		return 0, 0, 0
	}
	s.refill(now)
	usable := mayUse && !s.IsLent(now)
	count = s.count() + s.missed + s.used.prefetch(now) - int(s.available(now, usable))
	if count <= 0 {
		return 0, 0, 0
	}
	if len(s.held) > 0 {
		least = s.held[0].least()
		patience = max(0, s.held[0].until.Sub(now)-2*s.roundTrip)
	}
	s.asking, s.requestedAt, s.missed = true, now, 0
	return max(count, least), least, patience
}

// Receive adds what the leader of the pool has given, valid from when it was asked, or from when it gave it if the reply waited.
func (s *Share) Receive(now time.Time, reply Reply) {
	s.amounts.add(now, reply.Count, s.requestedAt.Add(reply.Held+reply.ValidFor))
	s.roundTrip = max(0, now.Sub(s.requestedAt)-reply.Held)
	s.asking, s.isAlone, s.spacing = false, false, 0
	s.askAfter = now.Add(minCapPause)
	if reply.Spacing > 0 {
		s.lastSpacing = reply.Spacing
	}
	if reply.RetryAfter > 0 {
		s.spacing = reply.Spacing
		s.askAfter = now.Add(min(reply.RetryAfter, maxPoolPause))
	}
}

// wakeAt returns when Settle and Wanted must be called next, zero for not at all.
func (s *Share) wakeAt(now time.Time) time.Time {
	if len(s.held) == 0 {
		return time.Time{}
	}
	at := s.firstUntil()
	if !s.asking {
		at = minTime(at, s.askAfter)
	}
	if s.isAlone && s.mayUse { // what the first request lacks accrues
		missing := s.own.required(s.held[0].least()) - s.own.level
		at = minTime(at, now.Add(max(time.Millisecond, seconds(missing/s.own.perSecond))))
		if s.IsLent(now) {
			at = minTime(at, s.lentUntil)
		}
	}
	return at
}

// Failed records that no leader of a pool was reached. It reports whether that is news.
func (s *Share) Failed(now time.Time, pause time.Duration) (news bool) {
	news = !s.isAlone
	s.asking, s.isAlone, s.spacing = false, true, 0
	s.askAfter = now.Add(pause)
	return news
}

// Retry records that a leader was not reached, while another one can be asked.
func (s *Share) Retry(now time.Time) { s.asking, s.askAfter = false, now }

// IsIdle reports whether the share is not used and as full as a new one would be.
func (s *Share) IsIdle(now time.Time) bool {
	s.refill(now)
	s.sharers(now)
	return len(s.active) == 0 && len(s.held) == 0 && !s.IsLent(now) && !s.asking && s.own.level >= s.own.capacity-rounding
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
