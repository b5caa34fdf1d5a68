package attempt

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"citronspread/routing"
)

var errSend = errors.New("send failed")

type fakeGrant struct{ backend string }

func (g fakeGrant) Backend() string                 { return g.backend }
func (g fakeGrant) Done(time.Time, routing.Outcome) {}

// fakeTransport returns the outcomes in order, one for each send.
type fakeTransport struct {
	outcomes     []Outcome
	continuation Continuation
	sent         []string
}

func (f *fakeTransport) Acquire(_ context.Context, p *Progress) (Grant, error) {
	for _, b := range []string{"a", "b", "c", "d", "e"} {
		if !slices.Contains(p.Failed, b) {
			return fakeGrant{b}, nil
		}
	}
	return nil, &routing.RefusedError{Reason: routing.ReasonNoEndpoint}
}

func (f *fakeTransport) Send(_ context.Context, grant Grant, _ *Progress) Outcome {
	o := f.outcomes[len(f.sent)]
	f.sent = append(f.sent, grant.Backend())
	return o
}

func (f *fakeTransport) Continuation(Outcome, *Progress) Continuation { return f.continuation }

func (f *fakeTransport) OnRepeat(time.Time, string, Outcome, Continuation) {}

func outcomes(results ...Result) []Outcome {
	var all []Outcome
	for _, r := range results {
		o := Outcome{Result: r}
		if r != Complete {
			o.Err = errSend
		}
		all = append(all, o)
	}
	return all
}

func TestRun(t *testing.T) {
	tests := []struct {
		name         string
		outcomes     []Outcome
		continuation Continuation
		maxRuns      int
		floor        int
		sent         []string
		failed       bool
	}{
		{name: "served at once", outcomes: outcomes(Complete), maxRuns: 1, sent: []string{"a"}},
		{name: "unsent is repeated elsewhere without budget", outcomes: outcomes(Unsent, Complete), maxRuns: 1, sent: []string{"a", "b"}},
		{name: "refusal without budget", outcomes: outcomes(NotRun, Complete), maxRuns: 1, sent: []string{"a"}, failed: true},
		{name: "refusal within the budget", outcomes: outcomes(NotRun, Complete), maxRuns: 1, floor: 1, sent: []string{"a", "a"}},
		{name: "may have run, not repeatable", outcomes: outcomes(MayHaveRun, Complete), maxRuns: 2, floor: 5, sent: []string{"a"}, failed: true},
		{name: "may have run, repeatable", outcomes: outcomes(MayHaveRun, Complete), continuation: Restart, maxRuns: 2, floor: 5, sent: []string{"a", "b"}},
		{name: "limit of runs", outcomes: outcomes(MayHaveRun, MayHaveRun, Complete), continuation: Restart, maxRuns: 2, floor: 5, sent: []string{"a", "b"}, failed: true},
		{name: "resumed", outcomes: outcomes(Interrupted, Complete), continuation: Resume, maxRuns: 2, floor: 1, sent: []string{"a", "b"}},
		{name: "resumption without budget", outcomes: outcomes(Interrupted, Complete), continuation: Resume, maxRuns: 2, sent: []string{"a"}, failed: true},
		{name: "final", outcomes: outcomes(Final, Complete), continuation: Restart, maxRuns: 2, floor: 5, sent: []string{"a"}, failed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			transport := &fakeTransport{outcomes: tt.outcomes, continuation: tt.continuation}
			loop := Loop{Budget: &routing.Budget{Floor: tt.floor}, MaxRuns: tt.maxRuns, ChargeRefusals: true, Now: time.Now}
			_, err := loop.Run(t.Context(), transport)
			if got := err != nil; got != tt.failed {
				t.Errorf("got failed %v, want %v", got, tt.failed)
			}
			if !slices.Equal(transport.sent, tt.sent) {
				t.Errorf("got sends to %v, want %v", transport.sent, tt.sent)
			}
		})
	}
}

// TestRunStopsWhenContextEnds guards against repeats after the caller has disconnected.
func TestRunStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	transport := &fakeTransport{outcomes: outcomes(Unsent, Complete)}
	loop := Loop{Budget: &routing.Budget{Floor: 5}, MaxRuns: 2, Now: time.Now}
	if _, err := loop.Run(ctx, transport); err == nil || len(transport.sent) != 1 {
		t.Errorf("got %d sends and error %v, want one send and an error", len(transport.sent), err)
	}
}
