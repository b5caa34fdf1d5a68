package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/entryhost"
	"citronspread/settings"
	"citronspread/standin"
)

const (
	outageBasePort = 20_000
	inForceBound   = 9 * time.Second
)

// TestHostStartsDuringAnOutage starts an entry host while store and host list are down, and holds that it learns
// the configuration and the hosts from its peers and serves a loaded model.
func TestHostStartsDuringAnOutage(t *testing.T) {
	layout := Layout{
		Deployment: settings.DeploymentQureshi, Region: "punjab", Zones: []string{"sialkot-a"},
		HostsPerZone: 2, EnginesPerZone: 2, EngineService: "link-scribe", MemoryBytes: 24_000_000_000,
		Rates:          standin.TierRates{Memory: 16e9, Disk: 8e9, Remote: 16e9},
		LoadsPerSecond: 3, ParallelLoads: 4, BasePort: outageBasePort,
	}
	f := layout.Build(zap.NewNop())
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
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	defer func() {
		cancel()
		<-done
	}()
	waiting, stopWaiting := context.WithTimeout(ctx, 20*time.Second)
	defer stopWaiting()
	if err := f.WaitStore(waiting); err != nil {
		t.Fatal(err)
	}
	body := "SchemaVersion: 1\nName: scribe\nService: link-scribe\nModel: scribe-7b\nVersion: v1\nMemoryMB: 8000\nReplicas: 1\nPriority: Normal\nAdapters: []\n"
	if err := f.PutRecord(waiting, []byte(body)); err != nil {
		t.Fatal(err)
	}
	if err := waitFor(waiting, f.EntryHosts[0].OperatorAddress, "/readyz"); err != nil {
		t.Fatal(err)
	}
	for complete(t, f.EntryHosts[0]) != http.StatusOK {
		if err := pause(waiting, readyPause); err != nil {
			t.Fatal("got no whole answer before the outage")
		}
	}
	post(t, f.Store.Address, "/fault", `{"Down": true}`)
	post(t, f.HostList.Address, "/fault", `{"Down": true}`)
	close(startLate)
	starting, stopStarting := context.WithTimeout(ctx, inForceBound)
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

func complete(t *testing.T, s settings.Settings) int {
	t.Helper()
	return post(t, s.CallerAddress, "/v1/completions", `{"model":"scribe-7b","prompt":"a silver charm","max_tokens":4}`)
}

func post(t *testing.T, address, path, body string) int {
	t.Helper()
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
