package routing

import (
	"testing"
	"time"
)

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
