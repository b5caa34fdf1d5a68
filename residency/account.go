package residency

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"citronspread/model"
)

const (
	// maxOrderDelay is how long an unanswered order may still be carried out: 12 s and a margin.
	maxOrderDelay = 14 * time.Second
	// reportLag is the maximum age of a report. The platform describes it as a few hundred milliseconds.
	reportLag = 300 * time.Millisecond
	// usageTTL is how long the usage reported by an entry host counts. Hosts report every second.
	usageTTL = 3 * time.Second
	// evictionGrace is how long a newly loaded model is protected from eviction, so that the request that it was loaded
	// for finds it.
	evictionGrace = 1500 * time.Millisecond
	// AdapterLoad is the time from an order to load an adapter until requests may use it: twice the usual fetch time.
	AdapterLoad = 20 * time.Millisecond
	// maxPendingAdapters limits the adapters that one backend server loads at a time.
	maxPendingAdapters = 4
	// rateDecay is the time constant of the request rate. It spans a few usage reports.
	rateDecay = 2 * time.Second
	// SpreadRate is the request rate of a backend server, per second, from which its busiest model is also loaded
	// elsewhere. Processing a prompt of 1,500 tokens stops all streams for about 70 ms.
	SpreadRate = 2.0
	// maxMissingReports is the number of reports without a model after which its load counts as failed.
	maxMissingReports = 3
)

// State is the state of a model on a backend server.
type State int

const (
	Loading State = iota
	Loaded
	Unloading
)

