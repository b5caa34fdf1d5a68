package standin

import "net/http"

// EngineCounts is what an engine counted of itself since its first start. Restarts reset nothing.
type EngineCounts struct {
	MemoryOvercommitted int // loads that did not fit
	PeakBytes           int64
	Loads               int
	FailedLoads         int
	DuplicateLoads      int // of a model that was loaded
	Unloads             int
	AdapterLoads        int
	StaleOrders         int // with a fencing number below the highest seen
	StaleOrdersRun      int
	RepeatedOrders      int // with an order ID that was seen
	CutRequests         int // by an unload
	Crashes             int
	Tokens              int64
	RunsByRequest       []RequestRuns
}

// Counts returns the counts so far.
func (e *Engine) Counts() EngineCounts {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.RunsByRequest = sortedRuns(e.runs)
	return counts
}

func (e *Engine) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counts())
}
