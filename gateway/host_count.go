package gateway

import (
	"sync/atomic"
	"time"
)

// hostPeakRetention is how long a host that is no longer live keeps its part of the retry budgets: repeats that it has sent
// count for the window of the budgets.
const hostPeakRetention = 10 * time.Second

// hostCount is the number of live entry hosts, this one included.
type hostCount struct {
	live atomic.Int64
	peak atomic.Int64 // the highest number within hostPeakRetention

	peakAt time.Time // used by the control thread only
}

// observe records the number of live hosts and reports whether it has changed.
func (c *hostCount) observe(now time.Time, live int64) (changed bool) {
	if live >= c.peak.Load() || now.Sub(c.peakAt) > hostPeakRetention {
		c.peakAt = now
		c.peak.Store(live)
	}
	return c.live.Swap(live) != live
}
