package entryhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"citronspread/caller"
	"citronspread/engine"
	"citronspread/hostlist"
	"citronspread/model"
	"citronspread/placement"
	"citronspread/routing"
	"citronspread/settings"
	"citronspread/store"
	"citronspread/workspace"
)

// staleAfter is the age at which a load report is stale. It allows for the delays of an engine's report
// and of the heartbeat that carries it.
const staleAfter = 8 * time.Second

// Run runs an entry host with the given settings until ctx ends.
func Run(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
	return FromSettings(s, logger).Run(ctx)
}

// FromSettings returns an entry host with the given settings.
func FromSettings(s settings.Settings, logger *zap.Logger) *Host {
	return &Host{
		Name:            s.Name,
		Zone:            s.Zone,
		Region:          s.Region,
		CallerAddress:   s.CallerAddress,
		PeerAddress:     s.PeerAddress,
		OperatorAddress: s.OperatorAddress,
		Policy:          policyFrom(s),
		Traffic:         trafficFrom(s),
		Workspaces:      workspace.NewDirectory(s.Workspaces),
		StoreTimeout:    s.Deadlines.StoreCall,
		MaxOrderDelay:   s.Deadlines.Order,
		Store:           &store.Client{Address: s.StoreAddress, Zone: s.Zone},
		HostList:        &hostlist.Client{Address: s.HostListAddress, Zone: s.Zone},
		DialEngine:      engineDialer(s),
		Log:             logger,
	}
}

func policyFrom(s settings.Settings) Policy {
	return Policy{
		Seeds:                   s.Seeds,
		KeepAlive:               placement.Weights{IdleSecond: s.KeepAlive.IdleWeight, ColdStartSecond: s.KeepAlive.ColdStartWeight},
		MinKeepAlive:            s.KeepAlive.Shortest,
		MaxKeepAlive:            s.KeepAlive.Longest,
		FreeLoads:               s.KeepAlive.FreeLoads,
		LoadsPerSecond:          s.WeightStore.LoadsPerSecond,
		MaxParallelLoads:        s.WeightStore.ParallelLoads,
		MaxParallelAdapterLoads: s.WeightStore.ParallelAdapters,
		StandingReservations:    s.StandingReservations,
	}
}

func trafficFrom(s settings.Settings) Traffic {
	limits := caller.DefaultLimits()
	limits.MaxBodyBytes = s.Limits.BodyBytes
	limits.BodyTimeout = s.Deadlines.Body
	limits.DefaultTimeout = s.Deadlines.Request
	limits.MaxTimeout = s.Deadlines.LongestRequest
	policy := routing.DefaultPolicy()
	policy.QueueLimit = s.Limits.QueueLength
	policy.StaleAfter = staleAfter
	return Traffic{
		Limits:          limits,
		Policy:          policy,
		Picker:          routing.LatencyPicker{},
		MaxConnections:  s.Limits.Connections,
		MaxHeaderBytes:  int(s.Limits.HeaderBytes),
		HeaderTimeout:   s.Deadlines.Header,
		DialTimeout:     s.Deadlines.Connect,
		BalancerLag:     s.BalancerLag,
		ShutdownTimeout: s.Deadlines.Shutdown,
	}
}

func engineDialer(s settings.Settings) func(host model.Host) Engine {
	return func(host model.Host) Engine {
		return &engine.Control{Address: host.Address, Backend: host.Name, Zone: s.Zone, OrderDelay: s.Deadlines.Order}
	}
}
