package faults

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"citronspread/model"
	"citronspread/store"
)

// Steps of a load at which a trap strikes, by the target of the fault.
const (
	stepSlotWritten = iota
	stepBackendWritten
	stepOrderArrived
)

const (
	backendPrefix = "backend/"
	modelPrefix   = "model/"
)

// trap strikes the owner of a backend server at a step of a load, before it learns that the step succeeded.
type trap struct {
	run *Run
	ctx context.Context

	mu     sync.Mutex
	armed  []fault
	owners map[string]string // entry hosts by backend server, as the store shows them
}

// arm makes a fault strike at the next step of its kind.
func (t *trap) arm(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = append(t.armed, f)
}

// TakeWrite implements standin.WriteSink.
func (t *trap) TakeWrite(entry store.Entry) {
	switch {
	case strings.HasPrefix(entry.Key, backendPrefix):
		var record model.BackendRecord
		if json.Unmarshal(entry.Value, &record) != nil {
			return
		}
		t.setOwner(record)
		if isLoading(record) {
			t.strike(stepBackendWritten, record.OwnerName)
		}
	case strings.HasPrefix(entry.Key, modelPrefix):
		var record model.ModelRecord
		if json.Unmarshal(entry.Value, &record) != nil {
			return
		}
		for _, slot := range record.Slots {
			if slot.State == model.SlotBound {
				t.strike(stepSlotWritten, t.ownerOf(slot.Backend))
			}
		}
	}
}

// TakeOrder implements standin.OrderSink.
func (t *trap) TakeOrder(backend string, _ model.Order) {
	t.strike(stepOrderArrived, t.ownerOf(backend))
}

func isLoading(record model.BackendRecord) bool {
	for _, r := range record.Reservations {
		if r.State == model.ReservationLoading || r.State == model.ReservationUnloading {
			return true
		}
	}
	return false
}

func (t *trap) setOwner(record model.BackendRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.owners[record.Backend] = record.OwnerName
}

func (t *trap) ownerOf(backend string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owners[backend]
}

// take returns an armed fault for a step.
func (t *trap) take(step int) (fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.armed {
		if f.target == step {
			t.armed = append(t.armed[:i:i], t.armed[i+1:]...)
			return f, true
		}
	}
	return fault{}, false
}

// strike brings about an armed fault at an entry host and returns once it is dead or stopped.
func (t *trap) strike(step int, name string) {
	h := t.run.findHost(name)
	if h == nil || h.disturbed.Load() {
		return
	}
	f, ok := t.take(step)
	if !ok || !h.disturbed.CompareAndSwap(false, true) {
		return
	}
	struck := make(chan struct{})
	go func() {
		defer h.disturbed.Store(false)
		t.run.Log("faults:         %s: %s", f.kind, name)
		if f.kind == faultTrapKill {
			t.run.killHost(t.ctx, f, h, func() { close(struck) })
			return
		}
		t.run.freezeHost(t.ctx, f, h, func() { close(struck) })
	}()
	<-struck
}

func (r *Run) findHost(name string) *entryHost {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
