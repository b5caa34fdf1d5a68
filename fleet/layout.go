package fleet

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/settings"
	"citronspread/standin"
)

// Port offsets from BasePort. Hosts of the same kind use consecutive ports.
const (
	storeOffset    = 1
	hostListOffset = 2
	callerOffset   = 100
	peerOffset     = 200
	operatorOffset = 300
	engineOffset   = 400
	serviceOffset  = 900
)

// Layout describes a fleet of zones with the same number of hosts each. All hosts listen on loopback ports.
type Layout struct {
	Deployment           string
	Region               string
	Zones                []string
	HostsPerZone         int
	EnginesPerZone       int
	EngineService        string // service that the backend servers belong to
	PlainService         string // plain service with one endpoint per zone; none if empty
	MemoryBytes          int64  // of each backend server
	TokensPerSecond      float64
	BatchCapacity        int
	Rates                standin.TierRates
	LoadsPerSecond       float64       // rate limit of the weight store
	ParallelLoads        int           // concurrent loads from the weight store at full speed
	HostListLag          time.Duration // delay until the host list publishes a change
	BalancerLag          time.Duration // time until the load balancer stops sending requests to a stopping entry host
	StoreWritesPerSecond float64       // rate limit of the store, in writes per second
	StoreReadsPerSecond  float64       // rate limit of the store, in reads per second
	BasePort             int
	Seed                 uint64

	StandingReservations int // loads reserved in advance on each backend server
}

// Build returns the fleet that the layout describes.
func (l Layout) Build(logger *zap.Logger) *Fleet {
	f := &Fleet{
		Logger:         logger,
		Store:          &standin.Store{Address: l.address(storeOffset), WritesPerSecond: l.StoreWritesPerSecond, ReadsPerSecond: l.StoreReadsPerSecond},
		HostList:       &standin.HostList{Address: l.address(hostListOffset), Lag: l.HostListLag},
		Weights:        &standin.WeightStore{LoadsPerSecond: l.LoadsPerSecond, FullSpeedLoads: l.ParallelLoads},
		ReplicaCounter: &standin.ReplicaCounter{},
	}
	for i, zone := range l.Zones {
		for j := range l.HostsPerZone {
			f.EntryHosts = append(f.EntryHosts, l.entryHost(zone, i*l.HostsPerZone+j, j))
		}
		for j := range l.EnginesPerZone {
			f.Backends = append(f.Backends, l.backend(f, zone, i*l.EnginesPerZone+j, j))
		}
		if l.PlainService != "" {
			f.Endpoints = append(f.Endpoints, l.endpoint(zone, i))
		}
	}
	return f
}

func (l Layout) entryHost(zone string, index, indexInZone int) settings.Settings {
	s := settings.Defaults(l.Deployment)
	s.Name = fmt.Sprintf("%s-entry-%d", zone, indexInZone+1)
	s.Zone = zone
	s.Region = l.Region
	s.CallerAddress = l.address(callerOffset + index)
	s.PeerAddress = l.address(peerOffset + index)
	s.OperatorAddress = l.address(operatorOffset + index)
	s.StoreAddress = l.address(storeOffset)
	s.HostListAddress = l.address(hostListOffset)
	s.Seeds = l.seeds()
	s.BalancerLag = l.BalancerLag
	s.WeightStore.LoadsPerSecond = l.LoadsPerSecond
	s.WeightStore.ParallelLoads = l.ParallelLoads
	s.StandingReservations = l.StandingReservations
	return s
}

// seeds returns the peer addresses of the first entry host of each zone.
func (l Layout) seeds() []string {
	seeds := make([]string, 0, len(l.Zones))
	for i := range l.Zones {
		seeds = append(seeds, l.address(peerOffset+i*l.HostsPerZone))
	}
	return seeds
}

// backend returns a backend server. Every second one checks fencing tokens, so that a fleet has engines with and
// without the check.
func (l Layout) backend(f *Fleet, zone string, index, indexInZone int) Backend {
	name := fmt.Sprintf("%s-backend-%d", zone, indexInZone+1)
	address := l.address(engineOffset + index)
	return Backend{
		Host: model.Host{
			Name: name, Kind: model.KindBackend, Zone: zone, Region: l.Region,
			Address: address, State: model.HostLive, Service: l.EngineService,
		},
		Engine: &standin.Engine{
			Address: address, Backend: name, MemoryBytes: l.MemoryBytes, ChecksFencing: index%2 == 0,
			Rates: l.Rates, Weights: f.Weights, ReplicaSink: f.ReplicaCounter, BatchCapacity: l.BatchCapacity,
			TokensPerSecond: l.TokensPerSecond, Seed: l.Seed + uint64(index),
		},
	}
}

func (l Layout) endpoint(zone string, index int) Endpoint {
	address := l.address(serviceOffset + index)
	return Endpoint{
		Host: model.Host{
			Name: fmt.Sprintf("%s-%s", zone, l.PlainService), Kind: model.KindService, Zone: zone, Region: l.Region,
			Address: address, State: model.HostLive, Service: l.PlainService,
		},
		Service: &standin.Service{Address: address, Name: l.PlainService},
	}
}

func (l Layout) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", l.BasePort+offset)
}