// Resident is a model that is loaded, being loaded or being unloaded on a backend server.
type Resident struct {
	State    State
	MB       float64
	Since    time.Time // when the state began
	Expected time.Time // when the order in progress should be complete
	LastUsed time.Time
	Adapters map[string]*ResidentAdapter
	usage    map[string]usage // by entry host
	missing  int              // consecutive reports that do not list the model
	rate     float64          // requests per second, as of rateAt
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

// Account is the owner's record of what is loaded on a backend server. Only orders of the owner change what is loaded,
// and each order names the sequence number that it expects, so the account stays exact once it agrees with a report.
type Account struct {
	Backend  string
	Life     model.BackendIncarnation
	Spec     *model.EngineSpec
	Synced   bool // the account is known to be exact at Sequence
	Sequence int64
	Models   map[string]*Resident
	InMemory map[string]bool // models whose weights are cached in the backend server's main memory
	OnDisk   map[string]bool // models whose weights are cached on the backend server's disk

	demands    []*demand
	inFlight   *Order // sent, without a response so far
	unresolved []unresolvedOrder
	reportAt   time.Time // when to request the next report; zero for never
	notBefore  time.Time // earliest time of the next order
	Failing    bool      // the latest call failed or another incarnation responded
}

// demand is a model or adapter that requests wait for.
type demand struct {
	model   string
	adapter string
	until   time.Time // expiry, unless renewed
}

// NewAccount returns an account that returns no orders until it has observed its first report.
func NewAccount(now time.Time, backend string, incarnation model.BackendIncarnation, spec *model.EngineSpec) *Account {
	return &Account{
		Backend: backend, Life: incarnation, Spec: spec, reportAt: now,
		Models: make(map[string]*Resident), InMemory: make(map[string]bool), OnDisk: make(map[string]bool),
	}
}

// ResetForIncarnation resets the account for a new incarnation of the backend server. Unanswered orders are still
// tracked, because they may reach the new incarnation.
func (a *Account) ResetForIncarnation(now time.Time, incarnation model.BackendIncarnation) {
	if a.inFlight != nil {
		a.addUnresolved(now, *a.inFlight)
		a.inFlight = nil
	}
	a.Life = incarnation
	a.Synced, a.Sequence, a.reportAt = false, 0, now
	a.Models = make(map[string]*Resident)
	a.InMemory = make(map[string]bool)
}

// NotBefore delays orders until the given time, for example until the previous owner has certainly stopped sending
// orders.
func (a *Account) NotBefore(at time.Time) {
	if at.After(a.notBefore) {
		a.notBefore = at
	}
}

// ReportDue reports whether a report should be requested now.
func (a *Account) ReportDue(now time.Time) bool {
	return !a.reportAt.IsZero() && !now.Before(a.reportAt)
}

// ReportRequested records that a report was requested and schedules the next request.
func (a *Account) ReportRequested(now time.Time) {
	a.reportAt = now.Add(reportLag)
}

// ReportFailed records that a requested report did not arrive.
func (a *Account) ReportFailed() { a.Failing = true }

// ApplyReport updates the account from a report.
func (a *Account) ApplyReport(now time.Time, report model.BackendReport) {
	a.reportAt, a.Failing = time.Time{}, false
	if report.Life.Born != a.Life.Born && report.Life.Born != 0 && a.Life.Born != 0 {
		a.ResetForIncarnation(now, report.Life)
	}
	switch {
	case report.Sequence < a.Sequence:
		a.reportAt = now.Add(reportLag) // the report is older than the account
	case a.inFlight != nil && report.Sequence != a.Sequence:
		a.reportAt = now.Add(reportLag) // the report includes the order in flight; its response updates the account
	case !a.Synced || report.Sequence > a.Sequence:
		a.adopt(now, report)
	default:
		a.reconcile(now, report)
	}
	a.updateCachedWeights(report)
	a.dropResolved(now)
	if a.orderInProgress() && a.reportAt.IsZero() {
		a.reportAt = now.Add(reportLag / 3)
	}
}

// adopt replaces the models of the account with those of a report.
func (a *Account) adopt(now time.Time, report model.BackendReport) {
	if report.Busy {
		a.reportAt = now.Add(reportLag)
		return
	}
	old := a.Models
	a.Models = make(map[string]*Resident, len(report.Models))
	for _, listedModel := range report.Models {
		r := a.newResident(now, listedModel.Name, Loaded)
		r.Since = time.Time{} // an earlier owner loaded it
		if previous := old[listedModel.Name]; previous != nil {
			r.Since, r.LastUsed, r.usage = previous.Since, previous.LastUsed, previous.usage
		}
		for _, adapter := range listedModel.Adapters {
			r.Adapters[adapter] = a.newAdapter(now, listedModel.Name)
		}
		a.Models[listedModel.Name] = r
	}
	for _, p := range report.Pending {
		if r := a.Models[p.Model]; r != nil {
			r.Adapters[p.Adapter] = a.newAdapter(now, p.Model)
		}
	}
	a.Synced, a.Sequence = true, report.Sequence
}

// reconcile resolves the order in progress from a report with the same sequence number.
func (a *Account) reconcile(now time.Time, report model.BackendReport) {
	listed := make(map[string]bool, len(report.Models))
	for _, listedModel := range report.Models {
		listed[listedModel.Name] = true
	}
	for name, r := range a.Models {
		switch {
		case r.State == Loading && listed[name]:
			a.loaded(now, name, r)
		case r.State == Loading && !report.Busy && now.After(r.Expected):
			if r.missing++; r.missing >= maxMissingReports {
				a.Synced, a.reportAt = false, now.Add(reportLag)
			}
		case r.State == Unloading && !listed[name] && !report.Busy:
			delete(a.Models, name)
		}
	}
}

func (a *Account) loaded(now time.Time, name string, r *Resident) {
	r.State, r.Since, r.missing = Loaded, now, 0
	r.LastUsed = now
	a.InMemory[name], a.OnDisk[name] = true, true
}

// updateCachedWeights updates where weights are cached. A report that lists none changes nothing.
func (a *Account) updateCachedWeights(report model.BackendReport) {
	if len(report.InMemory) == 0 && len(report.OnDisk) == 0 {
		return
	}
	a.InMemory, a.OnDisk = setOf(report.InMemory), setOf(report.OnDisk)
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

// orderInProgress reports whether a model is being loaded or unloaded.
func (a *Account) orderInProgress() bool {
	for _, r := range a.Models {
		if r.State != Loaded {
			return true
		}
	}
	return false
}

// usedMB returns the memory that models and adapters take.
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

// usedSlots returns the number of adapter slots in use.
func (a *Account) usedSlots() int {
	total := 0
	for _, r := range a.Models {
		total += len(r.Adapters)
	}
	return total
}

// unresolvedMB returns the memory that unanswered orders may still take after the next order has been accepted.
// Orders that expect the current or an earlier sequence number do not count, because the backend server will then
// reject them.
func (a *Account) unresolvedMB() float64 {
	total := 0.0
	for _, u := range a.unresolved {
		if u.order.Expected > a.Sequence {
			total += u.mb
		}
	}
	return total
}

// unresolvedSlots returns the number of adapter slots that unanswered orders may still take after the next order.
func (a *Account) unresolvedSlots() int {
	total := 0
	for _, u := range a.unresolved {
		if u.order.Kind == LoadAdapter && u.order.Expected > a.Sequence {
			total++
		}
	}
	return total
}

// fits reports whether mb more megabytes and slots more adapters fit, even if unanswered orders are carried out later.
func (a *Account) fits(mb float64, slots int) bool {
	return a.usedMB()+a.unresolvedMB()+mb <= a.Spec.WeightMB && a.usedSlots()+a.unresolvedSlots()+slots <= a.Spec.AdapterSlots
}

// Check returns an InvariantError if the memory or the adapter slots are overcommitted.
func (a *Account) Check() error {
	if !a.Synced {
		return nil
	}
	if used := a.usedMB(); used > a.Spec.WeightMB {
		return &InvariantError{Backend: a.Backend, Detail: fmt.Sprintf("models and adapters take %.0f MB, limit %.0f MB", used, a.Spec.WeightMB)}
	}
	if used := a.usedSlots(); used > a.Spec.AdapterSlots {
		return &InvariantError{Backend: a.Backend, Detail: fmt.Sprintf("%d adapter slots used, limit %d", used, a.Spec.AdapterSlots)}
	}
	return nil
}

func (a *Account) addUnresolved(now time.Time, o Order) {
	u := unresolvedOrder{order: o, until: now.Add(maxOrderDelay)}
	switch o.Kind {
	case Load:
		u.mb = a.Spec.Models[o.Model].MB
	case LoadAdapter:
		u.mb = a.Spec.Models[o.Model].AdapterMB
	}
	a.unresolved = append(a.unresolved, u)
}

// dropResolved removes unanswered orders that can no longer be carried out.
func (a *Account) dropResolved(now time.Time) {
	a.unresolved = slices.DeleteFunc(a.unresolved, func(u unresolvedOrder) bool {
		return now.After(u.until) || a.Synced && u.order.Expected < a.Sequence
	})
}

// RecordUsage records the usage of a model or of one of its adapters that an entry host reported.
func (a *Account) RecordUsage(now time.Time, host string, u model.Usage) {
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

func running(now time.Time, usages map[string]usage) int {
	total := 0
	for _, u := range usages {
		if now.Sub(u.at) < usageTTL {
			total += u.running
		}
	}
	return total
}

// Rate returns the recent request rate of the model, in requests per second.
func (r *Resident) Rate(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.rateAt).Seconds()/rateDecay.Seconds())
}

// Rate returns the recent request rate of the backend server, in requests per second.
func (a *Account) Rate(now time.Time) float64 {
	total := 0.0
	for _, r := range a.Models {
		total += r.Rate(now)
	}
	return total
}

// ToSpread returns a model that should also be loaded elsewhere, because the backend server receives more requests
// than it can start without pauses in its streams.
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

// Running returns the number of running requests of the model, with or without an adapter.
func (r *Resident) Running(now time.Time) int {
	total := running(now, r.usage)
	for _, adapter := range r.Adapters {
		total += running(now, adapter.usage)
	}
	return total
}
