package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/entryhost"
	"citronspread/settings"
)

const (
	outageBasePort = 20_000
	inForceBound   = 9 * time.Second
)

// TestHostStartsDuringAnOutage starts an entry host while store and host list are down, and holds that it learns
// the configuration and the hosts from its peers and serves a loaded model.
func TestHostStartsDuringAnOutage(t *testing.T) {
	f := newTestFleet(outageBasePort)
	startLate := make(chan struct{})
	f.RunEntryHost = func(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
		if s.Name == f.EntryHosts[1].Name {
			select {
			case <-startLate:
			case <-ctx.Done():
				return nil
			}
		}
		return entryhost.Run(ctx, s, logger)
	}
	startFleet(t, f)
	post(t, f.Store.Address, "/fault", `{"Down": true}`)
	post(t, f.HostList.Address, "/fault", `{"Down": true}`)
	close(startLate)
	starting, stopStarting := context.WithTimeout(t.Context(), inForceBound)
	defer stopStarting()
	if err := waitFor(starting, f.EntryHosts[1].OperatorAddress, "/readyz"); err != nil {
		dump(t, f.EntryHosts[1].OperatorAddress)
		t.Fatal(err)
	}
	if got, want := complete(t, f.EntryHosts[1]), http.StatusOK; got != want {
		t.Errorf("during the outage: got status %d, want %d", got, want)
	}
	post(t, f.Store.Address, "/fault", `{}`)
	post(t, f.HostList.Address, "/fault", `{}`)
}
