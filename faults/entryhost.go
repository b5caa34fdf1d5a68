package faults

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"citronspread/model"

	"github.com/cockroachdb/errors"
)

const (
	hostsPerZone  = 2
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
	balancerLag   = 1500 * time.Millisecond
	maxOrderTime  = 6 * time.Second
)

// entryHost is an entry host under test.
type entryHost struct {
	name            string
	zone            string
	callerAddress   string
	peerAddress     string
	operatorAddress string
	ready           atomic.Bool // result of the load balancer's last probe
	faultActive     atomic.Bool // a fault of the process is active
}

func newEntryHosts(zones []string, free *addressPool) []*entryHost {
	var hosts []*entryHost
	for _, zone := range zones {
		for i := range hostsPerZone {
			hosts = append(hosts, &entryHost{
				name: fmt.Sprintf("%s-entry-%d", zone, i+1), zone: zone,
				callerAddress: free.take(), peerAddress: free.take(), operatorAddress: free.take(),
			})
		}
	}
	return hosts
}

func (h *entryHost) hostListEntry() model.Host {
	return model.Host{
		Name: h.name, Kind: model.KindEntry, Zone: h.zone, Region: "punjab", Address: h.peerAddress, State: model.HostLive,
	}
}

// probe polls the readiness of the host like a load balancer, until ctx ends.
func (h *entryHost) probe(ctx context.Context) {
	for ctx.Err() == nil {
		h.ready.Store(h.isReady(ctx))
		sleep(ctx, probeInterval)
	}
}

func (h *entryHost) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operatorAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// settingsWriter writes the settings files of entry hosts.
type settingsWriter struct {
	directory string
	platform  *platform
	hosts     []*entryHost
}

const settingsTemplate = `Name: %s
Zone: %s
Region: punjab
Deployment: Qureshi
CallerAddress: %s
PeerAddress: %s
OperatorAddress: %s
StoreAddress: %s
HostListAddress: %s
Seeds: [%s]
LogLevel: Info
BalancerLag: %s
StandingReservations: 1
KeepAlive:
  Shortest: 1s
  Longest: 5s
Deadlines:
  Request: %s
  Order: %s
  Shutdown: 30s
WeightStore:
  LoadsPerSecond: %d
  ParallelLoads: %d
`

func (w settingsWriter) write(h *entryHost) (string, error) {
	seeds := make([]string, 0, len(w.hosts))
	for _, o := range w.hosts {
		if o.zone == h.zone {
			seeds = append(seeds, fmt.Sprintf("%q", o.peerAddress))
		}
	}
	text := fmt.Sprintf(settingsTemplate, h.name, h.zone, h.callerAddress, h.peerAddress, h.operatorAddress,
		w.platform.store.Address, w.platform.hosts.Address, strings.Join(seeds, ", "), balancerLag, requestTimeout, maxOrderTime,
		loadsPerSecond, parallelLoads)
	file := filepath.Join(w.directory, h.name+".yaml")
	return file, errors.Wrapf(os.WriteFile(file, []byte(text), 0o600), "faults: write settings of %s", h.name)
}
