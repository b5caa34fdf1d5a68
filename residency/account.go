package residency

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"citronspread/model"
)

// Times of an account.
const (
	// longestDelay bounds the time in which an order without an answer may still be carried out: 12 s and a margin.
	longestDelay = 14 * time.Second
	// reportLag is the age that a report may have, a few hundred milliseconds by the platform's description.
	reportLag = 300 * time.Millisecond
	// usageExpiry ends the use that an entry host told of and did not renew; it renews every second.
	usageExpiry = 3 * time.Second
	// settleTime keeps a model for the request that it was loaded for.
	settleTime = 1500 * time.Millisecond
	// AdapterLoad is the time until a request may use an adapter that was ordered; twice the usual fetch.
	AdapterLoad = 20 * time.Millisecond
	// maxPendingAdapters may be on their way to one backend server.
	maxPendingAdapters = 4
	// rateDecay is the time over which requests are counted, a few reports of use.
	rateDecay = 2 * time.Second
	// SpreadRate is how many requests a second a backend server takes on before its models are loaded elsewhere as well.
	// Reading a prompt of 1,500 tokens stops all streams for about 70 ms.
	SpreadRate = 2.0
	// missingReports without a model that was to be loaded count as a failed load.
	missingReports = 3
)

// State is the state of a model on a backend server.
type State int

// States.
const (
	Loading State = iota
	Loaded
	Unloading
)

// Resident is a model on a backend server.
type Resident struct {
	State    State
	MB       float64
	Since    time.Time // of the state
	Expected time.Time // end of the order under way
	LastUsed time.Time
	Adapters map[string]*ResidentAdapter
	usage    map[string]usage // by entry host
	missing  int              // reports in a row that do not list it
	rate     float64          // requests a second, as of rateAt
	rateAt   time.Time
}

// ResidentAdapter is an adapter on a backend server.
type ResidentAdapter struct {
	MB       float64
	ReadyAt  time.Time
	LastUsed time.Time
	usage    map[string]usage
}

type usage struct {
	running int
	at      time.Time
}

// Account is what the owner of a backend server knows of it. Only orders of the owner change what it holds,
// and each names the sequence that it builds on, so that the account is exact once it agrees with a report.
type Account struct {
	Backend  string
	Life     model.Life
	Spec     *model.EngineSpec
	Synced   bool // what is held at Sequence is known
	Sequence int64
	Models   map[string]*Resident
	InMemory map[string]bool
	OnDisk   map[string]bool

	wants      []*want
	inFlight   *Order // sent, not answered yet
	unresolved []unresolved
	reportAt   time.Time // when the next report is due, zero for none
	notBefore  time.Time // no order before
	Failing    bool      // it did not answer the latest call, or another life did
}

// want is a model or adapter that requests wait for.
type want struct {
	model   string
	adapter string
	until   time.Time // forgotten after it, unless it is renewed
}

// NewAccount returns an account that has to be synced with a report first.
func NewAccount(now time.Time, backend string, life model.Life, spec *model.EngineSpec) *Account {
	return &Account{
		Backend: backend, Life: life, Spec: spec, reportAt: now,
		Models: make(map[string]*Resident), InMemory: make(map[string]bool), OnDisk: make(map[string]bool),
	}
}

// Reborn starts the account anew for another life of the backend server. Orders without an answer may reach the new life.
func (a *Account) Reborn(now time.Time, life model.Life) {
	if a.inFlight != nil {
		a.unresolve(now, *a.inFlight)
		a.inFlight = nil
	}
	a.Life = life
	a.Synced, a.Sequence, a.reportAt = false, 0, now
	a.Models = make(map[string]*Resident)
	a.InMemory = make(map[string]bool)
}

// NotBefore holds back orders until the time, for example until another holder's turn has surely ended.
func (a *Account) NotBefore(at time.Time) {
	if at.After(a.notBefore) {
		a.notBefore = at
	}
}

// ReportDue reports whether a report should be asked for now.
func (a *Account) ReportDue(now time.Time) bool {
	return !a.reportAt.IsZero() && !now.Before(a.reportAt)
}

// ReportAsked notes that a report was asked for; the next one is due later.
func (a *Account) ReportAsked(now time.Time) {
	a.reportAt = now.Add(reportLag)
}

