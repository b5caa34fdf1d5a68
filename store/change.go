package store

// Change is the answer to Watch. A key is either written or deleted in one change, by its latest event.
// A Revision below the one asked for means that the store came back with older data; Entries then holds all keys
// under the prefix.
type Change struct {
	Revision int64
	Entries  []Entry
	Deleted  []string
}

// IsEmpty reports whether the change names no key.
func (c Change) IsEmpty() bool { return len(c.Entries)+len(c.Deleted) == 0 }

// Join returns what a row of changes, the oldest first, comes to: of several events of a key the latest one stays.
func Join(row []Change) Change {
	latest := make(map[string]int) // by key: the place in row of its latest event
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
