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
	leaseSettle    = 12 * time.Second
)

// recoveryZones are as many as a deployment has today.
var recoveryZones = []string{"muenchen", "rosenheim", "augsburg"}

func TestRecovery(t *testing.T) {
	if *binary == "" {
		t.Skip("run by make slopes")
	}
	layout := baseSize.Layout(*port)
	layout.Zones = recoveryZones
	layout.HostsPerZone, layout.EnginesPerZone = 4, 8
	f := layout.Build(zap.NewNop())
	processes := &hostProcesses{directory: t.TempDir(), pids: make(map[string]int), cancels: make(map[string]context.CancelFunc)}
	f.RunEntryHost = processes.runAgain
	ctx, stopFleet := runFleet(t, f)
	defer stopFleet()
	prepare(t, ctx, f, Size{Models: recoveryModels})
	r := &recoveryRun{fleet: f, processes: processes, ctx: ctx}
	if _, err := awaitSteady(ctx, f.EntryHosts, r.backends(""), recoveryModels); err != nil {
		t.Fatal(err)
	}
	time.Sleep(leaseSettle)
	recoveries := []Recovery{
		r.measure(t, HostLost, f.EntryHosts[1:], func() { processes.hold(f.EntryHosts[0].Name) }),
		r.measure(t, ZoneLost, f.EntryHosts[4:], func() { processes.restart(r.names(recoveryZones[0])...) }),
		r.measure(t, StoreBack, f.EntryHosts, func() { r.outage(t) }),
		r.measure(t, AllRestarted, f.EntryHosts, func() { processes.restart(r.names("")...) }),
	}
	fmt.Println(RecoveryTable(recoveries))
}

// recoveryRun is a fleet that events happen to.
type recoveryRun struct {
	fleet     *fleet.Fleet
	processes *hostProcesses
	ctx       context.Context
}

// names returns the entry hosts of a zone, all for an empty name.
func (r *recoveryRun) names(zone string) []string {
	var names []string
	for _, s := range r.fleet.EntryHosts {
		if zone == "" || s.Zone == zone {
			names = append(names, s.Name)
		}
	}
	return names
}

func (r *recoveryRun) backends(zone string) []string {
	var names []string
	for _, b := range r.fleet.Backends {
		if zone == "" || b.Host.Zone == zone {
			names = append(names, b.Host.Name)
		}
	}
	return names
}

// measure counts from the event until the surviving hosts own everything.
func (r *recoveryRun) measure(t *testing.T, event Event, survivors []settings.Settings, happen func()) Recovery {
	t.Helper()
	before := r.fleet.Store.Counts()
	happen()
	hosts := survivors
	if event == ZoneLost {
		hosts = r.fleet.EntryHosts
	}
	until, err := awaitSteady(r.ctx, hosts, r.backends(""), recoveryModels)
	if err != nil {
		t.Errorf("%s: %v", event, err)
	}
	after := r.fleet.Store.Counts()
	recovery := Recovery{
		Event: event, Hosts: len(r.fleet.EntryHosts), Backends: len(r.fleet.Backends), Until: until,
		StoreReads: after.Reads - before.Reads, StoreWrites: after.Writes - before.Writes,
	}
	r.processes.release()
	if _, err := awaitSteady(r.ctx, r.fleet.EntryHosts, r.backends(""), recoveryModels); err != nil {
		t.Errorf("after %s: %v", event, err)
	}
	time.Sleep(leaseSettle)
	t.Logf("%+v", recovery)
	return recovery
}

// outage takes the store down for a while.
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
