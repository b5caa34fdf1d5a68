package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/ownership"
	"citronspread/peer"
	"citronspread/residency"
)

// TestOverloadedModelIsReadFromTheWeightStore guards against a busy model that stays on one backend server because no
// other one has its weights on disk, as it happens to rare models that demand moves to.
func TestOverloadedModelIsReadFromTheWeightStore(t *testing.T) {
	const coldLoad = 7800 * time.Millisecond
	tests := []struct {
		name   string
		rate   float64 // of the backend server that has the model
		offer  peer.Offer
		spread bool
		want   bool
	}{
		{name: "busy, from disk", rate: residency.SpreadRate, offer: peer.Offer{Backend: "b", Wait: time.Second}, spread: true, want: true},
		{name: "busy, from the weight store", rate: residency.SpreadRate, offer: peer.Offer{Backend: "b", Wait: coldLoad}, spread: true},
		{name: "overloaded, from the weight store", rate: overloadRate, offer: peer.Offer{Backend: "b", Wait: coldLoad}, spread: true, want: true},
		{name: "overloaded, to a busy backend server", rate: overloadRate, offer: peer.Offer{Backend: "b", Wait: coldLoad, Rate: residency.SpreadRate + 1}, spread: true},
		{name: "overloaded, to one that has the model", rate: overloadRate, offer: peer.Offer{Backend: "a", Wait: coldLoad}, spread: true},
		{name: "requests wait", offer: peer.Offer{Backend: "b", Wait: time.Minute, Rate: overloadRate}, want: true},
	}
	for _, tt := range tests {
		request := &peer.PlaceRequest{Zone: "z", Exclude: []string{"a"}, Spread: tt.spread, MaxWait: maxWaitOfSpread(tt.rate)}
		if _, got := offerCost(request, tt.offer, "z"); got != tt.want {
			t.Errorf("%s: got accepted %v, want %v", tt.name, got, tt.want)
		}
	}
	if _, got := offerCost(&peer.PlaceRequest{Zone: "z"}, peer.Offer{Backend: "gone"}, ""); got {
		t.Error("got an offer of a backend server accepted that is not usable, want it refused")
	}
}

// placePeers records the placements that a host requests.
type placePeers struct {
	Peers
	requests chan *peer.PlaceRequest
}

func (p placePeers) Place(_ context.Context, _ string, request *peer.PlaceRequest) (*peer.PlaceReply, error) {
	p.requests <- request
	return &peer.PlaceReply{Ready: true}, nil
}

// TestLeavingBackendIsReplaced guards against models that are loaded elsewhere only when requests wait for them: the
// owner of a backend server that leaves has its busy models loaded on others while it is still there.
func TestLeavingBackendIsReplaced(t *testing.T) {
	peers := placePeers{requests: make(chan *peer.PlaceRequest, 8)}
	h := &Host{Name: "a", Zone: "z", PeerAddress: "a:1", Log: zap.NewNop(), Now: BootTime, Store: unreachableStore{}, Peers: peers}
	h.Prepare()
	now := h.Now()
	h.table.HostWritten(now, ownership.HostRecord{Name: "other", Zone: "z", PeerAddress: "b:1"}, 1)
	h.table.LivenessWritten("other", 1)
	spec := &model.EngineSpec{WeightMB: 230, Models: map[string]model.ModelSpec{"busy": {MB: 70}, "idle": {MB: 70}}}
	h.routes.Store(newRouteTable(model.DesiredState{Version: 1, Services: map[string]model.ServiceSpec{"llm": {Engine: spec}}}))
	h.table.Owners["i-1"] = ownership.Owner{Record: ownership.OwnerRecord{Host: "a"}, Revision: 2}
	h.registered = true
	listing := testListing(1, "busy", "idle")
	h.view.applyListing(now, listing)
	h.stepOwned(now)
	account := h.owned["i-1"].account
	account.ApplyReport(now, model.BackendReport{Life: listing.Life, Sequence: 1, Models: []model.ReportedModel{{Name: "busy"}, {Name: "idle"}}})
	account.RecordUsage(now, "a", model.Usage{Key: model.ModelKey{Model: "busy"}, Requests: 10})
	listing.Draining = true
	h.view.applyListing(now, listing)
	h.stepOwned(now)
	h.cancel()
	h.tasks.Wait()
	close(peers.requests)
	var got []string
	for r := range peers.requests {
		got = append(got, fmt.Sprint(r.Model, " relieves ", r.Relieves, " spread ", r.Spread))
	}
	if want := []string{"busy relieves i-1 spread true"}; !slices.Equal(got, want) {
		t.Errorf("got placements %v, want %v", got, want)
	}
}

// TestOverloadedBackendsGrowInParallel guards against a model whose replicas are added one after the other although
// several of them are overloaded.
func TestOverloadedBackendsGrowInParallel(t *testing.T) {
	h := &Host{Name: "a", Zone: "z", Log: zap.NewNop(), Now: BootTime}
	h.Prepare()
	now, key := h.Now(), model.ModelKey{Model: "m", Version: "llm"}
	h.view.applyListing(now, testListing(1))
	request := &peer.PlaceRequest{Service: "llm", Model: "m", Spread: true}
	first, second := decisionKey{model: key, relieves: "x"}, decisionKey{model: key, relieves: "y"}
	h.leader.decisions[first] = decision{backend: "i-1", owner: "o", at: now}
	if got := h.currentDecision(now, first, request); got.backend != "i-1" {
		t.Errorf("got decision %+v for the same backend server, want the one in effect", got)
	}
	if got := h.currentDecision(now, second, request); got.backend != "" {
		t.Errorf("got decision %+v for another overloaded backend server, want a new one", got)
	}
	if got := h.leader.loadingOn(now, key); !slices.Equal(got, []string{"i-1"}) {
		t.Errorf("got %v excluded from the new decision, want i-1, where the model is being loaded", got)
	}
	if got := h.currentDecision(now.Add(decisionTTL), second, request); got.backend != "" || len(h.leader.decisions) != 1 {
		t.Errorf("got decision %+v and %d decisions after %v, want only the new one", got, len(h.leader.decisions), decisionTTL)
	}
}
