package measure

import (
	"context"
	"sync/atomic"
	"time"

	"citronspread/model"
	"citronspread/standin"
)

const idleInterval = 100 * time.Millisecond

// idleMeter adds up how long replicas were loaded, and how long without a request.
type idleMeter struct {
	census        *standin.Census
	open          []atomic.Int64 // requests under way by model
	index         map[model.ModelKey]int
	loadedSeconds float64
	idleSeconds   float64
}

func newIdleMeter(census *standin.Census, models int) *idleMeter {
	m := &idleMeter{census: census, open: make([]atomic.Int64, models), index: make(map[model.ModelKey]int, models)}
	for i := range models {
		m.index[modelKey(i)] = i
	}
	return m
}

// run samples from one time to another.
func (m *idleMeter) run(ctx context.Context, from, to time.Time) {
	for at := from; at.Before(to); at = at.Add(idleInterval) {
		if !waitUntil(ctx, at) {
			return
		}
		m.take()
	}
}

func (m *idleMeter) take() {
	for _, count := range m.census.Counts() {
		i, ok := m.index[count.Key]
		if !ok {
			continue
		}
		idle := max(0, count.Loaded-int(m.open[i].Load()))
		m.loadedSeconds += float64(count.Loaded) * idleInterval.Seconds()
		m.idleSeconds += float64(idle) * idleInterval.Seconds()
	}
}

// isCold reports whether no replica of a model is loaded.
func (m *idleMeter) isCold(index int) bool {
	for _, count := range m.census.Counts() {
		if count.Key == modelKey(index) {
			return count.Loaded == 0
		}
	}
	return true
}
