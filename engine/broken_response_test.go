package engine_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"citronspread/engine"
	"citronspread/model"
	"citronspread/rawserver"
)

// TestBrokenControlResponses guards against a broken response of an engine that is taken for its state or for the outcome of
// an order. The order may have been executed.
func TestBrokenControlResponses(t *testing.T) {
	order := model.Order{ID: "1", Kind: model.OrderLoad, Key: model.ModelKey{Model: "m", Version: "1"}, Bytes: 1000}
	for _, broken := range rawserver.BrokenResponses("200 OK", "", `{"Outcome":"Done","Reason":"","MemoryBytes":1000}`) {
		address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
			broken.Write(conn)
			return false
		})
		control := &engine.Control{Address: address, Backend: "backend-1"}
		if got, err := control.Observe(t.Context()); err == nil {
			t.Errorf("%s: got state %+v, want an error", broken.Name, got)
		}
		if err := control.Fence(t.Context(), 1); err == nil {
			t.Errorf("%s: got no error of a fence call, want one", broken.Name)
		}
		var unknown *engine.OrderOutcomeUnknownError
		if got, err := control.SendOrder(t.Context(), order); !errors.As(err, &unknown) {
			t.Errorf("%s: got %+v, %v for an order, want an *OrderOutcomeUnknownError", broken.Name, got, err)
		}
	}
}
