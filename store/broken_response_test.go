package store_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"citronspread/rawserver"
	"citronspread/store"
)

// TestBrokenResponses guards against a broken response of the store that is taken for an entry, for its absence or for the
// outcome of a write.
func TestBrokenResponses(t *testing.T) {
	const entry = `{"Key":"k","Value":"dg==","Revision":7,"Entries":[{"Key":"k","Value":"dg==","Revision":7}]}`
	for _, broken := range rawserver.BrokenResponses("200 OK", "Content-Type: application/json\r\n", entry) {
		address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
			broken.Write(conn)
			return false
		})
		client := &store.Client{Address: address}
		var unavailable *store.UnavailableError
		if got, err := client.Get(t.Context(), "k"); !errors.As(err, &unavailable) {
			t.Errorf("%s: got entry %+v, %v, want an *UnavailableError", broken.Name, got, err)
		}
		unavailable = nil
		if got, err := client.CompareAndSwap(t.Context(), "k", []byte("v"), 6); !errors.As(err, &unavailable) || !unavailable.Ambiguous {
			t.Errorf("%s: got revision %d, %v, want an ambiguous *UnavailableError", broken.Name, got, err)
		}
	}
}
