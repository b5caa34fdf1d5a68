package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"citronspread/model"
	"citronspread/routing"
)

// Times of what is known about backend servers.
const (
	// noteLasting is how long an own observation goes before an older entry of the platform's list;
	// a backend server writes its entry about every 1.2 s.
	noteLasting = 3 * time.Second
	// returnGrace is how long an entry that lapsed while the store was away may take to come back.
	returnGrace = 1800 * time.Millisecond
)

// view is what an entry host knows of backend servers. The control thread owns it.
type view struct {
	zone     string
	backends map[string]*backendView // by ID
}

// backendView is one backend server.
type backendView struct {
	listing   model.Listing
	missingAt time.Time // since when its entry has been missing after an outage of the store
	notes     map[string]note
	adapters  map[string]map[string]time.Time // by model: adapters that were seen to be loaded
	changedAt time.Time
}

// note is an own observation of whether a model is loaded.
type note struct {
	held bool
	at   time.Time
}

func newView(zone string) *view {
	return &view{zone: zone, backends: make(map[string]*backendView)}
}

// listed takes in an entry and reports whether it changed anything. Entries of an earlier life or state are passed over.
func (v *view) listed(now time.Time, l model.Listing) (changed, reborn bool) {
	b := v.backends[l.Life.ID]
	if b == nil {
		v.backends[l.Life.ID] = &backendView{listing: l, notes: make(map[string]note), adapters: make(map[string]map[string]time.Time), changedAt: now}
		return true, false
	}
	old := b.listing
	if l.Life.Born < old.Life.Born || l.Life.Born == old.Life.Born && l.Sequence < old.Sequence && !l.Draining {
		return false, false
	}
	reborn = l.Life.Born != old.Life.Born
	if !reborn && old.Draining {
		l.Draining = true
	}
	if reborn {
		b.notes, b.adapters = make(map[string]note), make(map[string]map[string]time.Time)
	}
	b.listing, b.changedAt, b.missingAt = l, now, time.Time{}
	return true, reborn
}

// removed forgets a backend server.
func (v *view) removed(id string) { delete(v.backends, id) }

// relisted compares the view with a whole list that was read after the store was out of reach.
// What is missing from it may come back within a short time.
func (v *view) relisted(now time.Time, present map[string]bool) {
	for id, b := range v.backends {
		if !present[id] && b.missingAt.IsZero() {
			b.missingAt = now
		}
	}
}

// expire forgets backend servers whose entries did not come back.
func (v *view) expire(now time.Time) (gone []string) {
	for id, b := range v.backends {
		if !b.missingAt.IsZero() && now.Sub(b.missingAt) > returnGrace {
			gone = append(gone, id)
			delete(v.backends, id)
		}
	}
	return gone
}

// noteModel notes whether a model was seen to be loaded.
func (v *view) noteModel(now time.Time, id, name string, held bool) {
	b := v.backends[id]
	if b == nil {
		return
	}
	b.notes[name] = note{held: held, at: now}
	b.changedAt = now
	if !held {
		delete(b.adapters, name)
	}
}

// noteAdapter notes whether an adapter was seen to be loaded.
func (v *view) noteAdapter(now time.Time, id, name, adapter string, held bool) {
	b := v.backends[id]
	if b == nil {
		return
	}
	b.changedAt = now
	if !held {
		delete(b.adapters[name], adapter)
		return
	}
	if b.adapters[name] == nil {
		b.adapters[name] = make(map[string]time.Time)
	}
	b.adapters[name][adapter] = now
}

// holds reports whether the backend server has the model loaded, as far as is known.
func (b *backendView) holds(now time.Time, name string) bool {
	if n, noted := b.notes[name]; noted && now.Sub(n.at) < noteLasting {
		return n.held
	}
	return slices.Contains(b.listing.Models, name)
}

// isUsable reports whether the backend server may get new work.
func (b *backendView) isUsable() bool { return !b.listing.Draining }

// held returns the models of a usable backend server.
func (b *backendView) held(now time.Time) []string {
	var names []string
	for _, name := range b.listing.Models {
		if b.holds(now, name) {
			names = append(names, name)
		}
	}
	for name := range b.notes {
		if !slices.Contains(b.listing.Models, name) && b.holds(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// holders returns the usable backend servers that hold the model, those of the zone first.
func (v *view) holders(now time.Time, service, name string) []*backendView {
	var found []*backendView
	for _, b := range v.backends {
		if b.listing.Service == service && b.isUsable() && b.holds(now, name) {
			found = append(found, b)
		}
	}
	slices.SortFunc(found, func(a, b *backendView) int {
		if (a.listing.Zone == v.zone) != (b.listing.Zone == v.zone) {
			if a.listing.Zone == v.zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.listing.Life.ID, b.listing.Life.ID)
	})
	return found
}

// snapshot builds what the traffic threads route by.
func (v *view) snapshot(now time.Time, version int64, state model.DesiredState, routers int, suspects []model.Suspect) *model.Snapshot {
	s := &model.Snapshot{Version: version, Complete: true, Zone: v.zone, Routers: routers, Suspects: suspects}
	at := make(map[model.ModelKey]int)
	for _, name := range slices.Sorted(maps.Keys(state.Services)) {
		spec := state.Services[name]
		if spec.Engine == nil {
			continue
		}
		for _, m := range slices.Sorted(maps.Keys(spec.Engine.Models)) {
			key := modelKey(name, m)
			at[key] = len(s.Models)
			s.Models = append(s.Models, model.RoutedModel{Declaration: model.ModelDeclaration{Key: key}, Service: name})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.backends)) {
		b := v.backends[id]
		if spec := state.Services[b.listing.Service]; spec.Engine == nil {
			s.Services = append(s.Services, model.ServiceEndpoint{
				Service: b.listing.Service, Backend: id, Zone: b.listing.Zone, Address: b.listing.Address, Leaving: b.listing.Draining,
			})
			continue
		}
		for _, name := range b.held(now) {
			if i, declared := at[modelKey(b.listing.Service, name)]; declared {
				s.Models[i].Replicas = append(s.Models[i].Replicas, b.replica(name))
			}
		}
	}
	return s
}

func (b *backendView) replica(name string) model.Replica {
	return model.Replica{
		Key:       modelKey(b.listing.Service, name),
		Backend:   b.listing.Life.ID,
		Zone:      b.listing.Zone,
		Address:   b.listing.Address,
		Service:   b.listing.Service,
		Adapters:  slices.Sorted(maps.Keys(b.adapters[name])),
		Capacity:  b.listing.Slots,
		Draining:  b.listing.Draining,
		UpdatedAt: b.changedAt,
	}
}

// modelKey names a model of a service; two services may have models of one name.
func modelKey(service, name string) model.ModelKey {
	return model.ModelKey{Model: name, Version: service}
}

func targetOf(q Question) routing.Target {
	return routing.Target{Key: modelKey(q.Service, q.Model), Adapter: q.Adapter}
}
