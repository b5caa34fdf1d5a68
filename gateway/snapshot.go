package gateway

import (
	"maps"
	"slices"
	"time"

	"citronspread/model"
)

// catalog holds the declared models of one desired state and their replicas. It is updated by backend server, so that
// the cost of a change does not grow with the number of models and backend servers.
type catalog struct {
	declared  int64 // version of the desired state
	services  map[string]model.ServiceSpec
	positions map[model.ModelKey]int // in models
	models    []*model.RoutedModel   // replaced at a change, since snapshots share them
	holders   []map[string]bool      // by position: IDs of the backend servers that have the model loaded
	loaded    map[string][]int       // by ID of a backend server: positions of its models
	endpoints map[string]model.ServiceEndpoint
}

// newCatalog returns the catalog of a desired state, without any backend server.
func newCatalog(state model.DesiredState) *catalog {
	c := &catalog{
		declared: state.Version, services: state.Services, positions: make(map[model.ModelKey]int),
		loaded: make(map[string][]int), endpoints: make(map[string]model.ServiceEndpoint),
	}
	for _, name := range slices.Sorted(maps.Keys(state.Services)) {
		spec := state.Services[name]
		if spec.Engine == nil {
			continue
		}
		for _, m := range slices.Sorted(maps.Keys(spec.Engine.Models)) {
			key := modelKey(name, m)
			c.positions[key] = len(c.models)
			c.models = append(c.models, &model.RoutedModel{Declaration: model.ModelDeclaration{Key: key}, Service: name})
		}
	}
	c.holders = make([]map[string]bool, len(c.models))
	return c
}

// update updates the catalog from the changed backend servers of the view.
func (c *catalog) update(now time.Time, v *view, changed map[string]bool) {
	touched := make(map[int]bool)
	for id := range changed {
		for _, i := range c.loaded[id] {
			delete(c.holders[i], id)
			touched[i] = true
		}
		delete(c.loaded, id)
		delete(c.endpoints, id)
		b := v.backends[id]
		if b == nil {
			continue
		}
		if c.services[b.listing.Service].Engine == nil {
			c.endpoints[id] = model.ServiceEndpoint{
				Service: b.listing.Service, Backend: id, Born: b.listing.Life.Born, Zone: b.listing.Zone, Address: b.listing.Address, Leaving: b.listing.Draining,
				Software: b.listing.Software,
			}
			continue
		}
		for _, name := range b.loadedModels(now) {
			i, declared := c.positions[modelKey(b.listing.Service, name)]
			if !declared {
				continue
			}
			if c.holders[i] == nil {
				c.holders[i] = make(map[string]bool)
			}
			c.holders[i][id] = true
			c.loaded[id] = append(c.loaded[id], i)
			touched[i] = true
		}
	}
	for i := range touched {
		c.replaceModel(i, v)
	}
}

// replaceModel replaces the model at a position by one with its current replicas.
func (c *catalog) replaceModel(i int, v *view) {
	m := *c.models[i]
	m.Replicas = make([]model.Replica, 0, len(c.holders[i]))
	for _, id := range slices.Sorted(maps.Keys(c.holders[i])) {
		m.Replicas = append(m.Replicas, v.backends[id].replica(m.Declaration.Key.Model, c.services[m.Service].Engine.CacheTokens))
	}
	c.models[i] = &m
}

// snapshot builds the snapshot by which requests are routed.
func (v *view) snapshot(now time.Time, version int64, state model.DesiredState, routers int) *model.Snapshot {
	if v.catalog == nil || v.catalog.declared != state.Version || state.Version == 0 {
		v.catalog = newCatalog(state)
		for id := range v.backends {
			v.changed[id] = true
		}
	}
	c := v.catalog
	c.update(now, v, v.changed)
	clear(v.changed)
	s := &model.Snapshot{
		Version: version, Complete: true, Zone: v.zone, Routers: routers,
		Models: slices.Clone(c.models), Declared: c.declared,
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		s.Services = append(s.Services, c.endpoints[id])
	}
	return s
}

func (b *backendView) replica(name string, cacheTokens int) model.Replica {
	return model.Replica{
		Key:         modelKey(b.listing.Service, name),
		Backend:     b.listing.Life.ID,
		Born:        b.listing.Life.Born,
		Zone:        b.listing.Zone,
		Address:     b.listing.Address,
		Service:     b.listing.Service,
		Software:    b.listing.Software,
		Adapters:    slices.Sorted(maps.Keys(b.adapters[name])),
		Capacity:    b.listing.Slots,
		CacheTokens: cacheTokens,
		Draining:    b.listing.Draining,
		UpdatedAt:   b.changedAt,
	}
}
