package ratelimit

import "time"

// backlog is the amount that refused callers have been told to come back for, as far as it has not accrued since. Callers that are
// refused later are told a time behind it.
type backlog struct {
	amount float64
	at     time.Time
}

// add records a refused amount. spacing is the time in which an amount of 1 accrues.
func (b *backlog) add(now time.Time, count int, spacing time.Duration) {
	b.amount = min(b.left(now, spacing)+float64(count), float64(maxBooked)/float64(spacing))
	b.at = now
}

func (b *backlog) left(now time.Time, spacing time.Duration) float64 {
	return max(0, b.amount-float64(now.Sub(b.at))/float64(spacing))
}

// wait returns the time until the amount has accrued.
func (b *backlog) wait(now time.Time, spacing time.Duration) time.Duration {
	return time.Duration(b.left(now, spacing) * float64(spacing))
}
