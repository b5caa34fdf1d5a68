package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Pool is what the leader of a workspace has to divide: the shares that zones have lent to it. More than one host may believe
// to be the leader, since each share is lent to one of them at a time.
type Pool struct {
	line

	loans     map[string]*loan // by zone
	level     float64
	updatedAt time.Time
	usedAt    time.Time // when an allotter last asked
}

// loan is the share of a zone as the pool has it.
type loan struct {
	terms    Loan
	from     time.Time // when it begins to accrue
	until    time.Time
	asking   bool
	askedAt  time.Time
	askAfter time.Time
}

// NewPool returns a pool without shares.
func NewPool(now time.Time) *Pool {
	return &Pool{line: newLine(), loans: make(map[string]*loan), updatedAt: now}
}

// Due returns the zones whose shares must be requested now. The caller must report the replies with Lent or NotLent.
func (p *Pool) Due(now time.Time, zones []string, isReachable func(zone string) bool) (due []string) {
	for _, zone := range zones {
		l := p.loans[zone]
		if l == nil {
			l = &loan{}
			p.loans[zone] = l
		}
		switch {
		case l.asking || now.Before(l.askAfter):
		case !isReachable(zone):
			l.askAfter = now.Add(failedLoanPause)
		default:
			l.asking, l.askedAt, l.askAfter = true, now, now.Add(loanRenewal)
			due = append(due, zone)
		}
	}
	maps.DeleteFunc(p.loans, func(zone string, l *loan) bool {
		if l.asking || slices.Contains(zones, zone) {
			return false
		}
		l.askAfter = l.until
		return !now.Before(l.until)
	})
	return due
}

// awaits reports whether the reply to the request for a zone's share is due that was sent at a time.
func (p *Pool) awaits(zone string, sentAt time.Time) bool {
	l := p.loans[zone]
	return l != nil && l.asking && l.askedAt.Equal(sentAt)
}

// Lent adds the share of a zone. It is valid from when it was requested, on the clock of this host.
func (p *Pool) Lent(now time.Time, zone string, terms Loan) {
	l := p.loans[zone]
	if l == nil || !l.asking {
		return
	}
	p.refill(now)
	l.asking = false
	until := l.askedAt.Add(terms.ValidFor)
	if !now.Before(until) {
		return
	}
	isRenewal := now.Before(l.until)
	l.terms = terms
	if !isRenewal {
		l.from = now
	}
	if terms.Delay > 0 {
		l.from = now.Add(terms.Delay)
	}
	l.until = until
	p.level = min(p.level+terms.Level, p.capacity(now))
}

// NotLent records that the share of a zone was not lent.
func (p *Pool) NotLent(now time.Time, zone string) {
	if l := p.loans[zone]; l != nil {
		l.asking, l.askAfter = false, now.Add(failedLoanPause)
	}
}

// refill adds what has accrued of each share while it was lent. What was saved up ends with the shares: the zones use them.
func (p *Pool) refill(now time.Time) {
	for _, l := range p.loans {
		from := p.updatedAt
		if l.from.After(from) {
			from = l.from
		}
		if accrued := minTime(now, l.until).Sub(from); accrued > 0 {
			p.level += l.terms.PerSecond * accrued.Seconds()
		}
	}
	capacity := p.capacity(now)
	p.level = min(p.level, capacity)
	if capacity == 0 {
		p.level = 0 // a debt has fallen to the zones, see Owed
	}
	p.updatedAt = now
}

// Owed returns the part of each lent share in the debt of the pool.
func (p *Pool) Owed(now time.Time) int {
	p.refill(now)
	if p.level >= 0 {
		return 0
	}
	return int(math.Ceil(-p.level / float64(max(1, p.Zones(now)))))
}

func (p *Pool) capacity(now time.Time) float64 {
	total := 0.0
	for _, l := range p.loans {
		if now.Before(l.until) {
			total += l.terms.Capacity
		}
	}
	return total
}

// rights returns what the pool has of the cap now.
func (p *Pool) rights(now time.Time) (b bucket) {
	lent, zones, pooled := 0, 0, 0.0
	for _, l := range p.loans {
		if !now.Before(l.until) {
			continue
		}
		lent++
		b.perSecond += l.terms.PerSecond
		b.capacity += l.terms.Capacity
		b.debt += l.terms.Debt
		zones, pooled = max(zones, l.terms.Zones), max(pooled, l.terms.PoolDebt)
	}
	if 2*lent > zones {
		b.debt = pooled
	}
	b.level = p.level
	return b
}

// Take lets the allotter of a zone ask for an amount. The reply may wait until there is enough.
func (p *Pool) Take(now time.Time, r Request, until time.Time, reply func(Reply)) {
	p.usedAt = now
	p.add(now, heldRequest{Request: r, at: now, until: until, reply: reply})
}

// Settle replies to the requests that there is enough for, and to those that can't be served in time.
func (p *Pool) Settle(now time.Time) {
	p.refill(now)
	for len(p.held) > 0 {
		rights := p.rights(now)
		spacing := time.Duration(0)
		if rights.perSecond > 0 {
			spacing = seconds(1 / rights.perSecond)
		}
		spread := time.Duration(p.sharers(now)) * spacing
		r, required, granted := p.held[0].Request, 0.0, 0
		if rights.perSecond > 0 {
			required = rights.required(r.least())
			granted = r.wholePart(p.level, required, len(p.held))
		}
		if granted == 0 {
			p.refuse(now, required-p.level, spacing, Reply{ValidFor: amountTTL, Spacing: spread})
			return
		}
		p.level -= float64(granted)
		if p.level < 0 {
			for _, l := range p.loans {
				l.askAfter = now // tells the zones at once what they owe
			}
		}
		p.next(now, Reply{Count: granted, ValidFor: amountTTL, Spacing: spread})
	}
}

// wakeAt returns when Settle and Due must be called next, zero for not at all.
func (p *Pool) wakeAt(now time.Time) (at time.Time) {
	if !p.isUsed(now) {
		return time.Time{}
	}
	for _, l := range p.loans {
		if !l.asking && (at.IsZero() || l.askAfter.Before(at)) {
			at = l.askAfter
		}
	}
	if len(p.held) == 0 {
		return at
	}
	first := p.firstUntil()
	if rights := p.rights(now); rights.perSecond > 0 {
		missing := rights.required(p.held[0].least()) - p.level
		first = minTime(first, now.Add(max(time.Millisecond, seconds(missing/rights.perSecond))))
	}
	if at.IsZero() {
		return first
	}
	return minTime(at, first)
}

// isUsed reports whether the pool borrows shares.
func (p *Pool) isUsed(now time.Time) bool { return now.Sub(p.usedAt) < poolTTL || len(p.held) > 0 }

// Zones returns the number of zones whose shares the pool has.
func (p *Pool) Zones(now time.Time) int {
	lent := 0
	for _, l := range p.loans {
		if now.Before(l.until) {
			lent++
		}
	}
	return lent
}

// IsIdle reports whether no allotter has asked recently.
func (p *Pool) IsIdle(now time.Time) bool {
	return !p.isUsed(now) && p.Zones(now) == 0
}
