package standin

import (
	"time"

	"citronspread/model"
)

// Run is one run of a request at an engine or of a call at a service.
type Run struct {
	Backend string
	Request string
	Content string // the prompt or the body
	Life    model.Incarnation
	At      time.Time
}

// RunSink takes the runs as they begin.
type RunSink interface {
	TakeRun(run Run)
}
