package entryhost

import (
	"cmp"
	"slices"
	"strings"

	"citronspread/model"
)

// declaredModel is a declared model version and the service whose backend servers may run it.
type declaredModel struct {
	service     string
	declaration model.ModelDeclaration
}

// declaredModels returns the declared model versions, one entry each, sorted by key. For a model version that several
// records declare, it takes the largest replica, warm and byte counts and the highest priority, and joins the adapters.
func declaredModels(records []activeRecord) []declaredModel {
	var models []declaredModel
	for _, active := range records {
		for _, m := range active.Declaration.Models {
			models = mergeDeclared(models, declaredModel{service: active.Declaration.Service, declaration: m})
		}
	}
	slices.SortFunc(models, func(a, b declaredModel) int { return compareKeys(a.declaration.Key, b.declaration.Key) })
	return models
}

func compareKeys(a, b model.ModelKey) int {
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Version, b.Version))
}

func mergeDeclared(models []declaredModel, added declaredModel) []declaredModel {
	for i, m := range models {
		if m.declaration.Key != added.declaration.Key {
			continue
		}
		merged := m.declaration
		merged.Replicas = max(merged.Replicas, added.declaration.Replicas)
		merged.Warm = max(merged.Warm, added.declaration.Warm)
		merged.Bytes = max(merged.Bytes, added.declaration.Bytes)
		merged.Priority = max(merged.Priority, added.declaration.Priority)
		merged.Adapters = union(merged.Adapters, added.declaration.Adapters)
		models[i].declaration = merged
		return models
	}
	return append(models, added)
}

func union(a, b []string) []string {
	joined := slices.Concat(a, b)
	slices.Sort(joined)
	return slices.Compact(joined)
}

// find returns the declared model version with the given key.
func (s *configuration) find(key model.ModelKey) (declaredModel, bool) {
	i, found := slices.BinarySearchFunc(s.models, key, func(m declaredModel, key model.ModelKey) int {
		return compareKeys(m.declaration.Key, key)
	})
	if !found {
		return declaredModel{}, false
	}
	return s.models[i], true
}
