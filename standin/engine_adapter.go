package standin

import (
	"context"
	"time"

	"citronspread/engine"
	"citronspread/model"
)

func (e *Engine) loadAdapter(inc *incarnation, o model.Order) engine.OrderResponse {
	m := e.readyResident(inc, o.Key)
	if m == nil {
		return refused("model not loaded")
	}
	if err := e.readAdapter(m.ctx); err != nil {
		return failed("unloaded during the load")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m.adapters[o.Adapter] = true
	e.counts.AdapterLoads++
	return done()
}

func (e *Engine) unloadAdapter(inc *incarnation, o model.Order) engine.OrderResponse {
	m := e.readyResident(inc, o.Key)
	if m == nil {
		return refused("model not loaded")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(m.adapters, o.Adapter)
	return done()
}

func (e *Engine) readyResident(inc *incarnation, key model.ModelKey) *resident {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := inc.residents[key]
	if m == nil || !m.ready {
		return nil
	}
	return m
}

// readAdapter simulates reading an adapter from the weight store. It returns an error if ctx ends first.
func (e *Engine) readAdapter(ctx context.Context) error {
	slowdown := 1.0
	if e.Weights != nil {
		permit, err := e.Weights.Acquire(ctx, PermitAdapter)
		if err != nil {
			return err
		}
		defer e.Weights.Release(context.WithoutCancel(ctx), permit.ID)
		slowdown = permit.Slowdown
	}
	sleep(ctx, time.Duration(float64(e.adapterTime())*slowdown))
	return ctx.Err()
}

func (e *Engine) adapterTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	spread := max(1, int64(e.MaxAdapterLoadTime-e.MinAdapterLoadTime))
	return e.MinAdapterLoadTime + time.Duration(e.random.Int64N(spread))
}
