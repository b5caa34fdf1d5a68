package ledger

import (
	"testing"
	"time"

	"citronspread/model"
)

// standingHost returns a host with a standing reservation for model m, version 1, on backend server e0.
func standingHost(t *testing.T) (*Host, *instantStore, map[string]model.Observation, time.Time) {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &Host{Name: "h0", Zone: "z", Address: "127.0.0.1:1", Incarnation: "h0#1", MaxOrderDelay: 4 * time.Second}
	s := &instantStore{values: map[string][]byte{}, revisions: map[string]int64{}}
	engines := map[string]model.Observation{"e0": {Backend: "e0", Incarnation: "e0#1", MemoryBytes: 100}}
	key := model.ModelKey{Model: "m", Version: "1"}
	peers := []model.Peer{{Name: "h0", Incarnation: "h0#1"}, {Name: "h1", Incarnation: "h1#1"}}
	events := []Event{
		PeersChanged{Peers: peers},
		SourcesChanged{Models: []ModelSources{{Key: key, Bytes: 40, Leader: true, Sources: []model.Source{{Record: "r", Generation: 1, Replicas: 1}}}}},
		BackendsChanged{Backends: []Assignment{{Backend: "e0", Owner: "h0"}}},
		StandingChanged{Backend: "e0", Keys: []model.ModelKey{key}},
	}
	for i := range 40 {
		e := Event(Tick{})
		if i < len(events) {
			e = events[i]
		}
		now = now.Add(200 * time.Millisecond)
		s.run(h, now, engines, e)
	}
	owned := h.Owned()
	if len(owned) != 1 || len(owned[0].Record.Reservations) != 1 || owned[0].Record.Reservations[0].State != model.ReservationStanding {
		t.Fatalf("got %+v, want one standing reservation", owned)
	}
	return h, s, engines, now
}

func countOrders(actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(SendOrder); ok {
			n++
		}
	}
	return n
}

// A load request for a standing reservation must send the recorded order in the same step, without a call to the store,
// and only once.
func TestStandingLoadNeedsNoStore(t *testing.T) {
	h, _, _, now := standingHost(t)
	key := model.ModelKey{Model: "m", Version: "1"}
	if got := countOrders(h.Step(now, LoadRequested{Key: key, Backend: "e0"})); got != 1 {
		t.Errorf("got %d orders in the same step, want 1", got)
	}
	if got := countOrders(h.Step(now, LoadRequested{Key: key, Backend: "e0"})); got != 0 {
		t.Errorf("got %d orders for a repeated load request, want 0", got)
	}
}

// runUntilRelease assigns the backend server to another host and lets time pass until the host writes the handover.
// The write gets no response.
func runUntilRelease(s *instantStore, h *Host, now time.Time, engines map[string]model.Observation) bool {
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		events := []Event{BackendsChanged{Backends: []Assignment{{Backend: "e0", Owner: "h1"}}}}
		for len(events) > 0 {
			actions := h.Step(now, events[0])
			events = events[1:]
			for _, a := range actions {
				if w, ok := a.(WriteRecord); ok && w.Key == "backend/e0" {
					return true
				}
				if e := s.perform(engines, a); e != nil {
					events = append(events, e)
				}
			}
		}
	}
	return false
}

// A load request during the write of a handover must not send the order of a standing reservation:
// the successor relies on the order being closed.
func TestReleaseClosesStandingOrders(t *testing.T) {
	h, s, engines, now := standingHost(t)
	if !runUntilRelease(s, h, now, engines) {
		t.Fatal("got no handover, want one")
	}
	got := countOrders(h.Step(now.Add(11*time.Second), LoadRequested{Key: model.ModelKey{Model: "m", Version: "1"}, Backend: "e0"}))
	if got != 0 {
		t.Errorf("got %d orders during the write of the handover, want 0", got)
	}
}
