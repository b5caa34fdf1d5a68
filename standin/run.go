package standin

import "time"

// Run is one run of a request at an engine or of a call at a service.
type Run struct {
	Backend string
	Request string
	Content string // the prompt or the body
	At      time.Time
}

// RunSink takes the runs as they begin.
type RunSink interface {
	TakeRun(run Run)
}
