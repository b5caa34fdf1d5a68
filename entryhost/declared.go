package entryhost

import (
	"cmp"
	"slices"
	"strings"

	"citronspread/model"
)

// declared is a model version with the service that may run it.
type declared struct {
	service     string
	declaration model.ModelDeclaration
}

// declaredModels returns the declared model versions, one entry each, sorted by key.
// Where several records name one, the largest numbers count.
func declaredModels(records []heldRecord) []declared {
	var models []declared
	for _, held := range records {
		for _, m := range held.Declaration.Models {
			models = mergeDeclared(models, declared{service: held.Declaration.Service, declaration: m})
		}
	}
	slices.SortFunc(models, func(a, b declared) int { return compareKeys(a.declaration.Key, b.declaration.Key) })
	return models
}

func compareKeys(a, b model.ModelKey) int {
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Version, b.Version))
}

func mergeDeclared(models []declared, added declared) []declared {
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

// find returns the declaration of a model version.
func (s *configuration) find(key model.ModelKey) (declared, bool) {
	i, found := slices.BinarySearchFunc(s.models, key, func(m declared, key model.ModelKey) int {
		return compareKeys(m.declaration.Key, key)
	})
	if !found {
		return declared{}, false
	}
	return s.models[i], true
}
