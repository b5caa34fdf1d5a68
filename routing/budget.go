package routing

import (
	"sync"
	"time"
)

const (
	budgetBuckets = 10 // one second each
)

// Extra is a kind of attempt beyond the first one of a request.
type Extra int

const (
	ExtraRetry Extra = iota
	ExtraHedge
	ExtraResume
)

// Budget limits retries, hedges and resumptions to a share of the requests of the last ten seconds.
type Budget struct {
	Share float64
	Floor int // extras allowed in the window in addition to the share; does not apply to hedges

	mu       sync.Mutex
	second   int64
	requests [budgetBuckets]int
	spent    [budgetBuckets]int
	totals   BudgetTotals
}

// BudgetTotals counts requests and extras since the router started.
type BudgetTotals struct {
	Requests int64
	Retries  int64
	Hedges   int64
	Resumes  int64
	Denied   int64
	Breaches int64 // extras spent beyond the budget, always 0 unless there is a bug
}

// Request records a first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.second%budgetBuckets]++
	b.totals.Requests++
}

// Spend takes one extra attempt from the budget and reports whether the budget allowed it.
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

// SetFloor replaces Floor. It is safe for concurrent use.
func (b *Budget) SetFloor(floor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Floor = floor
}

func (b *Budget) Totals() BudgetTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// allowed returns how many extras the window allows. Hedges get no floor because no response depends on them.
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

// advance clears the buckets of the seconds that have passed since the last call.
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
