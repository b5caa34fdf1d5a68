package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// demandTTL is how long a demand counts without renewal. Waiting requests renew it at least every second.
	demandTTL = 2 * time.Second
	// conflictBackoff is the minimum delay between a refused or failed order and the next one.
	conflictBackoff = 100 * time.Millisecond
	// busyEvictionWait is the expected time until the running requests of a model to be evicted have ended.
	busyEvictionWait = 3500 * time.Millisecond
	// recentAdapterUse is how recently an adapter must have been used for more requests with adapters to be expected.
	recentAdapterUse = 3 * time.Second
	// waitPerDemand is the expected time that each earlier demand takes.
	waitPerDemand = 900 * time.Millisecond
)

// Source is where the weights of a load are read from.
type Source int

// Sources, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// Step is the next order for a backend server.
type Step struct {
	Order  *Order
	Source Source // for Load orders
}

// Status describes how soon a requested model or adapter can be used.
type Status struct {
	Ready  bool
	Wait   time.Duration // expected time until it is ready
	Reason string        // why it cannot be loaded here; empty otherwise
}

// AddDemand records or renews the demand for a model or adapter and returns its status.
func (a *Account) AddDemand(now time.Time, name, adapter string) Status {
	if _, known := a.Spec.Models[name]; !known {
		return Status{Reason: "no such model"}
	}
	if status, known := a.status(now, name, adapter); known {
		return status
	}
	if a.Failing {
		return Status{Reason: "the backend server does not answer"}
	}
	for _, d := range a.demands {
		if d.model == name && d.adapter == adapter {
			d.until = now.Add(demandTTL)
			return Status{Wait: a.expected(now, name, adapter)}
		}
	}
	a.demands = append(a.demands, &demand{model: name, adapter: adapter, until: now.Add(demandTTL)})
	return Status{Wait: a.expected(now, name, adapter)}
}

// DemandStatus returns the status of a model or adapter without adding or renewing a demand.
func (a *Account) DemandStatus(now time.Time, name, adapter string) Status {
	if status, known := a.status(now, name, adapter); known {
		return status
	}
	return Status{Wait: a.expected(now, name, adapter)}
}

// expected returns the expected time until the model or adapter can be used.
func (a *Account) expected(now time.Time, name, adapter string) time.Duration {
	if adapter == "" {
		return a.Offer(now, name)
	}
	return a.remainingOrderTime(now) + AdapterLoad
}

// remainingOrderTime returns the expected time until the model loads and unloads in progress are complete.
// The backend server accepts no other order until then.
func (a *Account) remainingOrderTime(now time.Time) time.Duration {
	var wait time.Duration
	for _, r := range a.Models {
		if r.State != Loaded {
			wait = max(wait, reportLag/3, r.Expected.Sub(now))
		}
	}
	return wait
}

// usesAdapters reports whether adapters were used recently. Requests with adapters wait while a model is being loaded.
func (a *Account) usesAdapters(now time.Time) bool {
	for _, r := range a.Models {
		for _, adapter := range r.Adapters {
			if now.Sub(adapter.LastUsed) < recentAdapterUse {
				return true
			}
		}
	}
	return false
}

// IsAbsent reports whether the model is known not to be loaded here and no request waits for it.
func (a *Account) IsAbsent(name string) bool {
	r := a.Models[name]
	return a.Synced && (r == nil || r.State == Unloading) && !a.hasDemandFor(name, "")
}

// NeedsWeightLoad reports whether the account is ready for an order and a demand needs a load from the weight store.
func (a *Account) NeedsWeightLoad() bool {
	return a.Synced && a.inFlight == nil && !a.orderInProgress() && slices.ContainsFunc(a.demands, func(d *demand) bool {
		return d.adapter == "" && a.Models[d.model] == nil && a.SourceOf(d.model) == FromStore
	})
}

// status returns the status of a model or adapter and true if the account lists it as loaded, else false.
func (a *Account) status(now time.Time, name, adapter string) (Status, bool) {
	r := a.Models[name]
	if !a.Synced || r == nil {
		return Status{}, false
	}
	if r.State != Loaded {
		return Status{}, false
	}
	if adapter == "" {
		r.LastUsed = now
		return Status{Ready: true}, true
	}
	resident := r.Adapters[adapter]
	if resident == nil {
		return Status{}, false
	}
	r.LastUsed, resident.LastUsed = now, now
	if wait := resident.ReadyAt.Sub(now); wait > 0 {
		return Status{Wait: wait}, true
	}
	return Status{Ready: true}, true
}