// Unreported notes that a report was asked for and did not come.
func (a *Account) Unreported() { a.Failing = true }

// Observed takes in a report.
func (a *Account) Observed(now time.Time, h model.Holdings) {
	a.reportAt, a.Failing = time.Time{}, false
	if h.Life.Born != a.Life.Born && h.Life.Born != 0 && a.Life.Born != 0 {
		a.Reborn(now, h.Life)
	}
	switch {
	case h.Sequence < a.Sequence:
		a.reportAt = now.Add(reportLag) // older than what is known
	case a.inFlight != nil && h.Sequence != a.Sequence:
		a.reportAt = now.Add(reportLag) // it shows the order whose answer is still on its way
	case !a.Synced || h.Sequence > a.Sequence:
		a.adopt(now, h)
	default:
		a.compare(now, h)
	}
	a.noteCopies(h)
	a.dropResolved(now)
	if a.orderUnderWay() && a.reportAt.IsZero() {
		a.reportAt = now.Add(reportLag / 3)
	}
}

// adopt replaces what was known by a report.
func (a *Account) adopt(now time.Time, h model.Holdings) {
	if h.Busy {
		a.reportAt = now.Add(reportLag)
		return
	}
	old := a.Models
	a.Models = make(map[string]*Resident, len(h.Models))
	for _, held := range h.Models {
		r := a.newResident(now, held.Name, Loaded)
		if known := old[held.Name]; known != nil {
			r.LastUsed, r.usage = known.LastUsed, known.usage
		}
		for _, adapter := range held.Adapters {
			r.Adapters[adapter] = a.newAdapter(now, held.Name)
		}
		a.Models[held.Name] = r
	}
	for _, p := range h.Pending {
		if r := a.Models[p.Model]; r != nil {
			r.Adapters[p.Adapter] = a.newAdapter(now, p.Model)
		}
	}
	a.Synced, a.Sequence = true, h.Sequence
}

// compare settles the order under way by a report of the same sequence.
func (a *Account) compare(now time.Time, h model.Holdings) {
	listed := make(map[string]bool, len(h.Models))
	for _, held := range h.Models {
		listed[held.Name] = true
	}
	for name, r := range a.Models {
		switch {
		case r.State == Loading && listed[name]:
			a.loaded(now, name, r)
		case r.State == Loading && !h.Busy && now.After(r.Expected):
			if r.missing++; r.missing >= missingReports {
				a.Synced, a.reportAt = false, now.Add(reportLag)
			}
		case r.State == Unloading && !listed[name] && !h.Busy:
			delete(a.Models, name)
		}
	}
}

func (a *Account) loaded(now time.Time, name string, r *Resident) {
	r.State, r.Since, r.missing = Loaded, now, 0
	r.LastUsed = now
	a.InMemory[name], a.OnDisk[name] = true, true
}

