package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	leadTime   = 10 * time.Second // within which the hosts are ready
	settleTime = 4 * time.Second  // after a change of the servers
)

var zones = []string{"sialkot-a", "sialkot-b", "gujranwala"}

// deployment is the system with its stand-ins.
type deployment struct {
	dir          string
	network      string // first two numbers of all addresses
	log          *record
	store        *metadataStore
	storeAddress string
	hosts        []*entryHost
	servers      []*modelServer
	service      string   // of the servers
	models       []string // that they hold
}

// newDeployment starts the store and entry hosts, two in each zone, with the desired state in place.
func newDeployment(dir string, log *record, state map[string]any, writes, reads float64) (*deployment, error) {
	d := &deployment{dir: dir, log: log, store: newMetadataStore(writes, reads), service: "link-scribe", models: []string{"daka510000"}}
	d.store.Put("op/config", state)
	go d.store.RunLeases(nil)
	var err error
	if d.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	if d.storeAddress, err = serve(d.network+".9.9", d.store); err != nil {
		return nil, err
	}
	for i := range 6 {
		d.hosts = append(d.hosts, &entryHost{
			Name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), Zone: zones[i%3], IP: fmt.Sprintf("%s.%d.%d", d.network, i%3+1, i/3+1), Store: d.storeAddress, Dir: dir, Log: log,
		})
	}
	return d, nil
}

// freeNetwork returns the first two numbers of loopback addresses on which no other case runs.
func freeNetwork() (string, error) {
	var err error
	for range 20 {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", network, callerPort)); err == nil {
			return network, listener.Close()
		}
	}
	return "", err
}

// startHosts starts all entry hosts.
func (d *deployment) startHosts() error {
	for _, h := range d.hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a model server.
func (d *deployment) addServer(version string) error {
	n := len(d.servers)
	m := &modelServer{
		ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+n*7919), Service: d.service, Address: fmt.Sprintf("%s.%d.%d:0", d.network, 20+n%3, n/3+1), Zone: zones[n%3], Version: version, Slots: 64,
		Models: d.models, Store: d.store, Log: d.log,
	}
	if err := m.Start(); err != nil {
		return err
	}
	d.servers = append(d.servers, m)
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.Kill()
	}
}

// modelState returns a desired state with one route to the models.
func modelState(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": serviceHost, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 12000, "latencyTargetMs": 600, "priority": 0,
			"service": "link-scribe", "maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gapTargetMs": 300,
		}},
		"services": []map[string]any{{
			"name": "link-scribe", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 129023, "weightSize": 230000, "adapterSlots": 8, "loadsPerS": 3.1,
				"models": []map[string]any{{"name": "daka510000", "weightSize": 72700, "loadTimeS": 6, "adapters": 0, "adapterMb": 66, "warmS": 0.63, "diskLoadS": 0.84}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// streamKeys is the prefix of the records of streams, which are only counted.
const streamKeys = "citronspread/stream/"

// startWithVersions starts the hosts beside servers of one software version, and then servers of another one.
func (d *deployment) startWithVersions(old, young int) error {
	for range old {
		if err := d.addServer("v1"); err != nil {
			return err
		}
	}
	if err := d.startHosts(); err != nil {
		return err
	}
	if !waitReady(d.hosts, leadTime) {
		return errNotReady
	}
	time.Sleep(settleTime)
	for range young {
		if err := d.addServer("v2"); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

var errNotReady = errors.New("the hosts are not ready in time")

// hostsFor returns the hosts that a client turns to, in order: one of its zone, and the other one of it at each further try.
func (d *deployment) hostsFor(client int) []*entryHost {
	first, second := d.hosts[client%6], d.hosts[(client+3)%6]
	return []*entryHost{first, second, second, second}
}
