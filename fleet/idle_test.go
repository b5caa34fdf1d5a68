package fleet

import (
	"testing"
	"time"

	"citronspread/entryhost"
)

const (
	idleBasePort  = 19_000
	idleKeepAlive = 2 * time.Second
	// unloadBound allows for the keep-alive time, the drain and the periods of the owner's reports.
	unloadBound = 15 * time.Second
)

// TestIdleModelIsUnloaded sends one request and holds that its model is unloaded once it has been idle.
func TestIdleModelIsUnloaded(t *testing.T) {
	f := newTestFleet(idleBasePort)
	for i := range f.EntryHosts {
		f.EntryHosts[i].KeepAlive.Shortest, f.EntryHosts[i].KeepAlive.Longest = idleKeepAlive, idleKeepAlive
	}
	f.RunEntryHost = entryhost.Run
	startFleet(t, f)
	deadline := time.Now().Add(unloadBound)
	for f.Backends[0].Engine.Counts().Unloads+f.Backends[1].Engine.Counts().Unloads == 0 {
		if time.Now().After(deadline) {
			dump(t, f.EntryHosts[0].OperatorAddress)
			t.Fatalf("got no unload within %s", unloadBound)
		}
		time.Sleep(readyPause)
	}
}
