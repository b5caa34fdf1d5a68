package routing

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets that cover a window completely: the oldest one is partly outside of it.
	budgetBuckets = 11
	// defaultBudgetWindow is the window of a budget that sets none.
	defaultBudgetWindow = 10 * time.Second
)

// Extra is a kind of attempt beyond the first one of a request.
type Extra int

const (
	ExtraRetry Extra = iota
	ExtraHedge
	ExtraResume
)

// Budget limits retries, hedges and resumptions to a share of the requests of the last window. An extra attempt counts from
// its reservation on, until a window after it was sent.
type Budget struct {
	Share     float64
	Floor     int           // extras allowed in the window in addition to the share; does not apply to hedges
	FloorFrom time.Time     // the floor is not used before
	Window    time.Duration // 0 for ten seconds

	mu       sync.Mutex
	bucket   int64 // number of the current bucket since the epoch
	requests [budgetBuckets]int
	spent    [budgetBuckets]int
	reserved int // extras that are not sent yet
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
	b.requests[b.bucket%budgetBuckets]++
	b.totals.Requests++
}

// Spend takes one extra attempt that is sent at once from the budget and reports whether the budget allowed it.
func (b *Budget) Spend(now time.Time, extra Extra) bool {
	if !b.Reserve(now, extra) {
		return false
	}
	b.Send(now)
	return true
}

// Reserve takes one extra attempt that is sent later from the budget and reports whether the budget allowed it. Send or
// Release must follow.
func (b *Budget) Reserve(now time.Time, extra Extra) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := b.allowed(now, extra)
	if b.used() >= allowed {
		b.totals.Denied++
		return false
	}
	b.reserved++
	b.count(extra)
	if b.used() > allowed {
		b.totals.Breaches++
	}
	return true
}

// Send records that a reserved attempt is sent now.
func (b *Budget) Send(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.reserved--
	b.spent[b.bucket%budgetBuckets]++
}

// Unsend makes an attempt that reached no backend server a reserved one again.
func (b *Budget) Unsend(sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved++
	if n := b.bucketOf(sentAt); b.bucket-n < budgetBuckets && b.spent[n%budgetBuckets] > 0 {
		b.spent[n%budgetBuckets]--
	}
}

// Release returns a reserved attempt that is not sent.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
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

// used returns how many extras count now.
func (b *Budget) used() int { return sum(b.spent) + b.reserved }

// allowed returns how many extras the window allows. Hedges get no floor because no response depends on them. The oldest
// bucket may be older than the window, so its requests do not count.
func (b *Budget) allowed(now time.Time, extra Extra) int {
	oldest := b.requests[(b.bucket+1)%budgetBuckets]
	share := int(b.Share * float64(sum(b.requests)-oldest))
	if extra == ExtraHedge || now.Before(b.FloorFrom) {
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

// advance clears the buckets that have passed since the last call.
func (b *Budget) advance(now time.Time) {
	bucket := b.bucketOf(now)
	if bucket <= b.bucket {
		return
	}
	for n := max(b.bucket+1, bucket-budgetBuckets+1); n <= bucket; n++ {
		b.requests[n%budgetBuckets] = 0
		b.spent[n%budgetBuckets] = 0
	}
	b.bucket = bucket
}

// bucketOf returns the number of the bucket of a time.
func (b *Budget) bucketOf(at time.Time) int64 {
	window := b.Window
	if window <= 0 {
		window = defaultBudgetWindow
	}
	return max(0, at.UnixNano()/int64(window/(budgetBuckets-1)))
}

func sum(buckets [budgetBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
