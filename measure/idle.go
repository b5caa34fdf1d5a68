package measure

import (
	"context"
	"sync/atomic"
	"time"

	"citronspread/model"
	"citronspread/standin"
)

const idleInterval = 100 * time.Millisecond

// idleMeter samples how many replicas are loaded and how many of them are idle, and adds up the replica seconds.
type idleMeter struct {
	counter       *standin.ReplicaCounter
	inFlight      []atomic.Int64 // requests in flight, by model
	index         map[model.ModelKey]int
	loadedSeconds float64
	idleSeconds   float64
}

func newIdleMeter(counter *standin.ReplicaCounter, models int) *idleMeter {
	m := &idleMeter{counter: counter, inFlight: make([]atomic.Int64, models), index: make(map[model.ModelKey]int, models)}
	for i := range models {
		m.index[modelKey(i)] = i
	}
	return m
}

// run takes samples between two times.
func (m *idleMeter) run(ctx context.Context, from, to time.Time) {
	for at := from; at.Before(to); at = at.Add(idleInterval) {
		if !waitUntil(ctx, at) {
			return
		}
		m.sample()
	}
}

// sample takes a sample. It assumes that each request in flight occupies one replica.
func (m *idleMeter) sample() {
	for _, count := range m.counter.Counts() {
		i, ok := m.index[count.Key]
		if !ok {
			continue
		}
		idle := max(0, count.Loaded-int(m.inFlight[i].Load()))
		m.loadedSeconds += float64(count.Loaded) * idleInterval.Seconds()
		m.idleSeconds += float64(idle) * idleInterval.Seconds()
	}
}

// isCold reports whether no replica of a model is loaded.
func (m *idleMeter) isCold(index int) bool {
	for _, count := range m.counter.Counts() {
		if count.Key == modelKey(index) {
			return count.Loaded == 0
		}
	}
	return true
}
