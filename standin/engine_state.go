package standin

import (
	"net/http"
	"time"

	"citronspread/engine"
	"citronspread/model"
)

// reportInterval is the shortest time between two samples of the load.
const reportInterval = 50 * time.Millisecond

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	o := model.Observation{
		Backend:     e.Backend,
		Incarnation: e.life.incarnation,
		MemoryBytes: e.MemoryBytes,
		Models:      e.loadedModels(),
		Checkpoints: e.checkpoints.list(),
		Load:        e.laggingReport(now),
	}
	if e.ChecksFencing {
		o.Term = e.life.term
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, o)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.laggingReport(time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	page := engine.EventPage{
		Incarnation: e.life.incarnation,
		Events:      e.prefixes.published(queryInt(r, "after"), time.Now().Add(-e.EventLag), e.EventGap),
	}
	e.mu.Unlock()
	if n := len(page.Events); n > 0 {
		page.Sequence = page.Events[n-1].Sequence
	}
	writeJSON(w, http.StatusOK, page)
}

// sampleLoad keeps a sample for later reports. The caller holds the mutex.
func (e *Engine) sampleLoad(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].TakenAt) < reportInterval {
		return
	}
	e.reports = append(e.reports, model.LoadReport{
		Running:  len(e.batch.running),
		Waiting:  len(e.batch.waiting),
		Capacity: e.BatchCapacity,
		TakenAt:  now,
	})
	due := 0
	for due+1 < len(e.reports) && now.Sub(e.reports[due+1].TakenAt) >= e.ReportLag {
		due++
	}
	e.reports = e.reports[due:]
}

// laggingReport returns the newest sample that is as old as the lag. The caller holds the mutex.
func (e *Engine) laggingReport(now time.Time) model.LoadReport {
	e.sampleLoad(now)
	if now.Sub(e.reports[0].TakenAt) < e.ReportLag {
		return model.LoadReport{Capacity: e.BatchCapacity, TakenAt: now.Add(-e.ReportLag)}
	}
	return e.reports[0]
}
