package standin

import "net/http"

// EngineCounts are the counters of an engine since its first start. Restarts do not reset them.
type EngineCounts struct {
	MemoryOvercommitted int   // loads that exceeded the memory
	PeakBytes           int64 // highest memory use, including loads that exceeded the memory
	Loads               int
	FailedLoads         int
	DuplicateLoads      int // load orders for a model that was already loaded
	Unloads             int
	AdapterLoads        int
	StaleOrders         int // orders with a fencing token below the highest received
	StaleOrdersRun      int // stale orders that were executed, because ChecksFencing is off
	RepeatedOrders      int // orders with an ID that was received before
	CutRequests         int // requests interrupted by an unload
	Crashes             int
	Tokens              int64
	RunsByRequest       []RequestRuns
}

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
