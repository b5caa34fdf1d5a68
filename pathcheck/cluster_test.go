package pathcheck

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"citronspread/model"
)

const (
	region        = "punjab"
	engineService = "link-scribe"
	plainService  = "order-desk"
)

var (
	zones       = []string{"sialkot-a", "sialkot-b", "gujranwala"}
	engineZones = []string{"sialkot-a", "sialkot-a", "sialkot-b", "gujranwala"}
)

// entryHost is an entry host with its addresses.
type entryHost struct {
	process  *process
	name     string
	zone     string
	caller   string
	peer     string
	operator string
}

// cluster holds the addresses of the stand-ins, and the entry hosts.
type cluster struct {
	store   string
	hosts   string
	weights string
	counter string
	service string
	engines []string
	entries []*entryHost
}

// startPlatform starts all stand-ins.
func startPlatform(t *testing.T) *cluster {
	t.Helper()
	free := freeAddresses(t, 9+3*2*len(zones))
	c := &cluster{store: free[0], hosts: free[1], weights: free[2], counter: free[3], service: free[4], engines: free[5:9]}
	c.assignEntries(free[9:])
	start(t, "store", "stand-in", "store", "--address", c.store)
	start(t, "weights", "stand-in", "weights", "--address", c.weights)
	start(t, "census", "stand-in", "census", "--address", c.counter)
	start(t, "service", "stand-in", "service", "--address", c.service, "--name", plainService)
	for i, address := range c.engines {
		args := []string{
			"stand-in", "engine", "--address", address, "--backend", backendName(i), "--remote-rate", "4e9",
			"--weights", c.weights, "--census", c.counter,
		}
		if i%2 == 0 {
			args = append(args, "--checks-fencing")
		}
		start(t, backendName(i), args...)
	}
	start(t, "hosts", "stand-in", "hosts", "--address", c.hosts, "--lag", "100ms", "--file", c.writeHosts(t))
	for _, address := range append([]string{c.store, c.service}, c.engines...) {
		waitUntil(t, address, func() bool { return isServing(address, "/counts") })
	}
	return c
}

func backendName(i int) string { return fmt.Sprintf("%s-backend-%d", engineZones[i], i+1) }

// assignEntries assigns names and addresses to two entry hosts per zone.
func (c *cluster) assignEntries(free []string) {
	for i := range 2 * len(zones) {
		zone := zones[i/2]
		c.entries = append(c.entries, &entryHost{
			name: fmt.Sprintf("%s-entry-%d", zone, i%2+1), zone: zone,
			caller: free[3*i], peer: free[3*i+1], operator: free[3*i+2],
		})
	}
}

// writeHosts writes the initial host list to a file.
func (c *cluster) writeHosts(t *testing.T) string {
	t.Helper()
	var hosts []model.Host
	for _, e := range c.entries {
		hosts = append(hosts, model.Host{Name: e.name, Kind: model.KindEntry, Zone: e.zone, Region: region, Address: e.peer, State: model.HostLive})
	}
	for i, address := range c.engines {
		hosts = append(hosts, model.Host{
			Name: backendName(i), Kind: model.KindBackend, Zone: engineZones[i], Region: region,
			Address: address, State: model.HostLive, Service: engineService,
		})
	}
	hosts = append(hosts, model.Host{
		Name: plainService, Kind: model.KindService, Zone: zones[0], Region: region,
		Address: c.service, State: model.HostLive, Service: plainService,
	})
	return writeHostList(t, hosts)
}

func writeHostList(t *testing.T, hosts []model.Host) string {
	t.Helper()
	body, err := json.Marshal(hosts)
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, "hosts.json", string(body))
}

// startEntries starts all entry hosts and waits until they are ready.
func (c *cluster) startEntries(t *testing.T) {
	t.Helper()
	for _, e := range c.entries {
		e.process = start(t, e.name, "serve", "--settings", writeFile(t, e.name+".yaml", c.settings(e)))
	}
	for _, e := range c.entries {
		waitUntil(t, e.name, func() bool { return isServing(e.operator, "/readyz") })
	}
}

// settings returns the settings of an entry host as YAML.
func (c *cluster) settings(e *entryHost) string {
	lines := []string{
		"Name: " + e.name,
		"Zone: " + e.zone,
		"Region: " + region,
		"Deployment: Qureshi",
		"CallerAddress: " + e.caller,
		"PeerAddress: " + e.peer,
		"OperatorAddress: " + e.operator,
		"StoreAddress: " + c.store,
		"HostListAddress: " + c.hosts,
		fmt.Sprintf("Seeds: [%q, %q, %q]", c.entries[0].peer, c.entries[2].peer, c.entries[4].peer),
		"BalancerLag: 300ms",
		"WeightStore: {LoadsPerSecond: 3, ParallelLoads: 4}",
	}
	return strings.Join(lines, "\n") + "\n"
}

func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
