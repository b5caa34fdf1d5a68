package ratelimit

import "time"

// Validity of what the hosts pass on to each other. Tokens that have accrued in a pool may be used by a request until
// amountTTL, capAllowanceTTL and MaxHold have passed. Together these may be at most the part of the window by which usage may
// exceed the cap: 0.8 s for a tenth of 8 s.
const (
	// amountTTL is how long an allotter may use what the leader of the pool has given it.
	amountTTL = 250 * time.Millisecond
	// capAllowanceTTL is how long a host may use what the allotter has given it.
	capAllowanceTTL = 250 * time.Millisecond
	// MaxHold is how long the tokens of a request count that has taken them and has not been sent to a backend server.
	MaxHold = 200 * time.Millisecond

	maxTokenAge = amountTTL + capAllowanceTTL + MaxHold
)

const (
	// loanTTL is how long a pool may use a share after it has requested it.
	loanTTL = 800 * time.Millisecond
	// lenderMargin is how much longer the lender does not use a share, since clocks run at different rates.
	lenderMargin = 50 * time.Millisecond
	// loanRenewal is the time between two requests of a pool for a share.
	loanRenewal = 200 * time.Millisecond
	// failedLoanPause is the time after which a share is requested again that was not lent.
	failedLoanPause = 200 * time.Millisecond
	// accrualWindow is the least time for which a share accrues, whatever the burst: allotters and pools are asked in steps of
	// some tens of milliseconds.
	accrualWindow = 100 * time.Millisecond
	// LargeRequest is the size up to which a request above the burst is served by a pool, as far as the slack allows it.
	LargeRequest = 6000
	// minCapPause and maxCapPause bound the pause of a host, and minCapPause and maxPoolPause that of an allotter, that got too
	// little.
	minCapPause  = 25 * time.Millisecond
	maxCapPause  = 500 * time.Millisecond
	maxPoolPause = 200 * time.Millisecond
	// poolTTL is how long a pool borrows the shares after an allotter has asked.
	poolTTL = 2 * time.Second
	// replyMargin is how much earlier than the requests that wait must be decided the reply to a host is due.
	replyMargin = 20 * time.Millisecond
)

// Cap is the usage cap of a workspace over all hosts: at most PerSecond * t + Burst in any time t.
type Cap struct {
	PerSecond float64
	Burst     float64
}

// Tolerance is what the usage of a workspace in a window may be above its cap:
// (PerSecond * Window + Burst) * (1 + Overage) + Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Most returns the highest usage in a window.
func (t Tolerance) Most(c Cap) float64 {
	return (c.PerSecond*t.Window.Seconds()+c.Burst)*(1+t.Overage) + t.Slack
}

// headroom returns the part of the tolerance that requests above the burst may use: what is left of it when the age of tokens
// and the least capacity of buckets are accounted for.
func (t Tolerance) headroom(c Cap) float64 {
	used := c.PerSecond*maxTokenAge.Seconds() + max(0, c.PerSecond*accrualWindow.Seconds()-c.Burst)
	return max(0, t.Overage*(c.PerSecond*t.Window.Seconds()+c.Burst)+t.Slack-used)
}

// Loan is the share of a zone in the cap of a workspace, which a pool may use for a time.
type Loan struct {
	PerSecond float64
	Capacity  float64
	Level     float64       // what the zone had saved up, of a share that was not lent before
	Delay     time.Duration // until the zone has paid off a debt; nothing accrues before
	ValidFor  time.Duration // from when the pool requested it
	Zones     int           // number of zones, each of which has an equal share
	Debt      float64       // part of this share in the debt that the pool may have, if it has less than most of the zones
	PoolDebt  float64       // the debt that the pool may have if it has most of the zones
}

// shareOf returns the equal share of each zone. The debts of all buckets together stay within the headroom: that of a pool
// with most of the zones, of which there is only one, and those of the zones that are on their own.
func (t Tolerance) shareOf(c Cap, zones int) Loan {
	n := float64(max(1, zones))
	headroom := t.headroom(c)
	pooled := min(headroom, max(headroom/3, LargeRequest-c.Burst))
	share := Loan{
		PerSecond: c.PerSecond / n, Capacity: max(c.Burst, c.PerSecond*accrualWindow.Seconds()) / n, ValidFor: loanTTL,
		Zones: max(1, zones), Debt: (headroom - pooled) / n, PoolDebt: pooled,
	}
	return share
}

// ownDebt returns the debt that a zone may have on its own.
func (l Loan) ownDebt() float64 {
	if l.Zones == 1 {
		return l.PoolDebt
	}
	return l.Debt
}
