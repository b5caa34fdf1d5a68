package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"citronspread/model"
	"citronspread/routing"
)

// Lifetimes of observations and missing entries.
const (
	// observationTTL is how long an observation of this host overrides the platform's list, whose entry may be older.
	// A backend server writes its entry about every 1.2 s.
	observationTTL = 3 * time.Second
	// returnGrace is how long an entry that expired during an outage of the store may take to reappear.
	returnGrace = 1800 * time.Millisecond
	// goneRetention is how long a backend server that is gone is remembered. Its entry comes back if it was cut off from the store, or
	// if the store is restored.
	goneRetention = 10 * time.Minute
	// maxGone bounds the backend servers that are remembered.
	maxGone = 4096
)

// view is an entry host's view of the backend servers. It is used by the control thread only.
type view struct {
	zone     string
	backends map[string]*backendView // by ID
	observed map[string]bool         // IDs of the backend servers with observations
	changed  map[string]bool         // IDs of the backend servers that changed since the last snapshot
	gone     map[string]goneBackend  // by ID: backend servers that are not listed any more
	catalog  *catalog                // nil until the first snapshot
}

// goneBackend is the view of a backend server when it was removed.
type goneBackend struct {
	*backendView
	at time.Time
}

// backendView is the view of one backend server.
type backendView struct {
	listing      model.BackendListing
	missingSince time.Time // when its entry was first missing from a complete list, zero if it is present
	observations map[string]observation
	adapters     map[string]map[string]time.Time // by model and adapter: when the adapter was observed to be loaded
	changedAt    time.Time
}

// observation records whether this host observed a model to be loaded.
type observation struct {
	loaded bool
	at     time.Time
}

func newView(zone string) *view {
	return &view{zone: zone, backends: make(map[string]*backendView), observed: make(map[string]bool), changed: make(map[string]bool), gone: make(map[string]goneBackend)}
}

// applyListing applies an entry of the platform's list. It ignores entries of an earlier incarnation, and entries of an
// earlier sequence unless they report draining. changed reports whether the entry was applied, restarted whether it
// belongs to a new incarnation.
func (v *view) applyListing(now time.Time, l model.BackendListing) (changed, restarted bool) {
	b := v.backends[l.Life.ID]
	if b == nil {
		return true, v.add(now, l)
	}
	old := b.listing
	if l.Life.Born < old.Life.Born || l.Life.Born == old.Life.Born && l.Sequence < old.Sequence && !l.Draining {
		return false, false
	}
	restarted = l.Life.Born != old.Life.Born
	if !restarted && old.Draining {
		l.Draining = true
	}
	if restarted {
		b.observations, b.adapters = make(map[string]observation), make(map[string]map[string]time.Time)
	}
	b.listing, b.changedAt, b.missingSince = l, now, time.Time{}
	v.changed[l.Life.ID] = true
	return true, restarted
}

// add adds a backend server that is not listed. What is known of its incarnation from before its entry was removed still holds. It
// reports whether an earlier incarnation is known.
func (v *view) add(now time.Time, l model.BackendListing) (restarted bool) {
	b := &backendView{observations: make(map[string]observation), adapters: make(map[string]map[string]time.Time)}
	if g, known := v.gone[l.Life.ID]; known {
		restarted = g.listing.Life.Born < l.Life.Born
		if g.listing.Life == l.Life {
			b, l.Draining = g.backendView, l.Draining || g.listing.Draining
		}
		delete(v.gone, l.Life.ID)
	}
	b.listing, b.changedAt, b.missingSince = l, now, time.Time{}
	v.backends[l.Life.ID] = b
	v.changed[l.Life.ID] = true
	if len(b.observations) > 0 {
		v.observed[l.Life.ID] = true
	}
	return restarted
}

// recordLeaving records that an incarnation of a backend server has stated that it is leaving. It reports whether that is news.
func (v *view) recordLeaving(now time.Time, id string, born int64) bool {
	b := v.backends[id]
	if b == nil || b.listing.Draining || born < b.listing.Life.Born {
		return false
	}
	b.listing.Draining, b.changedAt = true, now
	v.changed[id] = true
	return true
}

// remove removes a backend server, which is remembered for goneRetention.
func (v *view) remove(now time.Time, id string) {
	if b := v.backends[id]; b != nil {
		v.gone[id] = goneBackend{backendView: b, at: now}
	}
	delete(v.backends, id)
	v.changed[id] = true
}

// isGone reports whether the incarnation was removed and has not been listed again.
func (v *view) isGone(life model.BackendIncarnation) bool {
	g, gone := v.gone[life.ID]
	return gone && life.Born <= g.listing.Life.Born
}

