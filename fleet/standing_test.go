package fleet

import (
	"net/http"
	"testing"
	"time"

	"citronspread/entryhost"
	"citronspread/model"
)

const (
	standingBasePort   = 17_000
	reservationTimeout = 15 * time.Second
)

const idleRecord = `SchemaVersion: 1
Name: guide
Service: link-scribe
Model: guide-3b
Version: v1
MemoryMB: 8000
Replicas: 2
Priority: High
Adapters: []
`

// TestIdleModelIsLoadedDuringAnOutage guards against idle models being unavailable while the store is down. A standing
// reservation, which reserves the memory for such a load in advance, must allow the model to be loaded.
func TestIdleModelIsLoadedDuringAnOutage(t *testing.T) {
	f := newTestFleet(standingBasePort)
	f.RunEntryHost = entryhost.Run
	startFleet(t, f)
	if err := f.PutRecord(t.Context(), []byte(idleRecord)); err != nil {
		t.Fatal(err)
	}
	// A handover of ownership that the outage interrupts would leave a backend server without an owner.
	time.Sleep(ownershipSettleTime)
	deadline := time.Now().Add(reservationTimeout)
	for !hasStandingReservation(t, f, "guide-3b") {
		if time.Now().After(deadline) {
			t.Fatalf("no standing reservation within %s", reservationTimeout)
		}
		time.Sleep(pollInterval)
	}
	post(t, f.Store.Address, "/fault", `{"Down": true}`)
	body := `{"model":"guide-3b","prompt":"a stuck gate","max_tokens":4}`
	if got, want := post(t, f.EntryHosts[0].CallerAddress, "/v1/completions", body), http.StatusOK; got != want {
		logState(t, f.EntryHosts[0].OperatorAddress)
		logState(t, f.EntryHosts[1].OperatorAddress)
		t.Errorf("got status %d, want %d", got, want)
	}
	post(t, f.Store.Address, "/fault", `{}`)
}

// hasStandingReservation reports whether an entry host owns a backend server with a standing reservation for a model.
func hasStandingReservation(t *testing.T, f *Fleet, name string) bool {
	t.Helper()
	for _, s := range f.EntryHosts {
		state, err := ReadState(t.Context(), s.OperatorAddress)
		if err != nil {
			continue
		}
		for _, o := range state.Owned {
			for _, r := range o.Record.Reservations {
				if r.Key.Model == name && r.State == model.ReservationStanding {
					return true
				}
			}
		}
	}
	return false
}
