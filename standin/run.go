package standin

import (
	"time"

	"citronspread/model"
	"citronspread/store"
)

// Run is one run of a request at an engine or of a call at a service.
type Run struct {
	Backend string
	Request string
	Content string // the prompt or the body
	Life    model.Incarnation
	At      time.Time
}

// WriteSink takes the writes that took effect, before they are answered.
type WriteSink interface {
	TakeWrite(entry store.Entry)
}

// OrderSink takes the orders that reached an engine, before they are carried out.
type OrderSink interface {
	TakeOrder(backend string, order model.Order)
}

// RunSink takes the runs as they begin.
type RunSink interface {
	TakeRun(run Run)
}
