package routing

// Name is a model name that callers may use.
type Name struct {
	ID      string
	Service string
}

// Names returns the names of the declared model versions and of their adapters.
func (r *Router) Names() []Name {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reindex(r.Now())
	if r.index.snapshot == nil {
		return nil
	}
	var names []Name
	for _, m := range r.index.snapshot.Models {
		id := m.Declaration.Key.String()
		names = append(names, Name{ID: id, Service: m.Service})
		for _, adapter := range m.Declaration.Adapters {
			names = append(names, Name{ID: id + ":" + adapter, Service: m.Service})
		}
	}
	return names
}
