package record

import (
	"cmp"
	"slices"

	"citronspread/model"
)

// Merge returns one declaration for each model version, sorted by key. If several records declare the same version,
// the result has the larger of their numbers and the union of their adapters.
func Merge(declarations []model.Declaration) []model.ModelDeclaration {
	merged := make(map[model.ModelKey]model.ModelDeclaration)
	for _, d := range declarations {
		for _, m := range d.Models {
			earlier, ok := merged[m.Key]
			if ok {
				m = combine(earlier, m)
			}
			merged[m.Key] = m
		}
	}
	all := make([]model.ModelDeclaration, 0, len(merged))
	for _, m := range merged {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b model.ModelDeclaration) int {
		return cmp.Or(cmp.Compare(a.Key.Model, b.Key.Model), cmp.Compare(a.Key.Version, b.Key.Version))
	})
	return all
}

// combine merges two declarations of the same model version.
func combine(a, b model.ModelDeclaration) model.ModelDeclaration {
	adapters := slices.Concat(a.Adapters, b.Adapters)
	slices.Sort(adapters)
	return model.ModelDeclaration{
		Key:      a.Key,
		Adapters: slices.Compact(adapters),
		Bytes:    max(a.Bytes, b.Bytes),
		Replicas: max(a.Replicas, b.Replicas),
		Warm:     max(a.Warm, b.Warm),
		Priority: max(a.Priority, b.Priority),
	}
}
