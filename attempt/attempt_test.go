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

func (p fakeGrant) Backend() string                 { return p.backend }
func (p fakeGrant) Done(time.Time, routing.Outcome) {}

// fakeEdge returns the outcomes in order, one for each send.
type fakeEdge struct {
	outcomes     []Outcome
	continuation Continuation
	sent         []string
}

func (e *fakeEdge) Acquire(_ context.Context, p *Progress) (Place, error) {
	for _, b := range []string{"a", "b", "c", "d", "e"} {
		if !slices.Contains(p.Failed, b) {
			return fakeGrant{b}, nil
		}
	}
	return nil, &routing.RefusedError{Reason: routing.ReasonNoEndpoint}
}

func (e *fakeEdge) Send(_ context.Context, grant Place, _ *Progress) Outcome {
	o := e.outcomes[len(e.sent)]
	e.sent = append(e.sent, grant.Backend())
	return o
}

func (e *fakeEdge) Continuation(Outcome, *Progress) Continuation { return e.continuation }

func (e *fakeEdge) Repeating(time.Time, string, Outcome, Continuation) {}

func outcomes(results ...Result) []Outcome {
	var all []Outcome
	for _, r := range results {
		o := Outcome{Result: r}
		if r != Whole {
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
		{name: "served at once", outcomes: outcomes(Whole), maxRuns: 1, sent: []string{"a"}},
		{name: "unsent is repeated elsewhere without budget", outcomes: outcomes(Unsent, Whole), maxRuns: 1, sent: []string{"a", "b"}},
		{name: "refusal without budget", outcomes: outcomes(NotRun, Whole), maxRuns: 1, sent: []string{"a"}, failed: true},
		{name: "refusal within the budget", outcomes: outcomes(NotRun, Whole), maxRuns: 1, floor: 1, sent: []string{"a", "a"}},
		{name: "may have run, not repeatable", outcomes: outcomes(MayHaveRun, Whole), maxRuns: 2, floor: 5, sent: []string{"a"}, failed: true},
		{name: "may have run, repeatable", outcomes: outcomes(MayHaveRun, Whole), continuation: Restart, maxRuns: 2, floor: 5, sent: []string{"a", "b"}},
		{name: "limit of runs", outcomes: outcomes(MayHaveRun, MayHaveRun, Whole), continuation: Restart, maxRuns: 2, floor: 5, sent: []string{"a", "b"}, failed: true},
		{name: "resumed", outcomes: outcomes(BrokenOff, Whole), continuation: Resume, maxRuns: 2, floor: 1, sent: []string{"a", "b"}},
		{name: "resumption without budget", outcomes: outcomes(BrokenOff, Whole), continuation: Resume, maxRuns: 2, sent: []string{"a"}, failed: true},
		{name: "final", outcomes: outcomes(Final, Whole), continuation: Restart, maxRuns: 2, floor: 5, sent: []string{"a"}, failed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			edge := &fakeEdge{outcomes: tt.outcomes, continuation: tt.continuation}
			loop := Loop{Budget: &routing.Budget{Floor: tt.floor}, MaxRuns: tt.maxRuns, PayForRefusal: true, Now: time.Now}
			_, err := loop.Run(t.Context(), edge)
			if got := err != nil; got != tt.failed {
				t.Errorf("got failed %v, want %v", got, tt.failed)
			}
			if !slices.Equal(edge.sent, tt.sent) {
				t.Errorf("got sends to %v, want %v", edge.sent, tt.sent)
			}
		})
	}
}

// TestRunStopsWhenContextEnds guards against repeats after the caller has disconnected.
func TestRunStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	edge := &fakeEdge{outcomes: outcomes(Unsent, Whole)}
	loop := Loop{Budget: &routing.Budget{Floor: 5}, MaxRuns: 2, Now: time.Now}
	if _, err := loop.Run(ctx, edge); err == nil || len(edge.sent) != 1 {
		t.Errorf("got %d sends and error %v, want one send and an error", len(edge.sent), err)
	}
}