// known returns the view of a backend server that is listed or remembered, nil if there is none.
func (v *view) known(id string) *backendView {
	if b := v.backends[id]; b != nil {
		return b
	}
	return v.gone[id].backendView
}

// markMissing marks the backend servers that are missing from a complete list. After an outage of the store, their
// entries may reappear within returnGrace.
func (v *view) markMissing(now time.Time, present map[string]bool) {
	for id, b := range v.backends {
		if !present[id] && b.missingSince.IsZero() {
			b.missingSince = now
		}
	}
}

// expire removes backend servers whose missing entries did not reappear, and returns their IDs.
func (v *view) expire(now time.Time) (expired []string) {
	for id, b := range v.backends {
		if !b.missingSince.IsZero() && now.Sub(b.missingSince) > returnGrace {
			expired = append(expired, id)
			v.remove(now, id)
		}
	}
	return expired
}

// forgetGone drops the backend servers that have been gone for goneRetention, and the first ones beyond maxGone. It returns their IDs.
func (v *view) forgetGone(now time.Time) (forgotten []string) {
	for id, g := range v.gone {
		if now.Sub(g.at) > goneRetention {
			forgotten = append(forgotten, id)
		}
	}
	if excess := len(v.gone) - len(forgotten) - maxGone; excess > 0 {
		byAge := slices.SortedFunc(maps.Keys(v.gone), func(a, b string) int { return v.gone[a].at.Compare(v.gone[b].at) })
		forgotten = byAge[:len(forgotten)+excess]
	}
	for _, id := range forgotten {
		delete(v.gone, id)
	}
	return forgotten
}

// expireObservations drops the observations that no longer override the platform's list.
func (v *view) expireObservations(now time.Time) {
	for id := range v.observed {
		b := v.backends[id]
		if b == nil {
			delete(v.observed, id)
			continue
		}
		before := len(b.observations)
		maps.DeleteFunc(b.observations, func(_ string, o observation) bool { return now.Sub(o.at) >= observationTTL })
		if len(b.observations) < before {
			v.changed[id] = true
		}
		if len(b.observations) == 0 {
			delete(v.observed, id)
		}
	}
}

// recordModel records an observation of whether a model is loaded.
func (v *view) recordModel(now time.Time, id, name string, loaded bool) {
	b := v.backends[id]
	if b == nil {
		return
	}
	b.observations[name] = observation{loaded: loaded, at: now}
	b.changedAt = now
	v.observed[id], v.changed[id] = true, true
	if !loaded {
		delete(b.adapters, name)
	}
}

// recordAdapter records an observation of whether an adapter is loaded.
func (v *view) recordAdapter(now time.Time, id, name, adapter string, loaded bool) {
	b := v.backends[id]
	if b == nil {
		return
	}
	b.changedAt = now
	v.changed[id] = true
	if !loaded {
		delete(b.adapters[name], adapter)
		return
	}
	if b.adapters[name] == nil {
		b.adapters[name] = make(map[string]time.Time)
	}
	b.adapters[name][adapter] = now
}

// hasModel reports whether the model is loaded, by a recent observation or else by the platform's list.
func (b *backendView) hasModel(now time.Time, name string) bool {
	if o, observed := b.observations[name]; observed && now.Sub(o.at) < observationTTL {
		return o.loaded
	}
	return slices.Contains(b.listing.Models, name)
}

// isUsable reports whether the backend server may receive new work.
func (b *backendView) isUsable() bool { return !b.listing.Draining }

// loadedModels returns the models that are loaded.
func (b *backendView) loadedModels(now time.Time) []string {
	var names []string
	for _, name := range b.listing.Models {
		if b.hasModel(now, name) {
			names = append(names, name)
		}
	}
	for name := range b.observations {
		if !slices.Contains(b.listing.Models, name) && b.hasModel(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// backendsWith returns the usable backend servers that have the model loaded, those of the own zone first.
func (v *view) backendsWith(now time.Time, service, name string) []*backendView {
	var found []*backendView
	for _, b := range v.backends {
		if b.listing.Service == service && b.isUsable() && b.hasModel(now, name) {
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

// otherSoftware returns the IDs of a service's backend servers of other software versions.
func (v *view) otherSoftware(service, version string) []string {
	var ids []string
	for id, b := range v.backends {
		if b.listing.Service == service && b.listing.Software != version {
			ids = append(ids, id)
		}
	}
	return ids
}

// modelKey returns the key of a model. It includes the service because two services may have models of the same name.
func modelKey(service, name string) model.ModelKey {
	return model.ModelKey{Model: name, Version: service}
}

func targetOf(r RoutedRequest) routing.Target {
	return routing.Target{Key: modelKey(r.Service, r.Model), Adapter: r.Adapter, Software: r.Software}
}
