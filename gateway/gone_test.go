package gateway

import (
	"testing"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/residency"
	"citronspread/tenure"
)

// TestBackendGoneMeanwhile has a backend server leave the list while a claim of it is on its way, and before the
// control thread has dropped its account.
func TestBackendGoneMeanwhile(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: Boottime}
	h.Prepare()
	spec := &model.EngineSpec{Models: map[string]model.ModelSpec{"a": {Name: "a"}}}
	h.routes.Store(newRouteTable(model.DesiredState{Services: map[string]model.ServiceSpec{"llm": {Name: "llm", Engine: spec}}}))
	now := h.Now()
	h.table.Renewed(now, 1)
	h.claimed(now, []tenure.Claim{{Backend: "i-gone"}}, 2, nil)
	if len(h.owned) != 0 {
		t.Errorf("got %d accounts, want none for a backend server that is gone", len(h.owned))
	}
	h.owned["i-gone"] = &ownedBackend{account: residency.NewAccount(now, "i-gone", model.Life{}, spec)}
	if reply := h.offers(now, &peer.OfferRequest{Service: "llm", Model: "a"}); len(reply.Offers) != 0 {
		t.Errorf("got offers %+v of a backend server that is gone", reply.Offers)
	}
}
