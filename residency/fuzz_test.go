package residency

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/model"
)

// engineOracle simulates a backend server. It carries out orders at once or late and fails the test when memory or
// adapter slots are overcommitted.
type engineOracle struct {
	spec        *model.EngineSpec
	incarnation model.BackendIncarnation
	sequence    int64
	models      map[string]map[string]bool
	busyUntil   time.Time
	lateOrders  []lateOrder
}

type lateOrder struct {
	order Order
	at    time.Time
}

func (e *engineOracle) restart() {
	e.incarnation.Born++
	e.sequence = 0
	e.models = make(map[string]map[string]bool)
	e.busyUntil = time.Time{}
}

func (e *engineOracle) order(t *rapid.T, now time.Time, o Order) Answer {
	if now.Before(e.busyUntil) || o.Expected != e.sequence {
		return Conflict
	}
	loadedAdapters, loaded := e.models[o.Model]
	switch {
	case o.Kind == Load && loaded, o.Kind == Unload && !loaded, o.Kind == LoadAdapter && loadedAdapters[o.Adapter], o.Kind == UnloadAdapter && !loadedAdapters[o.Adapter]:
		return AlreadyDone
	case o.Kind == LoadAdapter && !loaded:
		return Invalid
	}
	e.sequence++
	switch o.Kind {
	case Load:
		e.models[o.Model] = make(map[string]bool)
		e.busyUntil = now.Add(e.spec.Models[o.Model].DiskLoad)
	case Unload:
		delete(e.models, o.Model)
	case LoadAdapter:
		loadedAdapters[o.Adapter] = true
	case UnloadAdapter:
		delete(loadedAdapters, o.Adapter)
	}
	e.checkCapacity(t)
	if o.Kind == UnloadAdapter {
		return AlreadyDone
	}
	return Accepted
}

// checkCapacity fails the test if the memory or the adapter slots are overcommitted.
func (e *engineOracle) checkCapacity(t *rapid.T) {
	mb, adapters := 0.0, 0
	for name, loadedAdapters := range e.models {
		mb += e.spec.Models[name].MB + float64(len(loadedAdapters))*e.spec.Models[name].AdapterMB
		adapters += len(loadedAdapters)
	}
	if mb > e.spec.WeightMB || adapters > e.spec.AdapterSlots {
		t.Fatalf("got %.0f MB and %d adapters, want at most %.0f MB and %d", mb, adapters, e.spec.WeightMB, e.spec.AdapterSlots)
	}
}

func (e *engineOracle) report(now time.Time) model.BackendReport {
	report := model.BackendReport{Life: e.incarnation, Sequence: e.sequence, Busy: now.Before(e.busyUntil)}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		report.Models = append(report.Models, model.ReportedModel{Name: name, Adapters: slices.Sorted(maps.Keys(e.models[name]))})
	}
	return report
}

func (e *engineOracle) applyLate(t *rapid.T, now time.Time) {
	var remaining []lateOrder
	for _, l := range e.lateOrders {
		if now.Before(l.at) {
			remaining = append(remaining, l)
			continue
		}
		e.order(t, now, l.order)
	}
	e.lateOrders = remaining
}

// TestAccountAgainstOracle checks that random demands, lost responses, late orders and restarts never overcommit a
// backend server.
func TestAccountAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, spec := start, testSpec()
		e := &engineOracle{spec: spec, incarnation: model.BackendIncarnation{ID: "i-1", Born: 1}, models: make(map[string]map[string]bool)}
		a := NewAccount(now, "i-1", e.incarnation, spec)
		names, adapters := slices.Sorted(maps.Keys(spec.Models)), []string{"x", "y", "z"}
		var reports []model.BackendReport // the newest last
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			e.applyLate(t, now)
			reports = append(reports, e.report(now))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				a.AddDemand(now, rapid.SampledFrom(names).Draw(t, "model"), "")
			case 3, 4:
				if loadedModels := slices.Sorted(maps.Keys(a.Models)); len(loadedModels) > 0 {
					a.AddDemand(now, rapid.SampledFrom(loadedModels).Draw(t, "loaded model"), rapid.SampledFrom(adapters).Draw(t, "adapter"))
				}
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					e.restart()
					a.ResetForIncarnation(now, e.incarnation)
					reports = nil
				}
			}
			if a.ReportDue(now) && len(reports) > 0 {
				a.ReportRequested(now)
				a.ApplyReport(now, reports[max(0, len(reports)-1-rapid.IntRange(0, 1).Draw(t, "lag"))])
			}
			step, ok := a.Next(now, true)
			if !ok {
				continue
			}
			o := *step.Order
			a.Sent(o)
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				e.lateOrders = append(e.lateOrders, lateOrder{order: o, at: now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "late")) * time.Millisecond)})
				a.Answered(now, o, Unanswered)
				continue
			}
			a.Answered(now, o, e.order(t, now, o))
			if err := a.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestDemandsAreMet checks that every demanded model is loaded eventually if no responses are lost.
func TestDemandsAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, spec := start, testSpec()
		e := &engineOracle{spec: spec, incarnation: model.BackendIncarnation{ID: "i-1", Born: 1}, models: make(map[string]map[string]bool)}
		a := NewAccount(now, "i-1", e.incarnation, spec)
		names := slices.Sorted(maps.Keys(spec.Models))
		demanded := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, func(s string) string { return s }).Draw(t, "demanded")
		met := make(map[string]bool)
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			for _, name := range demanded {
				if !met[name] && a.AddDemand(now, name, "").Ready {
					met[name] = true
				}
			}
			if a.ReportDue(now) {
				a.ReportRequested(now)
				a.ApplyReport(now, e.report(now))
			}
			if step, ok := a.Next(now, true); ok {
				a.Sent(*step.Order)
				a.Answered(now, *step.Order, e.order(t, now, *step.Order))
			}
		}
		for _, name := range demanded {
			if !met[name] {
				t.Fatalf("got %s never loaded, demanded %v, loaded %v", name, demanded, slices.Sorted(maps.Keys(a.Models)))
			}
		}
	})
}
