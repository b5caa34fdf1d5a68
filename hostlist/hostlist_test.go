package hostlist_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"citronspread/hostlist"
	"citronspread/model"
	"citronspread/standin"
)

// TestHosts verifies that a read returns the hosts only if the list has changed since the given revision,
// and that it reports an unavailable list as an error.
func TestHosts(t *testing.T) {
	list := &standin.HostList{Lag: 20 * time.Millisecond}
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	c, ctx := &hostlist.Client{Address: server.Listener.Addr().String(), Zone: "zone-a"}, context.Background()

	list.Set(model.Host{Name: "entry-1", Kind: model.KindEntry, State: model.HostLive})
	first, err := c.Hosts(ctx, 0, time.Second)
	if err != nil || len(first.Hosts) != 1 {
		t.Fatalf("got %+v, %v, want one host", first, err)
	}
	same, err := c.Hosts(ctx, first.Revision, 10*time.Millisecond)
	if err != nil || same.Revision != first.Revision || same.Hosts != nil {
		t.Fatalf("got %+v, %v, want revision %d without hosts", same, err, first.Revision)
	}
	list.Set(model.Host{Name: "entry-1", Kind: model.KindEntry, State: model.HostLeaving})
	next, err := c.Hosts(ctx, first.Revision, time.Second)
	if err != nil || len(next.Hosts) != 1 || next.Hosts[0].State != model.HostLeaving {
		t.Fatalf("got %+v, %v, want a leaving host", next, err)
	}
	for _, fault := range []standin.HostListFault{{Down: true}, {UnreachableZones: []string{"zone-a"}}} {
		list.SetFault(fault)
		var unavailable *hostlist.HostsUnavailableError
		if _, err := c.Hosts(ctx, 0, time.Second); !errors.As(err, &unavailable) {
			t.Errorf("got %v, want HostsUnavailableError", err)
		}
	}
}
