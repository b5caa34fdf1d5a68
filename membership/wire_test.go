package membership

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// busyLoadBytes is what one busy backend server may add to a heartbeat, so that 60 owners of two each stay
// within the bytes that a node spends on control.
const busyLoadBytes = 14

func TestBusyLoadIsSmall(t *testing.T) {
	load := Load{Backend: NewBackendID("muenchen-backend-109"), Running: 96, Waiting: 200, Age: NewAgeTenths(2500 * time.Millisecond)}
	data, err := cbor.Marshal(load)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(data); got > busyLoadBytes {
		t.Errorf("got %d bytes, want at most %d", got, busyLoadBytes)
	}
}
