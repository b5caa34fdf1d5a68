package residency

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/model"
)

// engineOracle is a backend server that carries orders out at once or late and never forgives too much.
type engineOracle struct {
	spec     *model.EngineSpec
	life     model.Life
	sequence int64
	models   map[string]map[string]bool
	busyTill time.Time
	late     []lateOrder
}

type lateOrder struct {
	order Order
	at    time.Time
}

func (e *engineOracle) restart() {
	e.life.Born++
	e.sequence = 0
	e.models = make(map[string]map[string]bool)
	e.busyTill = time.Time{}
}

func (e *engineOracle) order(t *rapid.T, now time.Time, o Order) Answer {
	if now.Before(e.busyTill) || o.Expected != e.sequence {
		return Conflict
	}
	held, loaded := e.models[o.Model]
	switch {
	case o.Kind == Load && loaded, o.Kind == Unload && !loaded, o.Kind == LoadAdapter && held[o.Adapter], o.Kind == UnloadAdapter && !held[o.Adapter]:
		return AlreadyHolds
	case o.Kind == LoadAdapter && !loaded:
		return Invalid
	}
	e.sequence++
	switch o.Kind {
	case Load:
		e.models[o.Model] = make(map[string]bool)
		e.busyTill = now.Add(e.spec.Models[o.Model].DiskLoad)
	case Unload:
		delete(e.models, o.Model)
	case LoadAdapter:
		held[o.Adapter] = true
	case UnloadAdapter:
		delete(held, o.Adapter)
	}
	e.judge(t)
	if o.Kind == UnloadAdapter {
		return AlreadyHolds
	}
	return Accepted
}

// judge fails when the backend server was ordered to hold more than it can.
func (e *engineOracle) judge(t *rapid.T) {
	mb, adapters := 0.0, 0
	for name, held := range e.models {
		mb += e.spec.Models[name].MB + float64(len(held))*e.spec.Models[name].AdapterMB
		adapters += len(held)
	}
	if mb > e.spec.WeightMB || adapters > e.spec.AdapterSlots {
		t.Fatalf("got %.0f MB and %d adapters, want at most %.0f MB and %d", mb, adapters, e.spec.WeightMB, e.spec.AdapterSlots)
	}
}

func (e *engineOracle) report(now time.Time) model.Holdings {
	h := model.Holdings{Life: e.life, Sequence: e.sequence, Busy: now.Before(e.busyTill)}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		h.Models = append(h.Models, model.HeldModel{Name: name, Adapters: slices.Sorted(maps.Keys(e.models[name]))})
	}
	return h
}

func (e *engineOracle) carryOutLate(t *rapid.T, now time.Time) {
	var kept []lateOrder
	for _, l := range e.late {
		if now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		e.order(t, now, l.order)
	}
	e.late = kept
}

// TestAccountAgainstOracle walks through wants, lost answers, late orders and restarts.
func TestAccountAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, spec := start, testSpec()
		e := &engineOracle{spec: spec, life: model.Life{ID: "i-1", Born: 1}, models: make(map[string]map[string]bool)}
		a := NewAccount(now, "i-1", e.life, spec)
		names, adapters := slices.Sorted(maps.Keys(spec.Models)), []string{"x", "y", "z"}
		var reports []model.Holdings // the newest last
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			e.carryOutLate(t, now)
			reports = append(reports, e.report(now))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				a.Want(now, rapid.SampledFrom(names).Draw(t, "model"), "")
			case 3, 4:
				if held := slices.Sorted(maps.Keys(a.Models)); len(held) > 0 {
					a.Want(now, rapid.SampledFrom(held).Draw(t, "held"), rapid.SampledFrom(adapters).Draw(t, "adapter"))
				}
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					e.restart()
					a.Reborn(now, e.life)
					reports = nil
				}
			}
			if a.ReportDue(now) && len(reports) > 0 {
				a.ReportAsked(now)
				a.Observed(now, reports[max(0, len(reports)-1-rapid.IntRange(0, 1).Draw(t, "lag"))])
			}
			step, ok := a.Next(now, true)
			if !ok {
				continue
			}
			o := *step.Order
			a.Sent(o)
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				e.late = append(e.late, lateOrder{order: o, at: now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "late")) * time.Millisecond)})
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

// TestWantsAreMet shows that every want is met in the end when answers are not lost.
func TestWantsAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, spec := start, testSpec()
		e := &engineOracle{spec: spec, life: model.Life{ID: "i-1", Born: 1}, models: make(map[string]map[string]bool)}
		a := NewAccount(now, "i-1", e.life, spec)
		names := slices.Sorted(maps.Keys(spec.Models))
		wanted := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, func(s string) string { return s }).Draw(t, "wanted")
		met := make(map[string]bool)
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			for _, name := range wanted {
				if !met[name] && a.Want(now, name, "").Ready {
					met[name] = true
				}
			}
			if a.ReportDue(now) {
				a.ReportAsked(now)
				a.Observed(now, e.report(now))
			}
			if step, ok := a.Next(now, true); ok {
				a.Sent(*step.Order)
				a.Answered(now, *step.Order, e.order(t, now, *step.Order))
			}
		}
		for _, name := range wanted {
			if !met[name] {
				t.Fatalf("got %s never loaded, wanted %v, held %v", name, wanted, slices.Sorted(maps.Keys(a.Models)))
			}
		}
	})
}
