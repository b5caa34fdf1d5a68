package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/entryhost"
	"citronspread/settings"
	"citronspread/standin"
)

const (
	idleBasePort  = 19_000
	idleKeepAlive = 2 * time.Second
	// unloadBound allows for the keep-alive time, the drain and the periods of the owner's reports.
	unloadBound = 15 * time.Second
)

// TestIdleModelIsUnloaded sends one request and holds that its model is unloaded once it has been idle.
func TestIdleModelIsUnloaded(t *testing.T) {
	layout := Layout{
		Deployment: settings.DeploymentQureshi, Region: "punjab", Zones: []string{"sialkot-a"},
		HostsPerZone: 2, EnginesPerZone: 1, EngineService: "link-scribe", MemoryBytes: 24_000_000_000,
		Rates:          standin.TierRates{Memory: 16e9, Disk: 16e9, Remote: 16e9},
		LoadsPerSecond: 3, ParallelLoads: 4, BasePort: idleBasePort,
	}
	f := layout.Build(zap.NewNop())
	for i := range f.EntryHosts {
		f.EntryHosts[i].KeepAlive.Shortest, f.EntryHosts[i].KeepAlive.Longest = idleKeepAlive, idleKeepAlive
	}
	f.RunEntryHost = entryhost.Run
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
	if err := f.PutRecord(waiting, []byte(idleRecord)); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(waiting); err != nil {
		t.Fatal(err)
	}
	for complete(t, f.EntryHosts[0]) != http.StatusOK {
		if err := pause(waiting, readyPause); err != nil {
			t.Fatal("got no whole answer")
		}
	}
	deadline := time.Now().Add(unloadBound)
	for f.Backends[0].Engine.Counts().Unloads == 0 {
		if time.Now().After(deadline) {
			dump(t, f.EntryHosts[0].OperatorAddress)
			t.Fatalf("got no unload within %s", unloadBound)
		}
		time.Sleep(readyPause)
	}
}

const idleRecord = `SchemaVersion: 1
Name: scribe
Service: link-scribe
Model: scribe-7b
Version: v1
MemoryMB: 8000
Replicas: 1
Priority: Normal
Adapters: []
`