func (a *Account) noteCopies(h model.Holdings) {
	if len(h.InMemory) == 0 && len(h.OnDisk) == 0 {
		return
	}
	a.InMemory, a.OnDisk = setOf(h.InMemory), setOf(h.OnDisk)
	for name, r := range a.Models {
		if r.State == Loaded {
			a.OnDisk[name] = a.OnDisk[name] || a.InMemory[name]
		}
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

func (a *Account) newResident(now time.Time, name string, state State) *Resident {
	return &Resident{
		State: state, MB: a.Spec.Models[name].MB, Since: now, LastUsed: now,
		Adapters: make(map[string]*ResidentAdapter), usage: make(map[string]usage),
	}
}

func (a *Account) newAdapter(now time.Time, name string) *ResidentAdapter {
	return &ResidentAdapter{MB: a.Spec.Models[name].AdapterMB, ReadyAt: now, LastUsed: now, usage: make(map[string]usage)}
}

// orderUnderWay reports whether a model is being loaded or unloaded.
func (a *Account) orderUnderWay() bool {
	for _, r := range a.Models {
		if r.State != Loaded {
			return true
		}
	}
	return false
}

// usedMB is the memory that is taken.
func (a *Account) usedMB() float64 {
	total := 0.0
	for _, r := range a.Models {
		total += r.MB
		for _, adapter := range r.Adapters {
			total += adapter.MB
		}
	}
	return total
}

// usedSlots is the number of adapters.
func (a *Account) usedSlots() int {
	total := 0
	for _, r := range a.Models {
		total += len(r.Adapters)
	}
	return total
}

// lateMB is what orders without an answer may still add once the next order has been accepted.
// Those that name the present sequence are void then.
func (a *Account) lateMB() float64 {
	total := 0.0
	for _, u := range a.unresolved {
		if u.order.Expected > a.Sequence {
			total += u.mb
		}
	}
	return total
}

// lateSlots is the same for adapters.
func (a *Account) lateSlots() int {
	total := 0
	for _, u := range a.unresolved {
		if u.order.Kind == LoadAdapter && u.order.Expected > a.Sequence {
			total++
		}
	}
	return total
}

// fits reports whether there is room for more, also when orders without an answer are carried out after it.
func (a *Account) fits(mb float64, slots int) bool {
	return a.usedMB()+a.lateMB()+mb <= a.Spec.WeightMB && a.usedSlots()+a.lateSlots()+slots <= a.Spec.AdapterSlots
}

// Check asserts that nothing is overcommitted.
func (a *Account) Check() error {
	if !a.Synced {
		return nil
	}
	if used := a.usedMB(); used > a.Spec.WeightMB {
		return &InvariantError{Backend: a.Backend, Detail: fmt.Sprintf("%.0f MB of %.0f MB are taken", used, a.Spec.WeightMB)}
	}
	if used := a.usedSlots(); used > a.Spec.AdapterSlots {
		return &InvariantError{Backend: a.Backend, Detail: fmt.Sprintf("%d adapters in %d slots", used, a.Spec.AdapterSlots)}
	}
	return nil
}

func (a *Account) unresolve(now time.Time, o Order) {
	u := unresolved{order: o, until: now.Add(longestDelay)}
	switch o.Kind {
	case Load:
		u.mb = a.Spec.Models[o.Model].MB
	case LoadAdapter:
		u.mb = a.Spec.Models[o.Model].AdapterMB
	}
	a.unresolved = append(a.unresolved, u)
}

// dropResolved forgets orders that can no longer be carried out.
func (a *Account) dropResolved(now time.Time) {
	a.unresolved = slices.DeleteFunc(a.unresolved, func(u unresolved) bool {
		return now.After(u.until) || a.Synced && u.order.Expected < a.Sequence
	})
}

// Use takes in what one entry host sends to a model or to one of its adapters.
func (a *Account) Use(now time.Time, host string, u model.Usage) {
	r := a.Models[u.Key.Model]
	if r == nil {
		return
	}
	r.LastUsed = now
	r.rate = r.Rate(now) + float64(u.Requests)/rateDecay.Seconds()
	r.rateAt = now
	if u.Adapter == "" {
		r.usage[host] = usage{running: u.Running, at: now}
		return
	}
	if adapter := r.Adapters[u.Adapter]; adapter != nil {
		adapter.LastUsed = now
		adapter.usage[host] = usage{running: u.Running, at: now}
	}
}

func running(now time.Time, uses map[string]usage) int {
	total := 0
	for _, u := range uses {
		if now.Sub(u.at) < usageExpiry {
			total += u.running
		}
	}
	return total
}

// Rate returns the requests a second that the model got lately.
func (r *Resident) Rate(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.rateAt).Seconds()/rateDecay.Seconds())
}

// Rate returns the requests a second that the backend server got lately.
func (a *Account) Rate(now time.Time) float64 {
	total := 0.0
	for _, r := range a.Models {
		total += r.Rate(now)
	}
	return total
}

// ToSpread returns the model that should be loaded elsewhere as well, because the backend server gets more requests
// than it can begin without pauses in its streams.
func (a *Account) ToSpread(now time.Time) (name string, found bool) {
	if a.Rate(now) < SpreadRate {
		return "", false
	}
	best := 0.0
	for _, n := range slices.Sorted(maps.Keys(a.Models)) {
		if r := a.Models[n]; r.State == Loaded && r.Rate(now) > best {
			name, best = n, r.Rate(now)
		}
	}
	return name, best >= SpreadRate/2
}

// Running returns the requests that use the model, with or without an adapter.
func (r *Resident) Running(now time.Time) int {
	total := running(now, r.usage)
	for _, adapter := range r.Adapters {
		total += running(now, adapter.usage)
	}
	return total
}
