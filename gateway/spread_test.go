package gateway

import (
	"testing"
	"time"

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
