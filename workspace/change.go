package workspace

import (
	"reflect"

	"citronspread/model"
)

// Change is the difference between two directories. It contains neither keys nor digests.
type Change struct {
	Added       int // workspaces
	Removed     int // workspaces
	Modified    int // workspaces with another priority or cap
	KeysAdded   int // also those that were moved from another workspace
	KeysRemoved int // also those that were moved to another workspace
}

// IsEmpty reports whether there is no difference.
func (c Change) IsEmpty() bool { return c == Change{} }

// Compare returns the change from one directory to another.
func Compare(before, after *Directory) (c Change) {
	earlier := make(map[string]model.Workspace, len(before.Workspaces()))
	for _, w := range before.Workspaces() {
		earlier[w.Name] = w
	}
	for _, w := range after.Workspaces() {
		b, known := earlier[w.Name]
		delete(earlier, w.Name)
		switch {
		case !known:
			c.Added++
		case !reflect.DeepEqual(b, w):
			c.Modified++
		}
	}
	c.Removed = len(earlier)
	c.KeysAdded, c.KeysRemoved = missingKeys(after, before), missingKeys(before, after)
	return c
}

// missingKeys returns how many keys of a directory are not keys of the same workspace in another one.
func missingKeys(from, in *Directory) (count int) {
	if from == nil {
		return 0
	}
	for d, i := range from.positions {
		if in == nil {
			count++
			continue
		}
		if j, found := in.positions[d]; !found || in.workspaces[j].Name != from.workspaces[i].Name {
			count++
		}
	}
	return count
}