// SourceOf returns where the weights of a model would be read from.
func (a *Account) SourceOf(name string) Source {
	switch {
	case a.InMemory[name]:
		return FromMemory
	case a.OnDisk[name]:
		return FromDisk
	}
	return FromStore
}

// LoadTime returns the expected duration of a load.
func (a *Account) LoadTime(name string) time.Duration {
	spec := a.Spec.Models[name]
	switch a.SourceOf(name) {
	case FromMemory:
		return spec.MemoryLoad
	case FromDisk:
		return spec.DiskLoad
	}
	return spec.ColdLoad
}

// Offer returns the expected time until the model could be used on this backend server.
func (a *Account) Offer(now time.Time, name string) time.Duration {
	if r := a.Models[name]; a.Synced && r != nil && r.State != Unloading {
		if r.State == Loaded {
			return 0
		}
		return max(reportLag/3, r.Expected.Sub(now))
	}
	wait := a.LoadTime(name)
	if delay := a.notBefore.Sub(now); delay > 0 {
		wait += delay
	}
	if a.usesAdapters(now) {
		wait += a.LoadTime(name)
	}
	wait += a.remainingOrderTime(now)
	for _, d := range a.demands {
		if d.adapter == "" && d.model != name {
			wait += waitPerDemand
		}
	}
	if a.fits(a.Spec.Models[name].MB, 0) {
		return wait
	}
	if victim, idle := a.modelVictim(now); victim == "" || !idle {
		wait += busyEvictionWait
	}
	return wait
}

// NeedsFetch reports whether a load of the model would read from the weight store.
func (a *Account) NeedsFetch(name string) bool {
	return a.Synced && a.Models[name] == nil && a.SourceOf(name) == FromStore
}

// Next returns the next order, if one should be sent now. A load reads from the weight store only if mayFetch is true.
func (a *Account) Next(now time.Time, mayFetch bool) (Step, bool) {
	a.demands = slices.DeleteFunc(a.demands, func(d *demand) bool { return now.After(d.until) || a.isMet(d) })
	a.dropResolved(now)
	if !a.Synced || a.inFlight != nil || now.Before(a.notBefore) || a.orderInProgress() {
		return Step{}, false
	}
	for _, d := range a.demands {
		if d.adapter == "" {
			continue
		}
		if step, ok := a.nextAdapter(now, d); ok {
			return step, true
		}
	}
	for _, d := range a.demands {
		if a.Models[d.model] != nil {
			continue
		}
		if step, ok := a.nextLoad(now, d, mayFetch); ok {
			return step, true
		}
	}
	return Step{}, false
}

func (a *Account) isMet(d *demand) bool {
	r := a.Models[d.model]
	if r == nil || r.State != Loaded {
		return false
	}
	return d.adapter == "" || r.Adapters[d.adapter] != nil
}

// nextAdapter returns the order that loads an adapter, or that first unloads the least recently used one.
func (a *Account) nextAdapter(now time.Time, d *demand) (Step, bool) {
	r := a.Models[d.model]
	if r == nil || r.State != Loaded || a.pendingAdapters(now) >= maxPendingAdapters {
		return Step{}, false
	}
	if a.fits(a.Spec.Models[d.model].AdapterMB, 1) {
		return Step{Order: a.order(LoadAdapter, d.model, d.adapter)}, true
	}
	name, adapter := a.adapterVictim(now)
	if adapter == "" || !a.fits(-a.Spec.Models[name].AdapterMB, -1) {
		return Step{}, false
	}
	return Step{Order: a.order(UnloadAdapter, name, adapter)}, true
}

func (a *Account) pendingAdapters(now time.Time) int {
	pending := 0
	for _, r := range a.Models {
		for _, adapter := range r.Adapters {
			if adapter.ReadyAt.After(now) {
				pending++
			}
		}
	}
	return pending
}

// adapterVictim returns the least recently used idle adapter.
func (a *Account) adapterVictim(now time.Time) (name, adapter string) {
	var oldest time.Time
	for _, m := range slices.Sorted(maps.Keys(a.Models)) {
		r := a.Models[m]
		for _, n := range slices.Sorted(maps.Keys(r.Adapters)) {
			resident := r.Adapters[n]
			if r.State != Loaded || running(now, resident.usage) > 0 || resident.ReadyAt.After(now) || a.hasDemandFor(m, n) {
				continue
			}
			if adapter == "" || resident.LastUsed.Before(oldest) {
				name, adapter, oldest = m, n, resident.LastUsed
			}
		}
	}
	return name, adapter
}

