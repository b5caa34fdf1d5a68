package ledger

import (
	"cmp"
	"slices"

	"citronspread/model"
)

// noSlot is the slot ID of a replica without a slot, and of an intent whose slot is not bound yet.
const noSlot = -1

// mergeSources merges two lists of a model's sources. For each record the highest generation wins.
// A record that does not name the model at its newest known generation decides 0 replicas.
func mergeSources(stored, own []model.Source, records []RecordGeneration) []model.Source {
	merged := slices.Clone(stored)
	for _, s := range own {
		i := slices.IndexFunc(merged, func(m model.Source) bool { return m.Record == s.Record })
		if i < 0 {
			merged = append(merged, s)
		} else if s.Generation > merged[i].Generation {
			merged[i] = s
		}
	}
	for i, m := range merged {
		for _, r := range records {
			if r.Record == m.Record && r.Generation > m.Generation {
				merged[i].Generation, merged[i].Replicas = r.Generation, 0
			}
		}
	}
	slices.SortFunc(merged, func(a, b model.Source) int { return cmp.Compare(a.Record, b.Record) })
	return merged
}

// bindSlot binds a free slot and returns its ID, or noSlot if as many slots are used as were decided.
func bindSlot(r *model.ModelRecord, s model.Slot) int {
	if r.UsedSlots() >= r.DecidedReplicas() {
		return noSlot
	}
	i := slices.IndexFunc(r.Slots, func(v model.Slot) bool { return v.State == model.SlotFree })
	if i < 0 {
		s.ID = lowestFreeID(r.Slots)
		r.Slots = append(r.Slots, s)
		return s.ID
	}
	s.ID = r.Slots[i].ID
	r.Slots[i] = s
	return s.ID
}

// lowestFreeID returns the lowest slot ID that is not in use.
func lowestFreeID(slots []model.Slot) int {
	id := 0
	for slices.ContainsFunc(slots, func(s model.Slot) bool { return s.ID == id }) {
		id++
	}
	return id
}

// fitSlots adds or removes free slots so that the record lists as many slots as were decided.
// Used slots beyond that number stay.
func fitSlots(r *model.ModelRecord) {
	for i := len(r.Slots) - 1; i >= 0 && len(r.Slots) > r.DecidedReplicas(); i-- {
		if r.Slots[i].State == model.SlotFree {
			r.Slots = slices.Delete(r.Slots, i, i+1)
		}
	}
	for len(r.Slots) < r.DecidedReplicas() {
		r.Slots = append(r.Slots, model.Slot{ID: lowestFreeID(r.Slots), State: model.SlotFree})
	}
}

// surplusSlots returns the IDs of the used slots beyond the decided number of replicas.
// Bound slots are retained before allotted ones, and lower IDs before higher ones.
func surplusSlots(r model.ModelRecord, decided int) []int {
	if r.UsedSlots() <= decided {
		return nil
	}
	used := slices.DeleteFunc(slices.Clone(r.Slots), func(s model.Slot) bool { return s.State == model.SlotFree })
	slices.SortFunc(used, func(a, b model.Slot) int {
		if a.State != b.State {
			return cmp.Compare(b.State, a.State) // Bound before Allotted
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var ids []int
	for _, s := range used[decided:] {
		ids = append(ids, s.ID)
	}
	return ids
}

// decidedBy returns the largest number of replicas among the sources.
func decidedBy(sources []model.Source) int {
	return model.ModelRecord{Sources: sources}.DecidedReplicas()
}

// cloneModel returns a copy of a record whose slots can be changed without affecting the original.
func cloneModel(r model.ModelRecord) model.ModelRecord {
	r.Slots = slices.Clone(r.Slots)
	return r
}
