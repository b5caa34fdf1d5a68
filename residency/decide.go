package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of decisions.
const (
	// wantExpiry forgets a want that nobody renewed; those who wait renew it at least every second.
	wantExpiry = 2 * time.Second
	// conflictPause is the time until a refused order may be tried again.
	conflictPause = 100 * time.Millisecond
	// busyVictimWait is the expected time until the runs of a model that has to make way have ended.
	busyVictimWait = 3500 * time.Millisecond
	// adapterUse is how recently an adapter must have been used for its backend server to be expected to need others.
	adapterUse = 3 * time.Second
	// queueShare is the expected time that each want ahead takes.
	queueShare = 900 * time.Millisecond
)

// Source is where the weights of a load come from.
type Source int

// Sources, the fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// Step is what the owner should do next for a backend server.
type Step struct {
	Order  *Order
	Source Source // of a Load
}

// Status is the answer to a want.
type Status struct {
	Ready  bool
	Wait   time.Duration // expected time until it is ready
	Reason string        // why it can't be had here, empty otherwise
}

// Want notes that a request waits for a model or adapter and tells how far it is.
func (a *Account) Want(now time.Time, name, adapter string) Status {
	if _, known := a.Spec.Models[name]; !known {
		return Status{Reason: "no such model"}
	}
	if status, settled := a.status(now, name, adapter); settled {
		return status
	}
	if a.Failing {
		return Status{Reason: "the backend server does not answer"}
	}
	for _, w := range a.wants {
		if w.model == name && w.adapter == adapter {
			w.until = now.Add(wantExpiry)
			return Status{Wait: a.expected(now, name, adapter)}
		}
	}
	a.wants = append(a.wants, &want{model: name, adapter: adapter, until: now.Add(wantExpiry)})
	return Status{Wait: a.expected(now, name, adapter)}
}

// Peek tells how far a want is without renewing it.
func (a *Account) Peek(now time.Time, name, adapter string) Status {
	if status, settled := a.status(now, name, adapter); settled {
		return status
	}
	return Status{Wait: a.expected(now, name, adapter)}
}

// expected returns the expected time until a want is met.
func (a *Account) expected(now time.Time, name, adapter string) time.Duration {
	if adapter == "" {
		return a.Offer(now, name)
	}
	return a.underWay(now) + AdapterLoad
}

// underWay returns the expected time until the model orders under way have ended. No other order is taken until then.
func (a *Account) underWay(now time.Time) time.Duration {
	var wait time.Duration
	for _, r := range a.Models {
		if r.State != Loaded {
			wait = max(wait, reportLag/3, r.Expected.Sub(now))
		}
	}
	return wait
}

// usesAdapters reports whether requests with adapters come to the backend server, which wait while a model is loaded.
func (a *Account) usesAdapters(now time.Time) bool {
	for _, r := range a.Models {
		for _, adapter := range r.Adapters {
			if now.Sub(adapter.LastUsed) < adapterUse {
				return true
			}
		}
	}
	return false
}

// Lacks reports whether the model is surely not loaded here and nobody waits for it.
func (a *Account) Lacks(name string) bool {
	r := a.Models[name]
	return a.Synced && (r == nil || r.State == Unloading) && !a.isWanted(name, "")
}

// WantsFetch reports whether a want can only be met by a load from the weight store.
func (a *Account) WantsFetch() bool {
	return a.Synced && a.inFlight == nil && !a.orderUnderWay() && slices.ContainsFunc(a.wants, func(w *want) bool {
		return w.adapter == "" && a.Models[w.model] == nil && a.SourceOf(w.model) == FromStore
	})
}

// status tells whether a want is met, as far as that is known.
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
	held := r.Adapters[adapter]
	if held == nil {
		return Status{}, false
	}
	r.LastUsed, held.LastUsed = now, now
	if wait := held.ReadyAt.Sub(now); wait > 0 {
		return Status{Wait: wait}, true
	}
	return Status{Ready: true}, true
}

// SourceOf tells where the weights of a model would come from.
func (a *Account) SourceOf(name string) Source {
	switch {
	case a.InMemory[name]:
		return FromMemory
	case a.OnDisk[name]:
		return FromDisk
	}
	return FromStore
}

// LoadTime returns the expected time of a load.
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

// Offer returns the expected time until the model could be used here.
func (a *Account) Offer(now time.Time, name string) time.Duration {
	if r := a.Models[name]; a.Synced && r != nil && r.State != Unloading {
		if r.State == Loaded {
			return 0
		}
		return max(reportLag/3, r.Expected.Sub(now))
	}
	wait := a.LoadTime(name)
	if held := a.notBefore.Sub(now); held > 0 {
		wait += held
	}
	if a.usesAdapters(now) {
		wait += a.LoadTime(name)
	}
	wait += a.underWay(now)
	for _, w := range a.wants {
		if w.adapter == "" && w.model != name {
			wait += queueShare
		}
	}
	if a.fits(a.Spec.Models[name].MB, 0) {
		return wait
	}
	if victim, idle := a.modelVictim(now); victim == "" || !idle {
		wait += busyVictimWait
	}
	return wait
}

