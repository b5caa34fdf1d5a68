package standin

import (
	"context"
	"sort"
	"time"

	"citronspread/model"
)

// resident is a model version that occupies memory of an engine, from the start of its load to the end of its unload.
type resident struct {
	key      model.ModelKey
	bytes    int64
	ready    bool // the load is complete and no unload has begun
	adapters map[string]bool
	ctx      context.Context // cancelled when an unload begins or the engine crashes
	cancel   context.CancelFunc
}

// usedBytes returns the memory that the residents occupy. e.mu must be held.
func (e *Engine) usedBytes() int64 {
	var used int64
	for _, m := range e.incarnation.residents {
		used += m.bytes
	}
	return used
}

// allocate adds a resident for a load. It returns false if the free memory does not suffice. e.mu must be held.
func (e *Engine) allocate(inc *incarnation, key model.ModelKey, bytes int64, now time.Time) (*resident, bool) {
	used := e.usedBytes() + bytes
	e.counts.PeakBytes = max(e.counts.PeakBytes, used)
	if used > e.MemoryBytes {
		e.counts.MemoryOvercommitted++
		return nil, false
	}
	ctx, cancel := context.WithCancel(inc.ctx)
	m := &resident{key: key, bytes: bytes, adapters: map[string]bool{}, ctx: ctx, cancel: cancel}
	inc.residents[key] = m
	e.recordReplica(key, true, now)
	return m, true
}

// free removes a resident and frees its memory. It does nothing more than cancel the resident's context if the resident
// has been replaced or the engine has crashed. e.mu must be held.
func (e *Engine) free(inc *incarnation, m *resident, now time.Time) {
	m.cancel()
	if inc.residents[m.key] != m || e.incarnation != inc {
		return
	}
	e.recordReplica(m.key, false, now)
	delete(inc.residents, m.key)
}

// loadedModels returns the residents, sorted by key. e.mu must be held.
func (e *Engine) loadedModels() []model.LoadedModel {
	models := []model.LoadedModel{}
	for _, m := range e.incarnation.residents {
		loaded := model.LoadedModel{Key: m.key, Bytes: m.bytes, Ready: m.ready}
		for adapter := range m.adapters {
			loaded.Adapters = append(loaded.Adapters, adapter)
		}
		sort.Strings(loaded.Adapters)
		models = append(models, loaded)
	}
	sort.Slice(models, func(i, j int) bool { return models[i].Key.String() < models[j].Key.String() })
	return models
}