// nextLoad returns the order that loads a model, or that first unloads another one to free memory.
func (a *Account) nextLoad(now time.Time, d *demand, mayFetch bool) (Step, bool) {
	source := a.SourceOf(d.model)
	if source == FromStore && !mayFetch {
		return Step{}, false
	}
	if a.fits(a.Spec.Models[d.model].MB, 0) {
		return Step{Order: a.order(Load, d.model, ""), Source: source}, true
	}
	victim, _ := a.modelVictim(now)
	if victim == "" || !a.fits(-a.Models[victim].MB, 0) {
		return Step{}, false
	}
	return Step{Order: a.order(Unload, victim, "")}, true
}

// modelVictim returns the model to evict: the least recently used idle one, else the one with the fewest running
// requests.
func (a *Account) modelVictim(now time.Time) (victim string, idle bool) {
	type candidate struct {
		name    string
		running int
		used    time.Time
	}
	var candidates []candidate
	for _, name := range slices.Sorted(maps.Keys(a.Models)) {
		r := a.Models[name]
		inGrace := now.Sub(r.Since) < evictionGrace && !r.LastUsed.After(r.Since)
		if r.State != Loaded || inGrace || a.hasAnyDemand(name) {
			continue
		}
		candidates = append(candidates, candidate{name: name, running: r.Running(now), used: r.LastUsed})
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.running, y.running), x.used.Compare(y.used))
	})
	return best.name, best.running == 0
}

func (a *Account) hasDemandFor(name, adapter string) bool {
	return slices.ContainsFunc(a.demands, func(d *demand) bool {
		return d.model == name && d.adapter == adapter
	})
}

// hasAnyDemand reports whether a request waits for the model or for one of its adapters.
func (a *Account) hasAnyDemand(name string) bool {
	return slices.ContainsFunc(a.demands, func(d *demand) bool { return d.model == name })
}

func (a *Account) order(kind Kind, name, adapter string) *Order {
	return &Order{Kind: kind, Model: name, Adapter: adapter, Expected: a.Sequence}
}

// Sent records the order in flight.
func (a *Account) Sent(o Order) { a.inFlight = &o }

// Answered updates the account with the outcome of the order in flight.
func (a *Account) Answered(now time.Time, o Order, answer Answer) {
	if a.inFlight == nil || *a.inFlight != o {
		return // the backend server restarted since; ResetForIncarnation recorded the order as unresolved
	}
	a.inFlight = nil
	a.Failing = answer == Unsent || answer == Unanswered || answer == OtherIncarnation
	switch answer {
	case Accepted:
		a.apply(now, o)
		if o.Kind == UnloadAdapter {
			a.resync(now) // the adapter takes its slot until its running requests have ended
		}
	case AlreadyDone:
		a.alreadyDone(now, o)
	case Unanswered:
		a.addUnresolved(now, o)
		a.resync(now)
	default:
		a.resync(now)
	}
}

// resync requires a report before the next order. The delay makes certain that the report is newer than now.
func (a *Account) resync(now time.Time) {
	a.Synced = false
	a.reportAt = now.Add(reportLag)
	a.NotBefore(now.Add(conflictBackoff))
}

// alreadyDone handles an order that was complete at once. For UnloadAdapter, an idle adapter was unloaded.
func (a *Account) alreadyDone(now time.Time, o Order) {
	if o.Kind == UnloadAdapter {
		a.apply(now, o)
		return
	}
	a.resync(now)
}

// apply applies an accepted order to the account.
func (a *Account) apply(now time.Time, o Order) {
	a.Sequence++
	switch o.Kind {
	case Load:
		r := a.newResident(now, o.Model, Loading)
		r.Expected = now.Add(a.LoadTime(o.Model))
		a.Models[o.Model] = r
		a.reportAt = r.Expected
	case Unload:
		r := a.Models[o.Model]
		r.State, r.Since, r.Expected = Unloading, now, now
		if r.Running(now) > 0 {
			r.Expected = now.Add(busyEvictionWait)
		}
		a.reportAt = now.Add(reportLag / 3)
	case LoadAdapter:
		if r := a.Models[o.Model]; r != nil {
			r.Adapters[o.Adapter] = a.newAdapter(now, o.Model)
			r.Adapters[o.Adapter].ReadyAt = now.Add(AdapterLoad)
		}
	case UnloadAdapter:
		if r := a.Models[o.Model]; r != nil {
			delete(r.Adapters, o.Adapter)
		}
	}
	a.dropResolved(now)
}
