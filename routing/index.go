package routing

import (
	"slices"
	"strings"

	"citronspread/model"
)

// index holds lookup tables for one snapshot.
type index struct {
	snapshot  *model.Snapshot
	models    map[model.ModelKey]*model.RoutedModel
	names     map[string]model.ModelKey          // the newest version of each model, by model name
	endpoints map[string][]model.ServiceEndpoint // by service
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

// resolve returns the target of a name: model, model@version, model:adapter or model@version:adapter.
// It returns no model if the name is unknown.
func (x *index) resolve(name string) (Target, *model.RoutedModel) {
	if key, found := x.key(name); found {
		return Target{Key: key}, x.models[key]
	}
	colon := strings.LastIndexByte(name, ':')
	if colon < 0 {
		return Target{}, nil
	}
	key, found := x.key(name[:colon])
	if !found || !slices.Contains(x.models[key].Declaration.Adapters, name[colon+1:]) {
		return Target{}, nil
	}
	return Target{Key: key, Adapter: name[colon+1:]}, x.models[key]
}

func (x *index) key(name string) (model.ModelKey, bool) {
	if key, found := x.names[name]; found {
		return key, true
	}
	modelName, version, _ := strings.Cut(name, "@")
	key := model.ModelKey{Model: modelName, Version: version}
	_, found := x.models[key]
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
