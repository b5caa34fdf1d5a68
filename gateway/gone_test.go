package gateway

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/residency"
	"citronspread/store"
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
	h.table.Registered(now, 1)
	h.claimed(now, []tenure.Claim{{Backend: "i-gone"}}, 2, nil)
	if len(h.owned) != 0 {
		t.Errorf("got %d accounts, want none for a backend server that is gone", len(h.owned))
	}
	h.owned["i-gone"] = &ownedBackend{account: residency.NewAccount(now, "i-gone", model.Life{}, spec)}
	if reply := h.offers(now, &peer.OfferRequest{Service: "llm", Model: "a"}); len(reply.Offers) != 0 {
		t.Errorf("got offers %+v of a backend server that is gone", reply.Offers)
	}
}

// TestStopBeforeRun has a planned stop come before the host runs.
func TestStopBeforeRun(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", PeerAddress: "127.0.0.1:0", Log: zap.NewNop(), Now: Boottime, Store: standInNothing{}}
	h.Prepare()
	h.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx) }()
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got %v, want a clean end", err)
	}
	if h.Ready() {
		t.Error("got a ready host, want it stopping")
	}
}

// standInNothing is a store that is out of reach.
type standInNothing struct{ Store }

func (standInNothing) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, &store.UnavailableError{}
}
