package routing

import (
	"fmt"
	"testing"
	"time"

	"citronspread/model"
)

// BenchmarkAdmit measures the router's time for one request, by number of models and of replicas for each model.
func BenchmarkAdmit(b *testing.B) {
	for _, replicas := range []int{1, 4, 16, 64} {
		for _, models := range []int{10, 120} {
			b.Run(fmt.Sprintf("replicas=%d/models=%d", replicas, models), func(b *testing.B) {
				r := fullRouter(models, replicas)
				now := testTime
				for i := range b.N {
					now = now.Add(time.Millisecond)
					tk := ticket(now, 100, time.Minute)
					tk.Target.Key = benchKey(i % models)
					r.admit(now, tk)
					_, g := tk.outcome()
					g.Token(now)
					g.Done(now, OutcomeComplete)
				}
			})
		}
	}
}

// BenchmarkStep measures one step, by number of waiting requests.
func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			r := fullRouter(120, 4)
			r.Policy.ColdStart = 0
			r.Snapshot.Store(coldSnapshot(120))
			for i := range waiting {
				tk := ticket(testTime, 100, time.Hour)
				tk.Target.Key = benchKey(i % 120)
				r.admit(testTime, tk)
			}
			now := testTime
			for range b.N {
				now = now.Add(time.Microsecond)
				r.Step(now)
			}
		})
	}
}

// BenchmarkReindex measures applying a new snapshot, by number of models.
func BenchmarkReindex(b *testing.B) {
	for _, models := range []int{10, 30, 120, 480} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			r := fullRouter(models, 6)
			snapshot := r.Snapshot.Load()
			for range b.N {
				next := *snapshot
				r.Snapshot.Store(&next)
				r.reindex(testTime)
			}
		})
	}
}

func fullRouter(models, replicas int) *Router {
	r := newRouter(DefaultPolicy())
	r.Picker = LatencyPicker{}
	snapshot := coldSnapshot(models)
	for i := range snapshot.Models {
		for j := range replicas {
			one := replica(backendName((i*replicas+j)%760), 64)
			one.Key = snapshot.Models[i].Declaration.Key
			one.UpdatedAt = testTime.Add(time.Hour)
			snapshot.Models[i].Replicas = append(snapshot.Models[i].Replicas, one)
		}
	}
	r.Snapshot.Store(snapshot)
	return r
}

func coldSnapshot(models int) *model.Snapshot {
	snapshot := &model.Snapshot{Routers: 60}
	for i := range models {
		snapshot.Models = append(snapshot.Models, &model.RoutedModel{Declaration: model.ModelDeclaration{Key: benchKey(i)}})
	}
	return snapshot
}

func benchKey(i int) model.ModelKey {
	return model.ModelKey{Model: fmt.Sprint("model-", i), Version: "v1"}
}
