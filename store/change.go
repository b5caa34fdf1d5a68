package store

// Change is the result of Watch. A key is in either Entries or Deleted, depending on its latest event.
// A Revision lower than the one passed to Watch means that the store was restored with older data. Entries then
// contains all keys under the prefix.
type Change struct {
	Revision int64
	Entries  []Entry
	Deleted  []string
}

// IsEmpty reports whether the change contains no keys.
func (c Change) IsEmpty() bool { return len(c.Entries)+len(c.Deleted) == 0 }

// MergeChanges merges changes, ordered from oldest to newest, into one. For each key it keeps only the latest event.
func MergeChanges(changes []Change) Change {
	latest := make(map[string]int) // by key: the index of the change with its latest event
	for i, c := range changes {
		for _, e := range c.Entries {
			latest[e.Key] = i
		}
		for _, key := range c.Deleted {
			latest[key] = i
		}
	}
	var merged Change
	for i, c := range changes {
		merged.Revision = max(merged.Revision, c.Revision)
		for _, e := range c.Entries {
			if latest[e.Key] == i {
				merged.Entries = append(merged.Entries, e)
			}
		}
		for _, key := range c.Deleted {
			if latest[key] == i {
				merged.Deleted = append(merged.Deleted, key)
			}
		}
	}
	return merged
}
