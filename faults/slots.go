package faults

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"citronspread/model"
	"citronspread/standin"
	"citronspread/store"
)

// slotChange is the number of slots in use after a write of a model's record.
type slotChange struct {
	key  model.ModelKey
	used int
	at   time.Time
}

// slotHistory records the changes of the slots in use, in the order in which the store reports its writes.
type slotHistory struct {
	mu      sync.Mutex
	changes []slotChange
}

// RecordWrite implements standin.WriteSink.
func (s *slotHistory) RecordWrite(entry store.Entry) {
	if !strings.HasPrefix(entry.Key, modelPrefix) {
		return
	}
	var record model.ModelRecord
	if json.Unmarshal(entry.Value, &record) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, slotChange{key: record.Key, used: record.UsedSlots(), at: time.Now()})
}

// usedAt returns the number of a model's slots in use at a time.
func (s *slotHistory) usedAt(key model.ModelKey, at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := 0
	for _, c := range s.changes {
		if c.key == key && !c.at.After(at) {
			used = c.used
		}
	}
	return used
}

// writeSinks forwards writes to several sinks.
type writeSinks []standin.WriteSink

// RecordWrite implements standin.WriteSink.
func (w writeSinks) RecordWrite(entry store.Entry) {
	for _, sink := range w {
		sink.RecordWrite(entry)
	}
}

// checkSlots checks that the number of loaded replicas never exceeds the number of slots in use.
func (r *Run) checkSlots() {
	r.eachLoad(func(event standin.ReplicaEvent, loaded int) {
		used := r.slots.usedAt(event.Key, event.At)
		r.tally.Check(ReplicasAsDecided, loaded <= used, "%s: %d loaded at %s on %s, %d slots in use",
			event.Key, loaded, event.At.Format(time.TimeOnly), event.Backend, used)
	})
}

// eachLoad calls visit for each load of a model, with the number of replicas loaded after it.
func (r *Run) eachLoad(visit func(event standin.ReplicaEvent, loaded int)) {
	loadedOn := map[model.ModelKey]map[string]bool{}
	for _, event := range r.platform.counter.Events() {
		if loadedOn[event.Key] == nil {
			loadedOn[event.Key] = map[string]bool{}
		}
		if !event.Loaded {
			delete(loadedOn[event.Key], event.Backend)
			continue
		}
		loadedOn[event.Key][event.Backend] = true
		visit(event, len(loadedOn[event.Key]))
	}
}
