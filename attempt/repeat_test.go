package attempt

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"citronspread/routing"
)

// recordingBudget allows all repeats and records the calls.
type recordingBudget struct{ calls []string }

func (b *recordingBudget) Request(time.Time) {}

func (b *recordingBudget) Reserve(time.Time, routing.Extra) bool {
	b.calls = append(b.calls, "reserve")
	return true
}

func (b *recordingBudget) Send(time.Time)   { b.calls = append(b.calls, "send") }
func (b *recordingBudget) Unsend(time.Time) { b.calls = append(b.calls, "unsend") }
func (b *recordingBudget) Release()         { b.calls = append(b.calls, "release") }

// refusingTransport refuses to grant more than a number of sends.
type refusingTransport struct {
	fakeTransport
	grants int
}

func (f *refusingTransport) Acquire(ctx context.Context, p *Progress) (Grant, error) {
	if f.grants--; f.grants < 0 {
		return nil, errors.New("refused")
	}
	return f.fakeTransport.Acquire(ctx, p)
}

// TestRepeatIsChargedWhenItIsSent guards against repeats that are charged when they are decided, long before they arrive, and
// against charges for those that never arrive.
func TestRepeatIsChargedWhenItIsSent(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []Outcome
		grants   int
		want     []string
	}{
		{"no repeat", outcomes(Complete), 1, nil},
		{"a repeat", outcomes(MayHaveRun, Complete), 2, []string{"reserve", "send"}},
		{"a repeat that gets no grant", outcomes(MayHaveRun), 1, []string{"reserve", "release"}},
		{"a repeat that is not sent at first", outcomes(MayHaveRun, Unsent, Complete), 3, []string{"reserve", "send", "unsend", "send"}},
		{"a repeat that is never sent", outcomes(MayHaveRun, Unsent), 2, []string{"reserve", "send", "unsend", "release"}},
		{"a first send that is not sent", outcomes(Unsent, Complete), 2, nil},
		{"two repeats", outcomes(MayHaveRun, NotRun, Complete), 3, []string{"reserve", "send", "reserve", "send"}},
	}
	for _, tt := range tests {
		budget := &recordingBudget{}
		loop := Loop{Budget: budget, MaxRuns: 3, ChargeRefusals: true, Now: time.Now}
		transport := &refusingTransport{fakeTransport{outcomes: tt.outcomes, continuation: Restart}, tt.grants}
		_, _ = loop.Run(t.Context(), transport)
		if !slices.Equal(budget.calls, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, budget.calls, tt.want)
		}
	}
}
