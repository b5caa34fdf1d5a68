package hostlist_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"citronspread/hostlist"
	"citronspread/rawserver"
)

// TestBrokenResponses guards against a broken response that is taken for a host list.
func TestBrokenResponses(t *testing.T) {
	for _, broken := range rawserver.BrokenResponses("200 OK", "", `{"Revision":3,"Hosts":[{"Name":"a"}]}`) {
		address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
			broken.Write(conn)
			return false
		})
		client := &hostlist.Client{Address: address}
		if got, err := client.Hosts(t.Context(), 0, time.Second); err == nil {
			t.Errorf("%s: got %+v, want an error", broken.Name, got)
		}
	}
}
