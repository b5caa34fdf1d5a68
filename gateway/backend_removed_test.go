package gateway

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/ownership"
	"citronspread/peer"
	"citronspread/residency"
	"citronspread/store"
)

// TestBackendRemovedDuringClaim guards against accounts and offers for a backend server that is not listed any more:
// it was removed while a claim of it was in flight, or before the control thread has dropped its account.
func TestBackendRemovedDuringClaim(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: BootTime}
	h.Prepare()
	spec := &model.EngineSpec{Models: map[string]model.ModelSpec{"a": {Name: "a"}}}
	h.routes.Store(newRouteTable(model.DesiredState{Services: map[string]model.ServiceSpec{"llm": {Name: "llm", Engine: spec}}}))
	now := h.Now()
	h.table.Registered(now, 1)
	h.handleClaim(now, []ownership.Claim{{Backend: "i-gone"}}, 2, nil)
	if len(h.owned) != 0 {
		t.Errorf("got %d accounts, want none for a removed backend server", len(h.owned))
	}
	h.owned["i-gone"] = &ownedBackend{account: residency.NewAccount(now, "i-gone", model.BackendIncarnation{}, spec)}
	if reply := h.offers(now, &peer.OfferRequest{Service: "llm", Model: "a"}); len(reply.Offers) != 0 {
		t.Errorf("got offers %+v, want none of a removed backend server", reply.Offers)
	}
}

// TestStopBeforeRun guards against a failure of Run when a graceful shutdown came before it.
func TestStopBeforeRun(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", PeerAddress: "127.0.0.1:0", Log: zap.NewNop(), Now: BootTime, Store: unreachableStore{}}
	h.Prepare()
	h.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx) }()
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if h.Ready() {
		t.Error("got a ready host, want it not ready after Stop")
	}
}

// unreachableStore is a store that does not respond.
type unreachableStore struct{ Store }

func (unreachableStore) List(context.Context, string, store.Consistency) (store.Listing, error) {
	return store.Listing{}, &store.UnavailableError{}
}