// Next returns the next order, if one should be sent now.
func (a *Account) Next(now time.Time, mayFetch bool) (Step, bool) {
	a.wants = slices.DeleteFunc(a.wants, func(w *want) bool { return now.After(w.until) || a.isMet(w) })
	a.dropResolved(now)
	if !a.Synced || a.inFlight != nil || now.Before(a.notBefore) || a.orderUnderWay() {
		return Step{}, false
	}
	for _, w := range a.wants {
		if w.adapter == "" {
			continue
		}
		if step, ok := a.nextAdapter(now, w); ok {
			return step, true
		}
	}
	for _, w := range a.wants {
		if a.Models[w.model] != nil {
			continue
		}
		if step, ok := a.nextLoad(now, w, mayFetch); ok {
			return step, true
		}
	}
	return Step{}, false
}

func (a *Account) isMet(w *want) bool {
	r := a.Models[w.model]
	if r == nil || r.State != Loaded {
		return false
	}
	return w.adapter == "" || r.Adapters[w.adapter] != nil
}

// nextAdapter loads an adapter, or first unloads the one that was used least recently.
func (a *Account) nextAdapter(now time.Time, w *want) (Step, bool) {
	r := a.Models[w.model]
	if r == nil || r.State != Loaded || a.pendingAdapters(now) >= maxPendingAdapters {
		return Step{}, false
	}
	if a.fits(a.Spec.Models[w.model].AdapterMB, 1) {
		return Step{Order: a.order(LoadAdapter, w.model, w.adapter)}, true
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

// adapterVictim returns the idle adapter that was used least recently.
func (a *Account) adapterVictim(now time.Time) (name, adapter string) {
	var oldest time.Time
	for _, m := range slices.Sorted(maps.Keys(a.Models)) {
		r := a.Models[m]
		for _, n := range slices.Sorted(maps.Keys(r.Adapters)) {
			held := r.Adapters[n]
			if r.State != Loaded || running(now, held.usage) > 0 || held.ReadyAt.After(now) || a.isWanted(m, n) {
				continue
			}
			if adapter == "" || held.LastUsed.Before(oldest) {
				name, adapter, oldest = m, n, held.LastUsed
			}
		}
	}
	return name, adapter
}

// nextLoad loads a model, or first unloads one that makes room.
func (a *Account) nextLoad(now time.Time, w *want, mayFetch bool) (Step, bool) {
	source := a.SourceOf(w.model)
	if source == FromStore && !mayFetch {
		return Step{}, false
	}
	if a.fits(a.Spec.Models[w.model].MB, 0) {
		return Step{Order: a.order(Load, w.model, ""), Source: source}, true
	}
	victim, _ := a.modelVictim(now)
	if victim == "" || !a.fits(-a.Models[victim].MB, 0) {
		return Step{}, false
	}
	return Step{Order: a.order(Unload, victim, "")}, true
}

// modelVictim returns the model to unload: an idle one that was used least recently, else the one with the fewest runs.
func (a *Account) modelVictim(now time.Time) (victim string, idle bool) {
	type candidate struct {
		name    string
		running int
		used    time.Time
	}
	var candidates []candidate
	for _, name := range slices.Sorted(maps.Keys(a.Models)) {
		r := a.Models[name]
		settling := now.Sub(r.Since) < settleTime && !r.LastUsed.After(r.Since)
		if r.State != Loaded || settling || a.hasWant(name) {
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

func (a *Account) isWanted(name, adapter string) bool {
	return slices.ContainsFunc(a.wants, func(w *want) bool {
		return w.model == name && w.adapter == adapter
	})
}

// hasWant reports whether something waits for the model or for one of its adapters.
func (a *Account) hasWant(name string) bool {
	return slices.ContainsFunc(a.wants, func(w *want) bool { return w.model == name })
}

func (a *Account) order(kind Kind, name, adapter string) *Order {
	return &Order{Kind: kind, Model: name, Adapter: adapter, Expected: a.Sequence}
}

// Sent notes that an order is on its way.
func (a *Account) Sent(o Order) { a.inFlight = &o }

// Answered takes in what became of the order that was sent.
func (a *Account) Answered(now time.Time, o Order, answer Answer) {
	if a.inFlight == nil || *a.inFlight != o {
		return // the backend server was reborn meanwhile, which kept the order as unresolved
	}
	a.inFlight = nil
	a.Failing = answer == Unsent || answer == Unanswered || answer == OtherLife
	switch answer {
	case Accepted:
		a.carryOut(now, o)
		if o.Kind == UnloadAdapter {
			a.resync(now) // it goes when its runs have ended, and takes its slot until then
		}
	case AlreadyHolds:
		a.alreadyHolds(now, o)
	case Unanswered:
		a.unresolve(now, o)
		a.resync(now)
	default:
		a.resync(now)
	}
}

// resync asks for a report that is surely newer than now before the next order.
func (a *Account) resync(now time.Time) {
	a.Synced = false
	a.reportAt = now.Add(reportLag)
	a.NotBefore(now.Add(conflictPause))
}

// alreadyHolds handles an order that needed no time: an idle adapter is unloaded at once.
func (a *Account) alreadyHolds(now time.Time, o Order) {
	if o.Kind == UnloadAdapter {
		a.carryOut(now, o)
		return
	}
	a.resync(now)
}

// carryOut changes the account as the accepted order changes the backend server.
func (a *Account) carryOut(now time.Time, o Order) {
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
			r.Expected = now.Add(busyVictimWait)
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
