package routing

import (
	"sync"
	"time"
)

const (
	budgetBuckets = 10 // one second each
)

// Extra is work beyond the first attempt of a request.
type Extra int

// Extras.
const (
	ExtraRetry Extra = iota
	ExtraHedge
	ExtraResume
)

// Budget limits retries, hedges and resumptions to a share of the recent requests.
type Budget struct {
	Share float64
	Floor int // extras in the window that are allowed however few requests came

	mu       sync.Mutex
	second   int64
	requests [budgetBuckets]int
	spent    [budgetBuckets]int
	totals   BudgetTotals
}

// BudgetTotals counts since the start.
type BudgetTotals struct {
	Requests int64
	Retries  int64
	Hedges   int64
	Resumes  int64
	Denied   int64
	Breaches int64 // windows in which more was spent than allowed
}

// Request notes a first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.second%budgetBuckets]++
	b.totals.Requests++
}

// Spend asks for one extra attempt and reports whether it is within the budget.
func (b *Budget) Spend(now time.Time, extra Extra) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := b.allowed(extra)
	if sum(b.spent) >= allowed {
		b.totals.Denied++
		return false
	}
	b.spent[b.second%budgetBuckets]++
	b.count(extra)
	if sum(b.spent) > allowed {
		b.totals.Breaches++
	}
	return true
}

// SetFloor changes the extras that are allowed however few requests came.
func (b *Budget) SetFloor(floor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Floor = floor
}

// Totals returns the counts since the start.
func (b *Budget) Totals() BudgetTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// allowed returns the extras in the window; hedges, which no answer depends on, get no floor.
func (b *Budget) allowed(extra Extra) int {
	share := int(b.Share * float64(sum(b.requests)))
	if extra == ExtraHedge {
		return share
	}
	return b.Floor + share
}

func (b *Budget) count(extra Extra) {
	switch extra {
	case ExtraRetry:
		b.totals.Retries++
	case ExtraHedge:
		b.totals.Hedges++
	case ExtraResume:
		b.totals.Resumes++
	}
}

// advance clears the buckets of the seconds that have passed.
func (b *Budget) advance(now time.Time) {
	second := now.Unix()
	if second <= b.second {
		return
	}
	from := max(b.second+1, second-budgetBuckets+1)
	for s := from; s <= second; s++ {
		b.requests[s%budgetBuckets] = 0
		b.spent[s%budgetBuckets] = 0
	}
	b.second = second
}

func sum(buckets [budgetBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
