package routing

import (
	"testing"
	"time"
)

// grant reserves extra attempts until the budget refuses and returns how many it allowed.
func (b *Budget) grant(now time.Time) (allowed int) {
	for b.Reserve(now, ExtraRetry) {
		allowed++
	}
	return allowed
}

// TestBudgetCoversAnyWindow guards against a budget that counts an extra attempt for less than the window: those at the end of
// a bucket were forgotten nine seconds later.
func TestBudgetCoversAnyWindow(t *testing.T) {
	const floor = 44
	tests := []struct {
		window time.Duration
		first  time.Duration // when the budget is used up
	}{{10 * time.Second, 990 * time.Millisecond}, {10 * time.Second, 0}, {4 * time.Second, 399 * time.Millisecond}}
	for _, tt := range tests {
		b := Budget{Floor: floor, Window: tt.window}
		spentAt := testTime.Add(tt.first)
		for range floor {
			if !b.Spend(spentAt, ExtraRetry) {
				t.Fatalf("window %v: got an extra attempt denied, want %d", tt.window, floor)
			}
		}
		for after := time.Duration(0); after <= tt.window; after += tt.window / 100 {
			if b.Spend(spentAt.Add(after), ExtraRetry) {
				t.Fatalf("window %v: got %d extra attempts within %v, want %d", tt.window, floor+1, after, floor)
			}
		}
		if !b.Spend(spentAt.Add(tt.window+tt.window/5), ExtraRetry) {
			t.Errorf("window %v: got an extra attempt denied long after the others, want it allowed", tt.window)
		}
	}
}

// TestReservedAttemptsCountUntilTheyAreSent guards against repeats that wait for a backend server, are no longer counted
// meanwhile, and arrive together with those that were allowed later.
func TestReservedAttemptsCountUntilTheyAreSent(t *testing.T) {
	const floor = 5
	b := Budget{Floor: floor}
	at := func(seconds int) time.Time { return testTime.Add(time.Duration(seconds) * time.Second) }
	steps := []struct {
		name    string
		second  int
		apply   func(now time.Time)
		granted int
	}{
		{"all are reserved", 0, func(time.Time) {}, floor},
		{"none is sent", 15, func(time.Time) {}, 0},
		{"one is given up", 16, func(time.Time) { b.Release() }, 1},
		{"all are sent", 17, func(now time.Time) {
			for range floor {
				b.Send(now)
			}
		}, 0},
		{"one did not reach a backend server", 18, func(time.Time) { b.Unsend(at(17)) }, 0},
		{"the others were sent a window ago", 28, func(time.Time) {}, floor - 1},
	}
	for _, step := range steps {
		step.apply(at(step.second))
		if got := b.grant(at(step.second)); got != step.granted {
			t.Errorf("%s: got %d allowed, want %d", step.name, got, step.granted)
		}
	}
}
