package gateway

import (
	"testing"
	"time"

	"citronspread/attempt"
	"citronspread/model"
	"citronspread/routing"
)

// TestPatienceOfStreams holds that a stream which is resumed late may still go on: its caller waits anew after each event.
func TestPatienceOfStreams(t *testing.T) {
	route := model.Route{Kind: model.RouteStream, LatencyTarget: 600 * time.Millisecond, GapTarget: 300 * time.Millisecond}
	q := Question{Route: route, Arrived: start}
	late := start.Add(10 * time.Second)
	tests := []struct {
		name string
		q    Question
		p    attempt.Progress
		want time.Time
	}{
		{name: "new", q: q, want: start.Add(2100 * time.Millisecond)},
		{name: "sent again from the start", q: q, p: attempt.Progress{Runs: 1}, want: start.Add(2100 * time.Millisecond)},
		{name: "resumed", q: q, p: attempt.Progress{Runs: 1, Resuming: true}, want: late.Add(2100 * time.Millisecond)},
		{name: "no stream", q: Question{Route: model.Route{Kind: model.RouteIdempotent}, Arrived: start}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := startBy(late, tt.q, &tt.p); !got.Equal(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestBudgetIsDividedByTheHosts holds that the repeats which all hosts may make without any request stay below the shared
// slack, also when hosts come and go.
func TestBudgetIsDividedByTheHosts(t *testing.T) {
	const slack = 52
	d := &Desk{host: &Host{RetryRatio: 0.2, RetrySlack: slack}, budgets: make(map[string]*routing.Budget)}
	for i, hosts := range []int{8, 6, 1, 3, 8} {
		d.host.hosts.Store(int64(hosts))
		budget, now, spent := d.budget("llm"), time.Unix(int64(1000*(i+1)), 0), 0
		for budget.Spend(now, routing.ExtraRetry) {
			if spent++; spent > slack {
				break
			}
		}
		if spent == 0 || spent*hosts > slack {
			t.Errorf("got %d repeats at each of %d hosts, want some, and at most %d together", spent, hosts, slack)
		}
	}
}
