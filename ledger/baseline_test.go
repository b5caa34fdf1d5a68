package ledger

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"citronspread/model"
)

// baselineWalks is within how many walks each baseline must be caught.
const baselineWalks = 400

// leaseOnly lets an owner write its records without comparing, as one that trusts its lease.
func leaseOnly(w *world) { w.store.blind = true }

// orderFirst sends a load order as soon as its reservation is proposed.
func orderFirst(w *world) {
	sent := map[string]bool{}
	w.wrap = func(p *proc, _ Event, actions []Action) []Action {
		var out []Action
		for _, a := range actions {
			switch a := a.(type) {
			case SendOrder:
				if sent[a.Order.ID] {
					continue
				}
			case WriteRecord:
				for _, o := range proposedLoads(p.host, a) {
					if !sent[o.Order.ID] {
						sent[o.Order.ID] = true
						out = append(out, o)
					}
				}
			}
			out = append(out, a)
		}
		return out
	}
}

// proposedLoads returns the load orders of the reservations in a proposed backend record.
func proposedLoads(h *Host, a WriteRecord) []SendOrder {
	if !strings.HasPrefix(a.Key, "backend/") {
		return nil
	}
	var r model.BackendRecord
	if json.Unmarshal(a.Value, &r) != nil {
		return nil
	}
	var orders []SendOrder
	for _, v := range r.Reservations {
		if v.State == model.ReservationLoading && v.Issuer == h.Incarnation && h.orders.open(v.OrderID) {
			orders = append(orders, SendOrder{r.Backend, model.Order{ID: v.OrderID, Kind: model.OrderLoad, Key: v.Key, Bytes: v.Bytes, Term: v.Term}})
		}
	}
	return orders
}

// voidUnresolved takes every question to an issuer as answered by "will not send".
func voidUnresolved(w *world) {
	w.wrap = func(p *proc, _ Event, actions []Action) []Action {
		for _, a := range actions {
			if a, ok := a.(AskUnsent); ok {
				w.after(0, func() {
					w.deliver(p, UnsentAnswered{OrderID: a.OrderID, Issuer: a.Issuer, WillNotSend: true})
				})
			}
		}
		return actions
	}
}

// resendUnload lets a successor send an unload that it found anew, and take the first one as resolved.
func resendUnload(w *world) {
	w.wrap = func(p *proc, _ Event, actions []Action) []Action {
		out := actions
		for _, a := range actions {
			a, ok := a.(AskUnsent)
			if !ok {
				continue
			}
			backend, r, found := unloading(p.host, a.OrderID)
			if !found {
				continue
			}
			out = append(out, SendOrder{backend, model.Order{ID: a.OrderID + "+", Kind: model.OrderUnload, Key: r.Key, Term: p.host.backends[backend].record.Term}})
			w.after(0, func() {
				w.deliver(p, UnsentAnswered{OrderID: a.OrderID, Issuer: a.Issuer, WillNotSend: true})
			})
		}
		return out
	}
}

// unloading finds an unload that is not resolved.
func unloading(h *Host, id string) (string, model.Reservation, bool) {
	for _, b := range h.backends {
		if i := findOrder(b.record, id); i >= 0 && b.record.Reservations[i].State == model.ReservationUnloading {
			return b.name, b.record.Reservations[i], true
		}
	}
	return "", model.Reservation{}, false
}

// trustForgetful trusts the fencing numbers of engines that forget them in a restart.
func trustForgetful(w *world) {
	w.Forgets = true
	for _, p := range w.procs {
		p.host.TrustsFencing = true
	}
	w.Trusts = true
	for _, e := range w.engines {
		e.fencing = true
	}
}

// TestBaselinesAreCaught shows that the walks notice each of the naive ways.
func TestBaselinesAreCaught(t *testing.T) {
	tests := []struct {
		name  string
		base  baseline
		first int // seed to start from
	}{
		{"lease only", leaseOnly, 1},
		{"order before its reservation", orderFirst, 1},
		{"unresolved order voided", voidUnresolved, 30},
		{"unload sent anew", resendUnload, 77},
		{"forgetful fencing trusted", trustForgetful, 77},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := tt.first; seed < tt.first+baselineWalks; seed++ {
				_, err := walk(scripts.Example(seed), tt.base, false)
				if b := (breach{}); errors.As(err, &b) && b.Promise != "liveness" {
					t.Logf("caught by seed %d: %.200v", seed, err)
					return
				}
			}
			t.Errorf("got no breach in %d walks, want one", baselineWalks)
		})
	}
}
