package fleet

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/settings"
	"citronspread/standin"
)

// Offsets of ports from the base port.
const (
	storePort    = 1
	hostListPort = 2
	callerPort   = 100
	peerPort     = 200
	operatorPort = 300
	enginePort   = 400
	servicePort  = 900
)

// Layout describes a fleet of like zones on loopback ports.
type Layout struct {
	Deployment      string
	Region          string
	Zones           []string
	HostsPerZone    int
	EnginesPerZone  int
	EngineService   string // the service that the backend servers belong to
	PlainService    string // one endpoint in each zone; none when empty
	MemoryBytes     int64
	TokensPerSecond float64
	BatchCapacity   int
	Rates           standin.TierRates
	LoadsPerSecond  float64
	ParallelLoads   int
	HostListLag     time.Duration
	BalancerLag     time.Duration
	StoreWrites     float64
	StoreReads      float64
	BasePort        int
	Seed            uint64

	StandingReservations int
}

// Build returns the fleet that the layout describes.
func (l Layout) Build(logger *zap.Logger) *Fleet {
	f := &Fleet{
		Logger:   logger,
		Store:    &standin.Store{Address: l.address(storePort), WritesPerSecond: l.StoreWrites, ReadsPerSecond: l.StoreReads},
		HostList: &standin.HostList{Address: l.address(hostListPort), Lag: l.HostListLag},
		Weights:  &standin.WeightStore{LoadsPerSecond: l.LoadsPerSecond, FullSpeedLoads: l.ParallelLoads},
		Census:   &standin.Census{},
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

func (l Layout) entryHost(zone string, index, inZone int) settings.Settings {
	s := settings.Defaults(l.Deployment)
	s.Name = fmt.Sprintf("%s-entry-%d", zone, inZone+1)
	s.Zone = zone
	s.Region = l.Region
	s.CallerAddress = l.address(callerPort + index)
	s.PeerAddress = l.address(peerPort + index)
	s.OperatorAddress = l.address(operatorPort + index)
	s.StoreAddress = l.address(storePort)
	s.HostListAddress = l.address(hostListPort)
	s.Seeds = l.seeds()
	s.BalancerLag = l.BalancerLag
	s.WeightStore.LoadsPerSecond = l.LoadsPerSecond
	s.WeightStore.ParallelLoads = l.ParallelLoads
	s.StandingReservations = l.StandingReservations
	return s
}

// seeds names the first entry host of each zone.
func (l Layout) seeds() []string {
	seeds := make([]string, 0, len(l.Zones))
	for i := range l.Zones {
		seeds = append(seeds, l.address(peerPort+i*l.HostsPerZone))
	}
	return seeds
}

// backend returns a backend server; every second one checks fencing numbers.
func (l Layout) backend(f *Fleet, zone string, index, inZone int) Backend {
	name := fmt.Sprintf("%s-backend-%d", zone, inZone+1)
	address := l.address(enginePort + index)
	return Backend{
		Host: model.Host{
			Name: name, Kind: model.KindBackend, Zone: zone, Region: l.Region,
			Address: address, State: model.HostLive, Service: l.EngineService,
		},
		Engine: &standin.Engine{
			Address: address, Backend: name, MemoryBytes: l.MemoryBytes, ChecksFencing: index%2 == 0,
			Rates: l.Rates, Weights: f.Weights, Census: f.Census, BatchCapacity: l.BatchCapacity,
			TokensPerSecond: l.TokensPerSecond, Seed: l.Seed + uint64(index),
		},
	}
}

func (l Layout) endpoint(zone string, index int) Endpoint {
	address := l.address(servicePort + index)
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
