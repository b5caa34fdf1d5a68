package entryhost

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/model"
	"citronspread/placement"
)

func unmarshal(data []byte, value any) error { return cbor.Unmarshal(data, value) }

// statusCache keeps the decoded statuses of backend servers.
type statusCache struct {
	entries map[string]cachedStatus
}

type cachedStatus struct {
	rank   gossip.Rank
	status model.BackendStatus
	seenAt time.Time
}

// statuses returns the statuses of all listed backend servers, sorted by name.
func (c *control) statuses(now time.Time) []model.BackendStatus {
	var statuses []model.BackendStatus
	for _, item := range c.table.Items(gossip.KindBackend) {
		cached, ok := c.backends.entries[item.ID.Key]
		if !ok || cached.rank != item.Rank {
			cached = cachedStatus{rank: item.Rank, seenAt: now}
			if err := unmarshal(item.Value, &cached.status); err != nil {
				c.log.Warn("status not decoded", zap.String("backend", item.ID.Key), zap.Error(err))
				continue
			}
			c.backends.entries[item.ID.Key] = cached
		}
		statuses = append(statuses, cached.status)
	}
	return statuses
}

// publishSnapshot hands the traffic threads a new view.
func (c *control) publishSnapshot(now time.Time) {
	c.version++
	snapshot := &model.Snapshot{Version: c.version, Zone: c.self.Zone}
	statuses := c.statuses(now)
	loads := c.backendLoads()
	for _, m := range c.configuration.models() {
		snapshot.Models = append(snapshot.Models, model.RoutedModel{
			Declaration: m.declaration,
			Service:     m.service,
			Replicas:    c.replicasOf(now, m, statuses, loads),
		})
	}
	snapshot.Services = c.serviceEndpoints()
	snapshot.Suspects = c.suspects()
	c.edge.sink.Publish(snapshot)
}

func (c *control) replicasOf(now time.Time, m declared, statuses []model.BackendStatus, loads []placement.BackendLoad) []model.Replica {
	var replicas []model.Replica
	for _, s := range statuses {
		host, listed := c.hosts.find(s.Backend)
		for _, r := range s.Replicas {
			if r.Key != m.declaration.Key || r.State != model.ReservationLoaded {
				continue
			}
			load := findLoad(loads, s.Backend)
			replicas = append(replicas, model.Replica{
				Key:       r.Key,
				Backend:   s.Backend,
				Zone:      s.Zone,
				Address:   s.Address,
				Service:   s.Service,
				Adapters:  r.Adapters,
				Capacity:  s.Capacity,
				Running:   load.Running,
				Waiting:   load.Waiting,
				Draining:  r.Draining || !listed || host.State != model.HostLive,
				UpdatedAt: now,
			})
		}
	}
	slices.SortFunc(replicas, func(a, b model.Replica) int { return cmp.Compare(a.Backend, b.Backend) })
	return replicas
}

func (c *control) backendLoads() []placement.BackendLoad {
	var loads []placement.BackendLoad
	for _, l := range c.members.Loads() {
		loads = append(loads, placement.BackendLoad{Backend: l.Backend, Running: l.Running, Waiting: l.Waiting})
	}
	return loads
}

func findLoad(loads []placement.BackendLoad, backend string) placement.BackendLoad {
	for _, l := range loads {
		if l.Backend == backend {
			return l
		}
	}
	return placement.BackendLoad{}
}

func (c *control) serviceEndpoints() []model.ServiceEndpoint {
	var endpoints []model.ServiceEndpoint
	for _, h := range c.hosts.hosts {
		if h.Kind == model.KindService {
			endpoints = append(endpoints, model.ServiceEndpoint{
				Service: h.Service,
				Zone:    h.Zone,
				Address: h.Address,
				Leaving: h.State != model.HostLive,
			})
		}
	}
	return endpoints
}
