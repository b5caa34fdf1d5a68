package standin

import (
	"time"

	"citronspread/model"
	"citronspread/store"
)

// RequestRun is one execution of a request by an engine or a service.
type RequestRun struct {
	Backend     string
	Request     string
	Content     string            // prompt or body
	Incarnation model.Incarnation // incarnation of the engine, empty for a service
	At          time.Time
}

// WriteSink receives the writes that took effect, before the store responds.
type WriteSink interface {
	RecordWrite(entry store.Entry)
}

// OrderSink receives the orders that reach an engine, before they are executed.
type OrderSink interface {
	RecordOrder(backend string, order model.Order)
}

// RunSink receives the runs of requests when they begin.
type RunSink interface {
	RecordRun(run RequestRun)
}
