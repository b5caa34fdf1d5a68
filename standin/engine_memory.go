package standin

import (
	"context"
	"sort"
	"time"

	"citronspread/model"
)

// resident is a model version that takes memory of an engine, from the start of its load to the end of its unload.
type resident struct {
	key      model.ModelKey
	bytes    int64
	ready    bool
	adapters map[string]bool
	ctx      context.Context // ends when an unload begins
	cancel   context.CancelFunc
}

// usedBytes returns the memory that residents take. The caller holds the mutex.
func (e *Engine) usedBytes() int64 {
	var used int64
	for _, m := range e.life.residents {
		used += m.bytes
	}
	return used
}

// occupy takes memory for a load. It reports whether there is enough. The caller holds the mutex.
func (e *Engine) occupy(l *life, key model.ModelKey, bytes int64, now time.Time) (*resident, bool) {
	used := e.usedBytes() + bytes
	e.counts.PeakBytes = max(e.counts.PeakBytes, used)
	if used > e.MemoryBytes {
		e.counts.MemoryOvercommitted++
		return nil, false
	}
	ctx, cancel := context.WithCancel(l.ctx)
	m := &resident{key: key, bytes: bytes, adapters: map[string]bool{}, ctx: ctx, cancel: cancel}
	l.residents[key] = m
	e.recordReplica(key, true, now)
	return m, true
}

// vacate frees the memory of a resident. The caller holds the mutex.
func (e *Engine) vacate(l *life, m *resident, now time.Time) {
	m.cancel()
	if l.residents[m.key] != m || e.life != l {
		return
	}
	e.recordReplica(m.key, false, now)
	delete(l.residents, m.key)
}

// loadedModels lists the residents. The caller holds the mutex.
func (e *Engine) loadedModels() []model.LoadedModel {
	models := []model.LoadedModel{}
	for _, m := range e.life.residents {
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
