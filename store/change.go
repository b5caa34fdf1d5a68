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
func MergeChanges(row []Change) Change {
	latest := make(map[string]int) // by key: the index of the change with its latest event
	for i, c := range row {
		for _, e := range c.Entries {
			latest[e.Key] = i
		}
		for _, key := range c.Deleted {
			latest[key] = i
		}
	}
	var joined Change
	for i, c := range row {
		joined.Revision = max(joined.Revision, c.Revision)
		for _, e := range c.Entries {
			if latest[e.Key] == i {
				joined.Entries = append(joined.Entries, e)
			}
		}
		for _, key := range c.Deleted {
			if latest[key] == i {
				joined.Deleted = append(joined.Deleted, key)
			}
		}
	}
	return joined
}
