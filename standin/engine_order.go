package standin

import (
	"context"
	"net/http"
	"time"

	"citronspread/engine"
	"citronspread/model"
)

// fenceRequest presents a fencing number.
type fenceRequest struct {
	Term int64
}

func refused(reason string) engine.OrderAnswer {
	return engine.OrderAnswer{Outcome: engine.OutcomeRefused, Reason: reason}
}

func failed(reason string) engine.OrderAnswer {
	return engine.OrderAnswer{Outcome: engine.OutcomeFailed, Reason: reason}
}

func done() engine.OrderAnswer { return engine.OrderAnswer{Outcome: engine.OutcomeDone} }

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o model.Order
	if !readJSON(w, r, &o) {
		return
	}
	l := e.currentLife()
	if e.Orders != nil {
		e.Orders.TakeOrder(e.Backend, o)
	}
	sleep(l.ctx, e.orderDelay())
	answer := e.carryOut(l, o)
	if l.ctx.Err() != nil || e.losesAnswer() {
		cutConnection()
	}
	writeJSON(w, http.StatusOK, answer)
}

func (e *Engine) handleFence(w http.ResponseWriter, r *http.Request) {
	var f fenceRequest
	if !readJSON(w, r, &f) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && f.Term < e.life.term {
		writeFailure(w, http.StatusConflict, "a higher term was presented")
		return
	}
	e.life.term = max(e.life.term, f.Term)
	writeJSON(w, http.StatusOK, f)
}

// carryOut runs an order to its end, also when its sender has gone.
func (e *Engine) carryOut(l *life, o model.Order) engine.OrderAnswer {
	if !e.admitOrder(l, o) {
		return refused("stale term")
	}
	switch o.Kind {
	case model.OrderLoad:
		return e.load(l, o)
	case model.OrderUnload:
		return e.unload(l, o)
	case model.OrderLoadAdapter:
		return e.loadAdapter(l, o)
	case model.OrderUnloadAdapter:
		return e.unloadAdapter(l, o)
	}
	return refused("unknown kind")
}

// admitOrder counts an order and reports whether its fencing number lets it run.
func (e *Engine) admitOrder(l *life, o model.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders[o.ID] {
		e.counts.RepeatedOrders++
	}
	e.orders[o.ID] = true
	if o.Term >= l.term {
		l.term = o.Term
		return true
	}
	e.counts.StaleOrders++
	if e.ChecksFencing {
		return false
	}
	e.counts.StaleOrdersRun++
	return true
}

func (e *Engine) load(l *life, o model.Order) engine.OrderAnswer {
	m, tier, answer := e.beginLoad(l, o)
	if m == nil {
		return answer
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
		e.vacate(l, m, now)
		return failed("load failed")
	}
	m.ready = true
	e.checkpoints.use(o.Key)
	e.counts.Loads++
	return done()
}

// beginLoad takes the memory of a load. The resident is nil when the order ends at once.
func (e *Engine) beginLoad(l *life, o model.Order) (*resident, model.Tier, engine.OrderAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
		return nil, "", failed("restarted")
	}
	if o.Bytes <= 0 {
		return nil, "", refused("bytes are missing")
	}
	if l.residents[o.Key] != nil {
		e.counts.DuplicateLoads++
		return nil, "", refused("already loaded")
	}
	m, ok := e.occupy(l, o.Key, o.Bytes, time.Now())
	if !ok {
		return nil, "", failed("out of memory")
	}
	return m, e.checkpoints.tier(o.Key), engine.OrderAnswer{}
}

// readWeights takes the time that a load takes from a tier.
func (e *Engine) readWeights(ctx context.Context, bytes int64, tier model.Tier) error {
	slowdown := 1.0
	if tier == model.TierRemote && e.Weights != nil {
		permit, err := e.Weights.Begin(ctx, PermitLoad)
		if err != nil {
			return err
		}
		defer e.Weights.End(context.WithoutCancel(ctx), permit.ID)
		slowdown = permit.Slowdown
	}
	seconds := float64(bytes) / e.Rates.of(tier) * slowdown * e.loadSlowFactor()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	return ctx.Err()
}

func (e *Engine) unload(l *life, o model.Order) engine.OrderAnswer {
	e.mu.Lock()
	m := l.residents[o.Key]
	if m == nil || e.life != l {
		e.mu.Unlock()
		return refused("not loaded")
	}
	m.ready = false
	m.cancel()
	e.counts.CutRequests += e.batch.cut(o.Key)
	e.mu.Unlock()

	sleep(l.ctx, e.UnloadTime)

	e.mu.Lock()
	defer e.mu.Unlock()
	e.vacate(l, m, time.Now())
	e.counts.Unloads++
	return done()
}
