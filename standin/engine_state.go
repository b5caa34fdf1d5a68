package standin

import (
	"net/http"
	"time"

	"citronspread/engine"
	"citronspread/model"
)

// sampleInterval is the minimum time between two samples of the load.
const sampleInterval = 50 * time.Millisecond

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	o := model.Observation{
		Backend:     e.Backend,
		Incarnation: e.incarnation.id,
		MemoryBytes: e.MemoryBytes,
		Models:      e.loadedModels(),
		Checkpoints: e.checkpoints.list(),
		Load:        e.delayedReport(now),
	}
	if e.ChecksFencing {
		o.Term = e.incarnation.fencingToken
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, o)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.delayedReport(time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	page := engine.CacheEventPage{
		Incarnation: e.incarnation.id,
		Events:      e.prefixes.publishedEvents(queryInt(r, "after"), time.Now().Add(-e.EventLag), e.LostEventInterval),
	}
	e.mu.Unlock()
	if n := len(page.Events); n > 0 {
		page.Sequence = page.Events[n-1].Sequence
	}
	writeJSON(w, http.StatusOK, page)
}

// sampleLoad stores a sample of the load and discards the samples that no later report needs. e.mu must be held.
func (e *Engine) sampleLoad(now time.Time) {
	if n := len(e.loadSamples); n > 0 && now.Sub(e.loadSamples[n-1].TakenAt) < sampleInterval {
		return
	}
	e.loadSamples = append(e.loadSamples, model.LoadReport{
		Running:  len(e.batch.running),
		Waiting:  len(e.batch.waiting),
		Capacity: e.BatchCapacity,
		Software: e.Software,
		TakenAt:  now,
	})
	due := 0
	for due+1 < len(e.loadSamples) && now.Sub(e.loadSamples[due+1].TakenAt) >= e.ReportLag {
		due++
	}
	e.loadSamples = e.loadSamples[due:]
}

// delayedReport returns the newest sample that is at least ReportLag old, or an idle load if there is none. e.mu must
// be held.
func (e *Engine) delayedReport(now time.Time) model.LoadReport {
	e.sampleLoad(now)
	if now.Sub(e.loadSamples[0].TakenAt) < e.ReportLag {
		return model.LoadReport{Capacity: e.BatchCapacity, Software: e.Software, TakenAt: now.Add(-e.ReportLag)}
	}
	return e.loadSamples[0]
}
