package standin

import (
	"context"
	"net/http"
	"time"

	"citronspread/engine"
	"citronspread/model"
)

// fenceRequest is the body of POST /control/fence. Term is the sender's fencing token.
type fenceRequest struct {
	Term int64
}

func refused(reason string) engine.OrderResponse {
	return engine.OrderResponse{Outcome: engine.OutcomeRefused, Reason: reason}
}

func failed(reason string) engine.OrderResponse {
	return engine.OrderResponse{Outcome: engine.OutcomeFailed, Reason: reason}
}

func done() engine.OrderResponse { return engine.OrderResponse{Outcome: engine.OutcomeDone} }

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o model.Order
	if !readJSON(w, r, &o) {
		return
	}
	inc := e.currentIncarnation()
	if e.OrderSink != nil {
		e.OrderSink.RecordOrder(e.Backend, o)
	}
	sleep(inc.ctx, e.orderDelay())
	response := e.execute(inc, o)
	if inc.ctx.Err() != nil || e.consumeLostResponse() {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, response)
}

func (e *Engine) handleFence(w http.ResponseWriter, r *http.Request) {
	var f fenceRequest
	if !readJSON(w, r, &f) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && f.Term < e.incarnation.fencingToken {
		writeError(w, http.StatusConflict, "a higher term was presented")
		return
	}
	e.incarnation.fencingToken = max(e.incarnation.fencingToken, f.Term)
	writeJSON(w, http.StatusOK, f)
}

// execute runs an order to completion, even if its sender disconnects.
func (e *Engine) execute(inc *incarnation, o model.Order) engine.OrderResponse {
	if !e.admitOrder(inc, o) {
		return refused("stale term")
	}
	switch o.Kind {
	case model.OrderLoad:
		return e.load(inc, o)
	case model.OrderUnload:
		return e.unload(inc, o)
	case model.OrderLoadAdapter:
		return e.loadAdapter(inc, o)
	case model.OrderUnloadAdapter:
		return e.unloadAdapter(inc, o)
	}
	return refused("unknown kind")
}

// admitOrder counts an order and reports whether it may run. Only an engine that checks fencing refuses stale orders.
func (e *Engine) admitOrder(inc *incarnation, o model.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders[o.ID] {
		e.counts.RepeatedOrders++
	}
	e.orders[o.ID] = true
	if o.Term >= inc.fencingToken {
		inc.fencingToken = o.Term
		return true
	}
	e.counts.StaleOrders++
	if e.ChecksFencing {
		return false
	}
	e.counts.StaleOrdersRun++
	return true
}

func (e *Engine) load(inc *incarnation, o model.Order) engine.OrderResponse {
	m, tier, response := e.beginLoad(inc, o)
	if m == nil {
		return response
	}
	err := e.readWeights(m.ctx, o.Bytes, tier)
	now := time.Now()

	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		return failed("unloaded during the load")
	}
	if e.fault.LoadFails > 0 {
		e.fault.LoadFails--
		e.counts.FailedLoads++
		e.free(inc, m, now)
		return failed("load failed")
	}
	m.ready = true
	e.checkpoints.markUsed(o.Key)
	e.counts.Loads++
	return done()
}

// beginLoad allocates the memory of a load. If the load cannot begin, the resident is nil and the response is final.
func (e *Engine) beginLoad(inc *incarnation, o model.Order) (*resident, model.Tier, engine.OrderResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != inc {
		return nil, "", failed("restarted")
	}
	if o.Bytes <= 0 {
		return nil, "", refused("bytes are missing")
	}
	if inc.residents[o.Key] != nil {
		e.counts.DuplicateLoads++
		return nil, "", refused("already loaded")
	}
	m, ok := e.allocate(inc, o.Key, o.Bytes, time.Now())
	if !ok {
		return nil, "", failed("out of memory")
	}
	return m, e.checkpoints.tier(o.Key), engine.OrderResponse{}
}

// readWeights simulates reading a checkpoint from a tier. It returns an error if ctx ends first.
func (e *Engine) readWeights(ctx context.Context, bytes int64, tier model.Tier) error {
	slowdown := 1.0
	if tier == model.TierRemote && e.Weights != nil {
		permit, err := e.Weights.Acquire(ctx, PermitLoad)
		if err != nil {
			return err
		}
		defer e.Weights.Release(context.WithoutCancel(ctx), permit.ID)
		slowdown = permit.Slowdown
	}
	seconds := float64(bytes) / e.Rates.bytesPerSecond(tier) * slowdown * e.loadSlowFactor()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	return ctx.Err()
}

func (e *Engine) unload(inc *incarnation, o model.Order) engine.OrderResponse {
	e.mu.Lock()
	m := inc.residents[o.Key]
	if m == nil || e.incarnation != inc {
		e.mu.Unlock()
		return refused("not loaded")
	}
	m.ready = false
	m.cancel()
	e.counts.CutRequests += e.batch.abort(o.Key)
	e.mu.Unlock()

	sleep(inc.ctx, e.UnloadTime)

	e.mu.Lock()
	defer e.mu.Unlock()
	e.free(inc, m, time.Now())
	e.counts.Unloads++
	return done()
}
