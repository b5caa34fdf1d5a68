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

// WriteSink receives the entries written by calls that took effect, before the store responds. A deletion by a call is
// received as an empty entry; deletions caused by the end of a lease are not reported.
type WriteSink interface {
	RecordWrite(entry store.Entry)
}

// OrderSink receives the orders that reach an engine, before they are executed.
type OrderSink interface {
	RecordOrder(backend string, order model.Order)
}

// RunSink receives the runs of requests. A service reports a run before its response delay; an engine reports it when it
// accepts the request, which may still have to wait until it is admitted to the batch.
type RunSink interface {
	RecordRun(run RequestRun)
}
