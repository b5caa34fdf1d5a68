package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/settings"
	"citronspread/standin"
)

// startTimeout limits the start of a fleet.
const startTimeout = 20 * time.Second

const testRecord = `SchemaVersion: 1
Name: scribe
Service: link-scribe
Model: scribe-7b
Version: v1
MemoryMB: 8000
Replicas: 2
Priority: Normal
Adapters: []
`

// newTestFleet returns a fleet of one zone with two entry hosts and two backend servers, on ports from basePort on.
// The ports must be below the operating system's ephemeral port range, from which another process could be assigned a
// port of the fleet.
func newTestFleet(basePort int) *Fleet {
	layout := Layout{
		Deployment: settings.DeploymentQureshi, Region: "punjab", Zones: []string{"sialkot-a"},
		HostsPerZone: 2, EnginesPerZone: 2, EngineService: "link-scribe", MemoryBytes: 24_000_000_000,
		Rates:          standin.TierRates{Memory: 16e9, Disk: 16e9, Remote: 16e9},
		LoadsPerSecond: 3, ParallelLoads: 4, BasePort: basePort, StandingReservations: 1,
	}
	return layout.Build(zap.NewNop())
}

// startFleet runs the fleet until the test ends. It stores testRecord and returns when the first entry host serves its
// model.
func startFleet(t *testing.T, f *Fleet) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := f.WaitForStore(startCtx); err != nil {
		t.Fatal(err)
	}
	if err := f.PutRecord(startCtx, []byte(testRecord)); err != nil {
		t.Fatal(err)
	}
	if err := waitForOK(startCtx, f.EntryHosts[0].OperatorAddress, "/readyz"); err != nil {
		t.Fatal(err)
	}
	for complete(t, f.EntryHosts[0]) != http.StatusOK {
		if err := sleep(startCtx, pollInterval); err != nil {
			t.Fatal("first entry host did not serve the model of testRecord in time")
		}
	}
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

// logState logs the debug state of an entry host.
func logState(t *testing.T, address string) {
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
