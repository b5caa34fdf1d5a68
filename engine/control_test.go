package engine_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"citronspread/engine"
	"citronspread/model"
	"citronspread/standin"
)

func newControl(t *testing.T, e *standin.Engine) *engine.Control {
	t.Helper()
	e.Backend = "backend-1"
	e.RestartDelay = time.Millisecond
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return &engine.Control{Address: server.Listener.Addr().String(), Backend: e.Backend}
}

func TestSendOrder(t *testing.T) {
	key := model.ModelKey{Model: "gate-guide", Version: "1"}
	tests := []struct {
		name   string
		checks bool
		order  model.Order
		want   engine.Outcome
	}{
		{"load", true, model.Order{ID: "1", Kind: model.OrderLoad, Key: key, Bytes: 100, Term: 2}, engine.OutcomeDone},
		{"too large", true, model.Order{ID: "2", Kind: model.OrderLoad, Key: key, Bytes: 2000, Term: 2}, engine.OutcomeFailed},
		{"stale term, checked", true, model.Order{ID: "3", Kind: model.OrderLoad, Key: key, Bytes: 100, Term: 1}, engine.OutcomeRefused},
		{"stale term, not checked", false, model.Order{ID: "4", Kind: model.OrderLoad, Key: key, Bytes: 100, Term: 1}, engine.OutcomeDone},
		{"unload of a model that is not loaded", true, model.Order{ID: "5", Kind: model.OrderUnload, Key: key, Term: 2}, engine.OutcomeRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, ctx := newControl(t, &standin.Engine{MemoryBytes: 1000, ChecksFencing: tt.checks}), context.Background()
			if err := c.Fence(ctx, 2); err != nil {
				t.Fatal(err)
			}
			response, err := c.SendOrder(ctx, tt.order)
			if got, want := response.Outcome, tt.want; got != want || err != nil {
				t.Fatalf("got %q, %v, want %q", got, err, want)
			}
			o, err := c.Observe(ctx)
			if got, want := len(o.Models) == 1, tt.want == engine.OutcomeDone; got != want || err != nil {
				t.Errorf("got loaded %v, %v, want %v", got, err, want)
			}
		})
	}
}

// TestSendOrderErrors verifies that an order counts as unsent only if it cannot have reached the engine.
// After a crash or a timeout it may have been executed.
func TestSendOrderErrors(t *testing.T) {
	order := model.Order{ID: "1", Kind: model.OrderLoad, Key: model.ModelKey{Model: "m", Version: "1"}, Bytes: 1000}
	t.Run("unsent", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		c := &engine.Control{Address: listener.Addr().String()}
		var unsent *engine.OrderUnsentError
		if _, err := c.SendOrder(context.Background(), order); !errors.As(err, &unsent) {
			t.Errorf("got %v, want OrderUnsentError", err)
		}
	})
	t.Run("unknown after a crash", func(t *testing.T) {
		e := &standin.Engine{Rates: standin.TierRates{Remote: 1}}
		c := newControl(t, e)
		time.AfterFunc(30*time.Millisecond, func() { e.SetFault(standin.EngineFault{CrashNow: true}) })
		var unknown *engine.OrderOutcomeUnknownError
		if _, err := c.SendOrder(context.Background(), order); !errors.As(err, &unknown) {
			t.Errorf("got %v, want OrderOutcomeUnknownError", err)
		}
	})
	t.Run("unknown after a timeout, executed later", func(t *testing.T) {
		e := &standin.Engine{Rates: standin.TierRates{Remote: 10_000}}
		c := newControl(t, e)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		var unknown *engine.OrderOutcomeUnknownError
		if _, err := c.SendOrder(ctx, order); !errors.As(err, &unknown) {
			t.Errorf("got %v, want OrderOutcomeUnknownError", err)
		}
		time.Sleep(200 * time.Millisecond)
		if got, want := e.Counts().Loads, 1; got != want {
			t.Errorf("got %d loads, want %d", got, want)
		}
	})
}
