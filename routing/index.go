package routing

import (
	"slices"
	"strings"

	"citronspread/model"
)

// index holds lookup tables for one snapshot.
type index struct {
	snapshot  *model.Snapshot
	positions map[model.ModelKey]int             // in snapshot.Models
	names     map[string]model.ModelKey          // the newest version of each model, by model name
	endpoints map[string][]model.ServiceEndpoint // by service
}

// newIndex returns the index of a snapshot. It takes over the tables of the previous index that still apply, because a
// large deployment declares over a thousand models and publishes several snapshots a second.
func newIndex(snapshot *model.Snapshot, previous *index) *index {
	x := &index{snapshot: snapshot, endpoints: make(map[string][]model.ServiceEndpoint)}
	if snapshot == nil {
		return x
	}
	for _, e := range snapshot.Services {
		x.endpoints[e.Service] = append(x.endpoints[e.Service], e)
	}
	if previous != nil && previous.snapshot != nil && snapshot.Declared != 0 && snapshot.Declared == previous.snapshot.Declared {
		x.positions, x.names = previous.positions, previous.names
		return x
	}
	x.positions = make(map[model.ModelKey]int, len(snapshot.Models))
	x.names = make(map[string]model.ModelKey)
	for i, m := range snapshot.Models {
		key := m.Declaration.Key
		x.positions[key] = i
		if newest, found := x.names[key.Model]; !found || newerVersion(key.Version, newest.Version) {
			x.names[key.Model] = key
		}
	}
	return x
}

// find returns a declared model version, nil if there is none with the key.
func (x *index) find(key model.ModelKey) *model.RoutedModel {
	if i, found := x.positions[key]; found {
		return x.snapshot.Models[i]
	}
	return nil
}

// resolve returns the target of a name: model, model@version, model:adapter or model@version:adapter.
// It returns no model if the name is unknown.
func (x *index) resolve(name string) (Target, *model.RoutedModel) {
	if key, found := x.key(name); found {
		return Target{Key: key}, x.find(key)
	}
	colon := strings.LastIndexByte(name, ':')
	if colon < 0 {
		return Target{}, nil
	}
	key, found := x.key(name[:colon])
	if !found || !slices.Contains(x.find(key).Declaration.Adapters, name[colon+1:]) {
		return Target{}, nil
	}
	return Target{Key: key, Adapter: name[colon+1:]}, x.find(key)
}

func (x *index) key(name string) (model.ModelKey, bool) {
	if key, found := x.names[name]; found {
		return key, true
	}
	modelName, version, _ := strings.Cut(name, "@")
	key := model.ModelKey{Model: modelName, Version: version}
	_, found := x.positions[key]
	return key, found
}

// newerVersion reports whether version a is newer than b. The longer one is newer, so that v10 comes after v9;
// versions of equal length are compared as text.
func newerVersion(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}
