package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citronspread/memory"
	"citronspread/metrics"
)

// TestAccountGauges guards against gauges of the memory for callers that are missing or show something else.
func TestAccountGauges(t *testing.T) {
	account := &memory.Account{MaxBytes: 1000, MaxDescriptors: 10}
	m := metrics.New()
	addAccountGauges(m, account)
	now := time.Unix(1, 0)
	holder, err := account.Open(now, 100, func(memory.DropReason) {})
	if err != nil {
		t.Fatal(err)
	}
	for kind, bytes := range map[memory.Kind]int64{memory.Heads: 20, memory.Bodies: 30, memory.Responses: 40, memory.Unread: 50} {
		if err := holder.Reserve(now, kind, bytes); err != nil {
			t.Fatal(err)
		}
	}
	if err := holder.Reserve(now, memory.Bodies, 1000); err == nil {
		t.Fatal("got a reservation over the limit, want a refusal")
	}
	if err := account.OpenOutgoing(now); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	got := recorder.Body.String()
	for _, want := range []string{
		"citronspread_caller_connections_bytes 100", "citronspread_caller_heads_bytes 20", "citronspread_caller_bodies_bytes 30",
		"citronspread_caller_responses_bytes 40", "citronspread_caller_unread_bytes 50", "citronspread_caller_limit_bytes 1000",
		"citronspread_caller_connections 1", "citronspread_backend_connections 1", "citronspread_callers_refused 1", "citronspread_callers_dropped 0",
	} {
		if !strings.Contains(got, "\n"+want+"\n") {
			t.Errorf("got no line %q", want)
		}
	}
}
