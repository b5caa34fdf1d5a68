package gateway

import (
	"testing"
	"time"

	"citronspread/attempt"
	"citronspread/model"
	"citronspread/routing"
)

// TestStreamStartDeadline guards against giving up a stream that is resumed late: its caller waits again after each
// event, so the deadline of a resumed stream counts from now and not from the arrival of the request.
func TestStreamStartDeadline(t *testing.T) {
	route := model.Route{Kind: model.RouteStream, LatencyTarget: 600 * time.Millisecond, GapTarget: 300 * time.Millisecond}
	request := RoutedRequest{Route: route, ArrivedAt: start}
	late := start.Add(10 * time.Second)
	tests := []struct {
		name    string
		request RoutedRequest
		p       attempt.Progress
		want    time.Time
	}{
		{name: "new request", request: request, want: start.Add(2100 * time.Millisecond)},
		{name: "retried from the start", request: request, p: attempt.Progress{Runs: 1}, want: start.Add(2100 * time.Millisecond)},
		{name: "resumed", request: request, p: attempt.Progress{Runs: 1, Resuming: true}, want: late.Add(2100 * time.Millisecond)},
		{name: "no stream", request: RoutedRequest{Route: model.Route{Kind: model.RouteIdempotent}, ArrivedAt: start}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := startDeadline(late, tt.request, &tt.p); !got.Equal(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestBudgetIsDividedByTheHosts guards against hosts that together exceed the shared retry slack without any request,
// also after the number of hosts has changed.
func TestBudgetIsDividedByTheHosts(t *testing.T) {
	const slack = 52
	d := &Dispatcher{host: &Host{RetryRatio: 0.2, RetrySlack: slack}, budgets: make(map[string]*routing.Budget)}
	for i, hosts := range []int{8, 6, 1, 3, 8} {
		now, spent := time.Unix(int64(1000*(i+1)), 0), 0
		d.host.hosts.observe(now, int64(hosts))
		budget := d.budget("llm")
		for budget.Spend(now, routing.ExtraRetry) {
			if spent++; spent > slack {
				break
			}
		}
		if spent == 0 || spent*hosts > slack {
			t.Errorf("got %d retries at each of %d hosts, want at least 1 each and at most %d in total", spent, hosts, slack)
		}
	}
}

// TestStartedHostWaitsForTheSlack guards against hosts that are restarted again and again and spend their part of the shared
// retry slack anew each time.
func TestStartedHostWaitsForTheSlack(t *testing.T) {
	const window = 10 * time.Second
	d := &Dispatcher{host: &Host{RetryRatio: 0.2, RetrySlack: 52, RetryWindow: window, RetrySlackDelay: window, startedAt: start}, budgets: make(map[string]*routing.Budget)}
	d.host.hosts.observe(start, 6)
	tests := []struct {
		after    time.Duration
		requests int
		want     int
	}{{0, 0, 0}, {0, 50, 8}, {window - time.Millisecond, 0, 0}, {window, 0, 6}}
	for i, tt := range tests {
		budget, now, spent := d.budget(string(rune('a'+i))), start.Add(tt.after), 0
		for range tt.requests {
			budget.Request(now)
		}
		for budget.Spend(now, routing.ExtraRetry) {
			spent++
		}
		if spent != tt.want {
			t.Errorf("%v after the start, %d requests: got %d repeats, want %d", tt.after, tt.requests, spent, tt.want)
		}
	}
}

// TestDeadHostsKeepTheirPartOfTheSlack guards against hosts that share the whole slack among them when others have just died
// that had used their part of it.
func TestDeadHostsKeepTheirPartOfTheSlack(t *testing.T) {
	d := &Dispatcher{host: &Host{RetrySlack: 52}, budgets: make(map[string]*routing.Budget)}
	steps := []struct {
		after time.Duration
		live  int64
		want  int // part of this host
	}{{0, 6, 6}, {5 * time.Second, 2, 6}, {8 * time.Second, 6, 6}, {17 * time.Second, 2, 6}, {19 * time.Second, 2, 20}, {20 * time.Second, 5, 8}}
	for _, step := range steps {
		d.host.hosts.observe(start.Add(step.after), step.live)
		if got, want := d.budget("llm").Floor, step.want; got != want {
			t.Errorf("after %v with %d live hosts: got %d repeats, want %d", step.after, step.live, got, want)
		}
	}
}

// TestPriorities guards against a request that is queued, or sent to its engine, by the priority of its route although its
// workspace has another one.
func TestPriorities(t *testing.T) {
	tests := []struct {
		name          string
		priority      int
		resumed       bool
		queue, engine int
	}{
		{"most urgent", 0, false, 100, 0},
		{"next", 1, false, 90, 1},
		{"least urgent of engines", 9, false, 10, 9},
		{"least urgent", 100, false, 0, 9},
		{"resumed", 100, true, 100, 0},
	}
	for _, tt := range tests {
		request := RoutedRequest{Route: model.Route{Priority: 5}, Priority: tt.priority}
		if queue, engine := priorities(request, tt.resumed); queue != tt.queue || engine != tt.engine {
			t.Errorf("%s: got %d in the queue and %d at the engine, want %d and %d", tt.name, queue, engine, tt.queue, tt.engine)
		}
	}
}
