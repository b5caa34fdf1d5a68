package entryhost

import (
	"time"

	"citronspread/membership"
	"citronspread/model"
)

// publishSnapshot publishes the current control state for the goroutines that serve requests.
func (c *control) publishSnapshot(now time.Time) {
	c.version++
	snapshot := &model.Snapshot{
		Version:  c.version,
		Complete: c.configuration.isComplete && c.hosts.revision > 0,
		Zone:     c.self.Zone,
	}
	snapshot.Routers = len(c.members.Live(now))
	replicas := c.replicas(now)
	for _, m := range c.configuration.models {
		snapshot.Models = append(snapshot.Models, &model.RoutedModel{
			Declaration: m.declaration,
			Service:     m.service,
			Replicas:    replicas[m.declaration.Key],
		})
	}
	snapshot.Services = c.serviceEndpoints()
	snapshot.Suspects = c.suspects()
	c.executor.sink.PublishSnapshot(snapshot)
}

// replicas returns the loaded replicas by model version, each list sorted by backend server.
func (c *control) replicas(now time.Time) map[model.ModelKey][]model.Replica {
	replicas := make(map[model.ModelKey][]model.Replica)
	loads := c.members.LoadsByBackend(now)
	for _, s := range c.statuses().sorted {
		host, listed := c.hosts.find(s.Backend)
		isLeaving := !listed || host.State != model.HostLive
		load, known := loads[membership.NewBackendID(s.Backend)]
		if !known {
			load.TakenAt = now // a backend server without a report is treated as idle
		}
		for _, r := range s.Replicas {
			if r.State != model.ReservationLoaded {
				continue
			}
			replicas[r.Key] = append(replicas[r.Key], model.Replica{
				Key:       r.Key,
				Backend:   s.Backend,
				Zone:      s.Zone,
				Address:   s.Address,
				Service:   s.Service,
				Adapters:  r.Adapters,
				Capacity:  s.Capacity,
				Software:  s.Software,
				Running:   load.Running,
				Waiting:   load.Waiting,
				Draining:  r.Draining || isLeaving,
				UpdatedAt: load.TakenAt,
			})
		}
	}
	return replicas
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
