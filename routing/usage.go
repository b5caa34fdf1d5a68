package routing

import (
	"cmp"
	"slices"

	"citronspread/model"
)

// usages counts for each replica the requests that this router sent since the last report, and those that still run.
type usages struct {
	entries []model.Usage
}

// findOrAdd returns the entry of a replica and adds it if there is none.
func (u *usages) findOrAdd(backend string, target Target) *model.Usage {
	for i := range u.entries {
		e := &u.entries[i]
		if e.Backend == backend && e.Key == target.Key && e.Adapter == target.Adapter {
			return e
		}
	}
	u.entries = append(u.entries, model.Usage{Backend: backend, Key: target.Key, Adapter: target.Adapter})
	return &u.entries[len(u.entries)-1]
}

func (u *usages) recordStart(backend string, target Target, tokens int) {
	e := u.findOrAdd(backend, target)
	e.Requests++
	e.Running++
	e.Tokens += tokens
}

func (u *usages) recordEnd(backend string, target Target, tokens int) {
	e := u.findOrAdd(backend, target)
	e.Running--
	e.Tokens -= tokens
}

// take returns the usages and resets the counts. Entries with running requests are retained.
func (u *usages) take() []model.Usage {
	taken := slices.Clone(u.entries)
	u.entries = slices.DeleteFunc(u.entries, func(e model.Usage) bool { return e.Running == 0 })
	for i := range u.entries {
		u.entries[i].Requests = 0
	}
	slices.SortFunc(taken, func(a, b model.Usage) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Key.String(), b.Key.String()), cmp.Compare(a.Adapter, b.Adapter))
	})
	return taken
}

// TakeUsage returns the usage of each replica since the last call and resets it.
func (r *Router) TakeUsage() []model.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usages.take()
}
