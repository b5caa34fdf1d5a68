package membership

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxLoadBytes is the maximum encoded size of the load of one busy backend server. It keeps the heartbeats of 60 owners
// with two backend servers each within the bytes that an entry host may spend on control traffic.
const maxLoadBytes = 14

func TestBusyLoadIsSmall(t *testing.T) {
	load := Load{Backend: NewBackendID("muenchen-backend-109"), Running: 96, Waiting: 200, Age: NewAgeTenths(2500 * time.Millisecond)}
	data, err := cbor.Marshal(load)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(data); got > maxLoadBytes {
		t.Errorf("got %d bytes, want at most %d", got, maxLoadBytes)
	}
}
