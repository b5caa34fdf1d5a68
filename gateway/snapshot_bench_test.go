package gateway

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/routing"
)

// largeView returns a view of a deployment with hundreds of backend servers and over a thousand models, three of them
// loaded on each backend server, and its desired state.
func largeView(now time.Time) (*view, model.DesiredState) {
	const models, backends = 1375, 256
	spec := &model.EngineSpec{Models: make(map[string]model.ModelSpec)}
	for i := range models {
		spec.Models[fmt.Sprintf("model%d", i)] = model.ModelSpec{MB: 70_000}
	}
	v := newView("z")
	for i := range backends {
		id := fmt.Sprintf("backend%d", i)
		v.applyListing(now, model.BackendListing{
			Life: model.BackendIncarnation{ID: id, Born: 1}, Service: "scribe", Zone: "z", Slots: 16,
			Models: []string{fmt.Sprintf("model%d", i%9), fmt.Sprintf("model%d", 3*i), fmt.Sprintf("model%d", 3*i+1)},
		})
	}
	return v, model.DesiredState{Version: 1, Services: map[string]model.ServiceSpec{"scribe": {Engine: spec}}}
}

// BenchmarkSnapshot measures the processor time of one change of the view: a new snapshot and its index.
func BenchmarkSnapshot(b *testing.B) {
	v, state := largeView(start)
	pointer := &atomic.Pointer[model.Snapshot]{}
	router := &routing.Router{Policy: routing.DefaultPolicy(), Picker: routing.LatencyPicker{}, Suspects: &routing.Suspects{}, Snapshot: pointer, Budget: &routing.Budget{}}
	b.ReportAllocs()
	now := start
	for i := range b.N {
		now = now.Add(time.Millisecond)
		v.recordAdapter(now, fmt.Sprintf("backend%d", i%256), fmt.Sprintf("model%d", i%256%9), "a1", true)
		pointer.Store(v.snapshot(now, int64(i), state, 60))
		router.Step(now)
	}
}
