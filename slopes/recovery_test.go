package slopes

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/fleet"
	"citronspread/settings"
)

const (
	recoveryModels = 20
	outageTime     = 60 * time.Second
	settleTime     = 12 * time.Second
)

// recoveryZones has as many zones as a deployment.
var recoveryZones = []string{"muenchen", "rosenheim", "augsburg"}

// TestRecovery measures how long the system takes to recover from each event. It fails if a recovery takes longer than the
// limit.
func TestRecovery(t *testing.T) {
	if *binary == "" {
		t.Skip("-slopes-binary is not set: use make slopes")
	}
	layout := baseSize.Layout(*port)
	layout.Zones = recoveryZones
	layout.HostsPerZone, layout.EnginesPerZone = 4, 8
	f := layout.Build(zap.NewNop())
	processes := &hostProcesses{directory: t.TempDir(), pids: make(map[string]int), cancels: make(map[string]context.CancelFunc)}
	f.RunEntryHost = processes.runWithRestarts
	ctx, stopFleet := runFleet(t, f)
	defer stopFleet()
	prepare(t, ctx, f, Size{Models: recoveryModels})
	r := &recoveryRun{fleet: f, processes: processes, ctx: ctx}
	if _, err := waitUntilSteady(ctx, f.EntryHosts, r.backends(""), recoveryModels); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleTime)
	recoveries := []Recovery{
		r.measure(t, HostLost, f.EntryHosts[1:], func() { processes.stop(f.EntryHosts[0].Name) }),
		r.measure(t, ZoneRestarted, f.EntryHosts[4:], func() { processes.restart(r.names(recoveryZones[0])...) }),
		r.measure(t, StoreBack, f.EntryHosts, func() { r.outage(t) }),
		r.measure(t, AllRestarted, f.EntryHosts, func() { processes.restart(r.names("")...) }),
	}
	fmt.Println(RecoveryTable(recoveries))
}

// recoveryRun triggers events in a fleet and measures the recovery.
type recoveryRun struct {
	fleet     *fleet.Fleet
	processes *hostProcesses
	ctx       context.Context
}

// names returns the names of the entry hosts of a zone, or of all entry hosts if zone is empty.
func (r *recoveryRun) names(zone string) []string {
	var names []string
	for _, s := range r.fleet.EntryHosts {
		if zone == "" || s.Zone == zone {
			names = append(names, s.Name)
		}
	}
	return names
}

// backends returns the names of the backend servers of a zone, or of all backend servers if zone is empty.
func (r *recoveryRun) backends(zone string) []string {
	var names []string
	for _, b := range r.fleet.Backends {
		if zone == "" || b.Host.Zone == zone {
			names = append(names, b.Host.Name)
		}
	}
	return names
}

// measure triggers an event and measures until the surviving hosts own all backend servers and have all records. After
// ZoneRestarted, whose hosts restart at once, it measures until this holds for all hosts. A host that is kept stopped
// is then released, and must recover too.
func (r *recoveryRun) measure(t *testing.T, event Event, survivors []settings.Settings, trigger func()) Recovery {
	t.Helper()
	before := r.fleet.Store.Counts()
	trigger()
	hosts := survivors
	if event == ZoneRestarted {
		hosts = r.fleet.EntryHosts
	}
	until, err := waitUntilSteady(r.ctx, hosts, r.backends(""), recoveryModels)
	if err != nil {
		t.Errorf("%s: %v", event, err)
	}
	after := r.fleet.Store.Counts()
	recovery := Recovery{
		Event: event, Hosts: len(r.fleet.EntryHosts), Backends: len(r.fleet.Backends), Duration: until,
		StoreReads: after.Reads - before.Reads, StoreWrites: after.Writes - before.Writes,
	}
	r.processes.release()
	if _, err := waitUntilSteady(r.ctx, r.fleet.EntryHosts, r.backends(""), recoveryModels); err != nil {
		t.Errorf("after the recovery from %s: %v", event, err)
	}
	time.Sleep(settleTime)
	t.Logf("%+v", recovery)
	return recovery
}

// outage makes the store unavailable for outageTime.
func (r *recoveryRun) outage(t *testing.T) {
	t.Helper()
	for _, body := range []string{`{"Down": true}`, `{}`} {
		response, err := http.Post("http://"+r.fleet.Store.Address+"/fault", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if body != `{}` {
			time.Sleep(outageTime)
		}
	}
}
