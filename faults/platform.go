package faults

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"citronspread/model"
	"citronspread/standin"
	"citronspread/store"
)

// Sizes and names of the stand-in platform.
const (
	enginesPerZone = 2
	engineMemory   = 16_000_000_000 // bytes
	engineTokens   = 200            // per second, for a stream without concurrent streams
	loadsPerSecond = 5
	parallelLoads  = 4
	hostListLag    = 500 * time.Millisecond
	engineRestart  = 1500 * time.Millisecond
	modelService   = "link-scribe"
	bookingService = "order-desk"
)

var platformRates = standin.TierRates{Memory: 40e9, Disk: 20e9, Remote: 8e9}

// platform holds the stand-ins that the entry hosts connect to.
type platform struct {
	zones    []string
	store    *standin.Store
	hosts    *standin.HostList
	weights  *standin.WeightStore
	counter  *standin.ReplicaCounter
	engines  []*platformEngine
	services []*standin.Service
	runs     *runLog
}

// platformEngine is a stand-in engine with the data of its host list entry.
type platformEngine struct {
	*standin.Engine
	zone        string
	leaveFaults atomic.Int32 // active faults that show it as leaving
}

func (e *platformEngine) hostListEntry(state model.HostState) model.Host {
	return model.Host{
		Name: e.Backend, Kind: model.KindBackend, Zone: e.zone, Region: "punjab",
		Address: e.Address, State: state, Service: modelService,
	}
}

func newPlatform(free *addressPool) *platform {
	p := &platform{
		zones:   []string{"sialkot-a", "sialkot-b", "gujranwala"},
		counter: &standin.ReplicaCounter{},
		weights: &standin.WeightStore{LoadsPerSecond: loadsPerSecond, FullSpeedLoads: parallelLoads},
		runs:    &runLog{},
	}
	p.store = &standin.Store{Address: free.take()}
	p.hosts = &standin.HostList{Address: free.take(), Lag: hostListLag}
	for _, zone := range p.zones {
		for i := range enginesPerZone {
			p.engines = append(p.engines, p.newEngine(zone, i, free.take()))
		}
		p.services = append(p.services, &standin.Service{
			Name: bookingService + "-" + zone, Address: free.take(), Delay: 10 * time.Millisecond, RunSink: p.runs,
		})
	}
	return p
}

func (p *platform) newEngine(zone string, i int, address string) *platformEngine {
	return &platformEngine{zone: zone, Engine: &standin.Engine{
		Address: address, Backend: fmt.Sprintf("%s-backend-%d", zone, i+1), MemoryBytes: engineMemory,
		ChecksFencing: i%2 == 0, Rates: platformRates, Weights: p.weights, ReplicaSink: p.counter, RunSink: p.runs,
		TokensPerSecond: engineTokens, RestartDelay: engineRestart, Seed: uint64(len(p.engines)),
	}}
}

// start runs the stand-ins until ctx ends and adds them to the host list.
func (p *platform) start(ctx context.Context, log func(string, ...any)) {
	serve := func(name string, run func(context.Context) error) {
		go func() {
			if err := run(ctx); err != nil {
				log("faults: %s: %v", name, err)
			}
		}()
	}
	serve("store", p.store.Run)
	serve("host list", p.hosts.Run)
	for _, e := range p.engines {
		serve(e.Backend, e.Run)
		p.hosts.Set(e.hostListEntry(model.HostLive))
	}
	for i, s := range p.services {
		serve(s.Name, s.Run)
		p.hosts.Set(model.Host{
			Name: s.Name, Kind: model.KindService, Zone: p.zones[i], Region: "punjab",
			Address: s.Address, State: model.HostLive, Service: bookingService,
		})
	}
}

// storeClient returns a new client of the store.
func (p *platform) storeClient() *store.Client { return &store.Client{Address: p.store.Address} }

// engineZone returns the zone of a backend server, or an empty string if it is unknown.
func (p *platform) engineZone(backend string) string {
	for _, e := range p.engines {
		if e.Backend == backend {
			return e.zone
		}
	}
	return ""
}

// runLog records the requests that the stand-ins run.
type runLog struct {
	mu   sync.Mutex
	runs []standin.RequestRun
}

// RecordRun implements standin.RunSink.
func (l *runLog) RecordRun(run standin.RequestRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// all returns the runs recorded so far.
func (l *runLog) all() []standin.RequestRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[:len(l.runs):len(l.runs)]
}
