package faults

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"citronspread/model"
	"citronspread/store"
)

// Steps of a load after which a fault can be injected. They are the targets of such faults. They are recognized by
// writes and orders alone, so that an unload or an order for an adapter can trigger the fault too.
const (
	stepSlotWritten = iota
	stepBackendWritten
	stepOrderArrived
)

const (
	backendPrefix = "backend/"
	modelPrefix   = "model/"
)

// stepInjector injects faults into the owner of a backend server at a step of a load, before the owner receives
// the response that the step succeeded.
type stepInjector struct {
	run *Run
	ctx context.Context

	mu     sync.Mutex
	armed  []fault
	owners map[string]string // names of the owners in the store, by backend server
}

// arm schedules a fault for the next time its step is reached.
func (s *stepInjector) arm(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = append(s.armed, f)
}

// RecordWrite implements standin.WriteSink.
func (s *stepInjector) RecordWrite(entry store.Entry) {
	switch {
	case strings.HasPrefix(entry.Key, backendPrefix):
		var record model.BackendRecord
		if json.Unmarshal(entry.Value, &record) != nil {
			return
		}
		s.setOwner(record)
		if hasLoadOrUnload(record) {
			s.inject(stepBackendWritten, record.OwnerName)
		}
	case strings.HasPrefix(entry.Key, modelPrefix):
		var record model.ModelRecord
		if json.Unmarshal(entry.Value, &record) != nil {
			return
		}
		for _, slot := range record.Slots {
			if slot.State == model.SlotBound {
				s.inject(stepSlotWritten, s.ownerOf(slot.Backend))
			}
		}
	}
}

// RecordOrder implements standin.OrderSink.
func (s *stepInjector) RecordOrder(backend string, _ model.Order) {
	s.inject(stepOrderArrived, s.ownerOf(backend))
}

// hasLoadOrUnload reports whether a backend server has a load or an unload in progress.
func hasLoadOrUnload(record model.BackendRecord) bool {
	for _, r := range record.Reservations {
		if r.State == model.ReservationLoading || r.State == model.ReservationUnloading {
			return true
		}
	}
	return false
}

func (s *stepInjector) setOwner(record model.BackendRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners[record.Backend] = record.OwnerName
}

func (s *stepInjector) ownerOf(backend string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[backend]
}

// take removes and returns an armed fault for a step.
func (s *stepInjector) take(step int) (fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.armed {
		if f.target == step {
			s.armed = append(s.armed[:i:i], s.armed[i+1:]...)
			return f, true
		}
	}
	return fault{}, false
}

// inject injects a fault armed for a step into an entry host, if there is one, and returns once the process has exited or
// is paused.
func (s *stepInjector) inject(step int, name string) {
	h := s.run.findHost(name)
	if h == nil || h.faultActive.Load() {
		return
	}
	f, ok := s.take(step)
	if !ok || !h.faultActive.CompareAndSwap(false, true) {
		return
	}
	injected := make(chan struct{})
	go func() {
		defer h.faultActive.Store(false)
		s.run.Log("faults:         %s: %s", f.kind, name)
		if f.kind == faultKillOwner {
			s.run.killHost(s.ctx, f, h, func() { close(injected) })
			return
		}
		s.run.pauseHost(s.ctx, f, h, func() { close(injected) })
	}()
	<-injected
}

func (r *Run) findHost(name string) *entryHost {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
