package fleet

import (
	"testing"
	"time"

	"citronspread/entryhost"
)

const (
	idleBasePort  = 19_000
	idleKeepAlive = 2 * time.Second
	// unloadTimeout covers the keep-alive time, the drain of the model and the intervals between the owner's reports.
	unloadTimeout = 15 * time.Second
)

// TestIdleModelIsUnloaded guards against models that stay loaded after their last request. It loads a model with one
// request and checks that the model is unloaded after the keep-alive time.
func TestIdleModelIsUnloaded(t *testing.T) {
	f := newTestFleet(idleBasePort)
	for i := range f.EntryHosts {
		f.EntryHosts[i].KeepAlive.Shortest, f.EntryHosts[i].KeepAlive.Longest = idleKeepAlive, idleKeepAlive
	}
	f.RunEntryHost = entryhost.Run
	startFleet(t, f)
	deadline := time.Now().Add(unloadTimeout)
	for f.Backends[0].Engine.Counts().Unloads+f.Backends[1].Engine.Counts().Unloads == 0 {
		if time.Now().After(deadline) {
			logState(t, f.EntryHosts[0].OperatorAddress)
			t.Fatalf("idle model not unloaded within %s", unloadTimeout)
		}
		time.Sleep(pollInterval)
	}
}
