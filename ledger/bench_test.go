package ledger

import (
	"fmt"
	"testing"
	"time"

	"citronspread/model"
)

// instantStore simulates the store and the engines and responds to every call immediately.
type instantStore struct {
	values    map[string][]byte
	revisions map[string]int64
	reads     int
	writes    int
}

// steadyHost returns a host that owns the given number of backend servers, each with ten loaded models.
// models is the number of model versions in the configuration.
func steadyHost(b *testing.B, backends, models int) (*Host, *instantStore, map[string]model.Observation, time.Time) {
	b.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &Host{Name: "h", Zone: "z", Address: "127.0.0.1:1", Incarnation: "h#1", MaxOrderDelay: 4 * time.Second}
	s := &instantStore{values: map[string][]byte{}, revisions: map[string]int64{}}
	engines := map[string]model.Observation{}
	var assigned BackendsChanged
	for i := range backends {
		name := fmt.Sprintf("e%d", i)
		engines[name] = model.Observation{Backend: name, Incarnation: "e#1", MemoryBytes: 1000}
		assigned.Backends = append(assigned.Backends, Assignment{Backend: name, Owner: "h"})
	}
	var sources SourcesChanged
	for i := range models {
		key := model.ModelKey{Model: fmt.Sprintf("m%d", i), Version: "1"}
		sources.Models = append(sources.Models, ModelSources{
			Key: key, Bytes: 100, Leader: i%6 == 0, Sources: []model.Source{{Record: "r", Generation: 1, Replicas: 9}},
		})
	}
	s.run(h, now, engines, PeersChanged{Peers: []model.Peer{{Name: "h", Incarnation: "h#1"}}})
	s.run(h, now, engines, sources)
	s.run(h, now, engines, assigned)
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		s.run(h, now, engines, Tick{})
	}
	for i := range backends {
		for j := range 10 {
			s.run(h, now, engines, LoadRequested{Key: sources.Models[(i*10+j)%models].Key, Backend: fmt.Sprintf("e%d", i)})
		}
	}
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		s.run(h, now, engines, Tick{})
	}
	if got, want := len(h.Replicas()), backends*10; got != want {
		b.Fatalf("got %d replicas, want %d", got, want)
	}
	return h, s, engines, now
}

// run applies an event and the results of all actions that follow from it.
func (s *instantStore) run(h *Host, now time.Time, engines map[string]model.Observation, e Event) {
	events := []Event{e}
	for len(events) > 0 {
		actions := h.Step(now, events[0])
		events = events[1:]
		for _, a := range actions {
			if v := s.perform(engines, a); v != nil {
				events = append(events, v)
			}
		}
	}
}

// perform carries out an action and returns the event with its result, or nil.
func (s *instantStore) perform(engines map[string]model.Observation, a Action) Event {
	switch a := a.(type) {
	case ReadRecord:
		s.reads++
		if s.revisions[a.Key] == 0 {
			return StoreAnswered{Token: a.Token, Key: a.Key, Outcome: StoreNotFound}
		}
		return StoreAnswered{Token: a.Token, Key: a.Key, Outcome: StoreRead, Value: s.values[a.Key], Revision: s.revisions[a.Key]}
	case WriteRecord:
		s.writes++
		s.values[a.Key], s.revisions[a.Key] = a.Value, s.revisions[a.Key]+1
		return StoreAnswered{Token: a.Token, Key: a.Key, Outcome: StoreApplied, Revision: s.revisions[a.Key]}
	case SendOrder:
		o := engines[a.Backend]
		o.Models = append(o.Models, model.LoadedModel{Key: a.Order.Key, Bytes: a.Order.Bytes, Ready: true})
		engines[a.Backend] = o
		return OrderAnswered{OrderID: a.Order.ID, Outcome: OrderDone}
	case ObserveEngine:
		return Observed{Token: a.Token, Backend: a.Backend, Observation: engines[a.Backend]}
	}
	return nil
}

func BenchmarkTick(b *testing.B) {
	for _, backends := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			h, _, _, now := steadyHost(b, backends, 120)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.Step(now.Add(time.Duration(i)*time.Microsecond), Tick{})
			}
		})
	}
}

// BenchmarkMinute measures one minute without changes, at 20 ticks per second.
func BenchmarkMinute(b *testing.B) {
	const ticks = 60 * 20
	for _, backends := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			h, s, engines, now := steadyHost(b, backends, 120)
			s.reads, s.writes = 0, 0
			b.ResetTimer()
			for range b.N {
				for range ticks {
					now = now.Add(50 * time.Millisecond)
					s.run(h, now, engines, Tick{})
				}
			}
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/60, "%core")
			b.ReportMetric(float64(s.reads)/float64(b.N)/60, "reads/s")
			b.ReportMetric(float64(s.writes)/float64(b.N)/60, "writes/s")
		})
	}
}
