package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestBookings(t *testing.T) {
	tests := []struct {
		name   string
		fault  ServiceFault
		status int // 0 for no response
		runs   int
	}{
		{"run", ServiceFault{}, http.StatusOK, 1},
		{"lost response", ServiceFault{LoseAnswers: 1}, 0, 1},
		{"refused", ServiceFault{Refuse: 1}, http.StatusServiceUnavailable, 0},
		{"closed before the run", ServiceFault{CloseBefore: 1}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Service{Name: "order-desk"}
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			s.SetFault(tt.fault)
			req, _ := http.NewRequest(http.MethodPost, server.URL+"/bookings", strings.NewReader("{}"))
			req.GetBody = nil
			req.Header.Set("X-Request-Id", "b1")
			status := 0
			if resp, err := http.DefaultClient.Do(req); err == nil {
				status = resp.StatusCode
				resp.Body.Close()
			}
			if got, want := status, tt.status; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			runs := 0
			for _, b := range s.Counts().Bookings {
				runs += b.Runs
			}
			if got, want := runs, tt.runs; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
		})
	}
}
