package routing

import (
	"slices"
	"strings"

	"citronspread/model"
)

// index finds the entries of one snapshot.
type index struct {
	snapshot  *model.Snapshot
	models    map[model.ModelKey]*model.RoutedModel
	names     map[string]model.ModelKey // the newest version of each model
	endpoints map[string][]model.ServiceEndpoint
}

func newIndex(snapshot *model.Snapshot) *index {
	x := &index{
		snapshot:  snapshot,
		models:    make(map[model.ModelKey]*model.RoutedModel),
		names:     make(map[string]model.ModelKey),
		endpoints: make(map[string][]model.ServiceEndpoint),
	}
	if snapshot == nil {
		return x
	}
	for i := range snapshot.Models {
		m := &snapshot.Models[i]
		key := m.Declaration.Key
		x.models[key] = m
		if newest, found := x.names[key.Model]; !found || newerVersion(key.Version, newest.Version) {
			x.names[key.Model] = key
		}
	}
	for _, e := range snapshot.Services {
		x.endpoints[e.Service] = append(x.endpoints[e.Service], e)
	}
	return x
}

// resolve finds the target of a name: model, model@version, model:adapter or model@version:adapter.
func (x *index) resolve(name string) (Target, *model.RoutedModel) {
	if key, found := x.key(name); found {
		return Target{Key: key}, x.models[key]
	}
	cut := strings.LastIndexByte(name, ':')
	if cut < 0 {
		return Target{}, nil
	}
	key, found := x.key(name[:cut])
	if !found || !slices.Contains(x.models[key].Declaration.Adapters, name[cut+1:]) {
		return Target{}, nil
	}
	return Target{Key: key, Adapter: name[cut+1:]}, x.models[key]
}

func (x *index) key(name string) (model.ModelKey, bool) {
	if key, found := x.names[name]; found {
		return key, true
	}
	bare, version, _ := strings.Cut(name, "@")
	key := model.ModelKey{Model: bare, Version: version}
	_, found := x.models[key]
	return key, found
}

// newerVersion compares versions such as v9 and v10 by length first, then by text.
func newerVersion(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}
