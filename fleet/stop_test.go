package fleet

import (
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

// handOverBound is how long an idle entry host may take to stop after the balancer's lag.
const handOverBound = 5 * time.Second

// stopBasePort lies below the ports that the system hands out by itself.
const stopBasePort = 21_000

// TestOneHostStopsInTime stops one of two entry hosts of a zone and holds that it hands over and ends.
func TestOneHostStopsInTime(t *testing.T) {
	layout := Layout{
		Deployment: settings.DeploymentQureshi, Region: "punjab", Zones: []string{"sialkot-a"},
		HostsPerZone: 2, EnginesPerZone: 2, EngineService: "link-scribe", MemoryBytes: 24_000_000_000,
		Rates:          standin.TierRates{Memory: 16e9, Disk: 8e9, Remote: 8e9},
		LoadsPerSecond: 3, ParallelLoads: 4, BasePort: stopBasePort, StandingReservations: 1,
	}
	f := layout.Build(zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stopFirst, cancelFirst := context.WithCancel(ctx)
	ended := make(chan time.Time, 1)
	f.RunEntryHost = func(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
		if s.Name != f.EntryHosts[0].Name {
			return entryhost.Run(ctx, s, logger)
		}
		err := entryhost.Run(stopFirst, s, logger)
		ended <- time.Now()
		<-ctx.Done()
		return err
	}
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	if err := f.WaitStore(ctx); err != nil {
		t.Fatal(err)
	}
	body := "SchemaVersion: 1\nName: scribe\nService: link-scribe\nModel: scribe-7b\nVersion: v1\nMemoryMB: 8000\nReplicas: 2\nPriority: Normal\nAdapters: []\n"
	if err := f.PutRecord(ctx, []byte(body)); err != nil {
		t.Fatal(err)
	}
	waiting, stopWaiting := context.WithTimeout(ctx, 10*time.Second)
	defer stopWaiting()
	if err := f.WaitReady(waiting); err != nil {
		dump(t, f.EntryHosts[0].OperatorAddress)
		t.Fatal(err)
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	cancelFirst()
	select {
	case at := <-ended:
		t.Logf("stopped after %s", at.Sub(began))
	case <-time.After(handOverBound):
		t.Errorf("got no end within %s", handOverBound)
		dump(t, f.EntryHosts[0].OperatorAddress)
	}
	cancel()
	<-done
}

func dump(t *testing.T, address string) {
	t.Helper()
	response, err := http.Get("http://" + address + "/debug/state")
	if err != nil {
		t.Log(err)
		return
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	t.Log(string(body))
}
