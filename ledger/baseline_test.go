package ledger

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"citronspread/model"
)

// maxBaselineWalks is the number of walks within which each baseline must be caught.
const maxBaselineWalks = 400

// leaseOnly writes backend records without comparing revisions, like an owner that relies on its lease alone.
func leaseOnly(w *world) { w.store.unconditional = true }

// orderFirst sends a load order when the write of its reservation starts, before the reservation is recorded.
func orderFirst(w *world) {
	sent := map[string]bool{}
	w.intercept = func(p *process, _ Event, actions []Action) []Action {
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

// proposedLoads returns the load orders of the reservations in a backend record that is about to be written.
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

// voidUnresolved replies to every query to an issuer with "will not send".
func voidUnresolved(w *world) {
	w.intercept = func(p *process, _ Event, actions []Action) []Action {
		for _, a := range actions {
			if a, ok := a.(QueryUnsent); ok {
				w.after(0, func() {
					w.deliver(p, UnsentAnswered{OrderID: a.OrderID, Issuer: a.Issuer, WillNotSend: true})
				})
			}
		}
		return actions
	}
}

// resendUnload makes a new owner send an unresolved unload again and treat the first one as resolved.
func resendUnload(w *world) {
	w.intercept = func(p *process, _ Event, actions []Action) []Action {
		out := actions
		for _, a := range actions {
			a, ok := a.(QueryUnsent)
			if !ok {
				continue
			}
			backend, r, found := findUnloading(p.host, a.OrderID)
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

// findUnloading returns the reservation of an unresolved unload order and its backend server.
func findUnloading(h *Host, id string) (string, model.Reservation, bool) {
	for _, b := range h.backends {
		if i := findOrder(b.record, id); i >= 0 && b.record.Reservations[i].State == model.ReservationUnloading {
			return b.name, b.record.Reservations[i], true
		}
	}
	return "", model.Reservation{}, false
}

// trustVolatileFencing trusts the fencing tokens of engines that lose them in a restart.
func trustVolatileFencing(w *world) {
	w.VolatileFencing = true
	for _, p := range w.processes {
		p.host.TrustsFencing = true
	}
	w.TrustFencing = true
	for _, e := range w.engines {
		e.fencing = true
	}
}

// The random walks must detect each baseline, which weakens one rule of the ledger.
// If they don't, a fault of that kind in the ledger would go unnoticed too.
func TestBaselinesAreCaught(t *testing.T) {
	tests := []struct {
		name  string
		base  baseline
		first int // first seed to try
	}{
		{"lease only", leaseOnly, 1},
		{"order before its reservation", orderFirst, 1},
		{"unresolved order voided", voidUnresolved, 30},
		{"unload sent again", resendUnload, 77},
		{"volatile fencing trusted", trustVolatileFencing, 77},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := tt.first; seed < tt.first+maxBaselineWalks; seed++ {
				_, err := walk(scripts.Example(seed), tt.base, false)
				if b := (breach{}); errors.As(err, &b) && b.Guarantee != "liveness" {
					t.Logf("caught by seed %d: %.200v", seed, err)
					return
				}
			}
			t.Errorf("got no safety breach in %d walks, want one", maxBaselineWalks)
		})
	}
}
