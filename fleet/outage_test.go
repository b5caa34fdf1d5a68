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
	readyTimeout   = 9 * time.Second
)

// TestHostStartsDuringAnOutage guards against entry hosts that cannot start while the store and the host list are down.
// It starts the second entry host during such an outage and checks that the host gets the configuration and the host
// list from its peer and serves a loaded model.
func TestHostStartsDuringAnOutage(t *testing.T) {
	f := newTestFleet(outageBasePort)
	startSecond := make(chan struct{})
	f.RunEntryHost = func(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
		if s.Name == f.EntryHosts[1].Name {
			select {
			case <-startSecond:
			case <-ctx.Done():
				return nil
			}
		}
		return entryhost.Run(ctx, s, logger)
	}
	startFleet(t, f)
	post(t, f.Store.Address, "/fault", `{"Down": true}`)
	post(t, f.HostList.Address, "/fault", `{"Down": true}`)
	close(startSecond)
	startCtx, cancelStart := context.WithTimeout(t.Context(), readyTimeout)
	defer cancelStart()
	if err := waitForOK(startCtx, f.EntryHosts[1].OperatorAddress, "/readyz"); err != nil {
		logState(t, f.EntryHosts[1].OperatorAddress)
		t.Fatal(err)
	}
	if got, want := complete(t, f.EntryHosts[1]), http.StatusOK; got != want {
		t.Errorf("got status %d during the outage, want %d", got, want)
	}
	post(t, f.Store.Address, "/fault", `{}`)
	post(t, f.HostList.Address, "/fault", `{}`)
}
