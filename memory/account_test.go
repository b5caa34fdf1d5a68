package memory

import (
	"errors"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

const testLimit = 1 << 20

// open opens a holder and records whether it is dropped.
func open(t *testing.T, a *Account, now time.Time, bytes int64) (*Holder, *bool) {
	t.Helper()
	dropped := new(bool)
	h, err := a.Open(now, bytes, func(DropReason) { *dropped = true })
	if err != nil {
		t.Fatalf("got %v, want a holder", err)
	}
	return h, dropped
}

// TestReserveWithinLimit guards against accounts that hold more than their limit, or forget what was released.
func TestReserveWithinLimit(t *testing.T) {
	a := &Account{MaxBytes: testLimit}
	h, _ := open(t, a, start, 1000)
	h.Work()
	if err := h.Reserve(start, Bodies, testLimit/2); err != nil {
		t.Fatalf("got %v, want half the account", err)
	}
	var refused *RefusedError
	if err := h.Reserve(start, Bodies, testLimit/2); !errors.As(err, &refused) || refused.Kind != Bodies || refused.Held != testLimit/2+1000 {
		t.Errorf("got %+v, want a refusal with what is held", err)
	}
	h.Release(Bodies, testLimit)
	if got, want := a.Usage().Total, int64(1000); got != want {
		t.Errorf("got %d bytes after a release, want %d", got, want)
	}
	h.Close()
	h.Close()
	h.Release(Bodies, 1000)
	if got := a.Usage(); got.Total != 0 || got.Connections != 0 || got.Held != [kinds]int64{} {
		t.Errorf("got %+v after the close, want nothing held", got)
	}
	if err := h.Reserve(start, Bodies, 1); err == nil {
		t.Error("got a reservation of a closed holder, want none")
	}
}

// TestSmallHoldersKeepTheirPart guards against large holders that leave nothing to ordinary callers.
func TestSmallHoldersKeepTheirPart(t *testing.T) {
	a := &Account{MaxBytes: testLimit}
	for {
		h, _ := open(t, a, start, 1000)
		h.Work()
		if h.Reserve(start, Bodies, smallBytes) != nil {
			break
		}
	}
	if got := a.Usage().Total; got > testLimit*4/5 {
		t.Errorf("got %d of %d bytes held by large holders, want a quarter left but for connections", got, testLimit)
	}
	small, _ := open(t, a, start, 1000)
	if err := small.Reserve(start, Heads, smallBytes/2); err != nil {
		t.Errorf("got %v for a small holder, want a reservation", err)
	}
}

// TestStalledHoldersAreDropped guards against holders without progress that keep others out, and against dropping those that
// make progress, are served, or have only begun.
func TestStalledHoldersAreDropped(t *testing.T) {
	const body = 400 << 10
	tests := []struct {
		name    string
		behave  func(h *Holder, end time.Time)
		after   time.Duration
		dropped bool
	}{
		{"silent", func(*Holder, time.Time) {}, 2 * time.Second, true},
		{"only begun", func(*Holder, time.Time) {}, graceTime / 2, false},
		{"served", func(h *Holder, _ time.Time) { h.Work() }, time.Hour, false},
		{"as fast as a body of 4 MB in 10 s", func(h *Holder, end time.Time) { flow(h, end, body/10) }, 4 * time.Second, false},
		{"as fast, in bursts of a second", func(h *Holder, end time.Time) {
			for at := start; at.Before(end); at = at.Add(time.Second) {
				h.Progress(at, body/8)
			}
		}, 4 * time.Second, false},
		{"a byte at a time", func(h *Holder, end time.Time) { flow(h, end, 100) }, 4 * time.Second, true},
		{"fast, then silent", func(h *Holder, end time.Time) { flow(h, end.Add(-10*time.Second), body) }, 20 * time.Second, true},
		{"fast, begun a moment ago", func(h *Holder, end time.Time) { flow(h, end, body/10) }, graceTime + 50*time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &Account{MaxBytes: testLimit}
			first, dropped := open(t, a, start, 1000)
			if err := first.Reserve(start, Bodies, body); err != nil {
				t.Fatal(err)
			}
			end := start.Add(tt.after)
			tt.behave(first, end)
			second, _ := open(t, a, end, 1000)
			err := second.Reserve(end, Bodies, body)
			if *dropped != tt.dropped || (err == nil) != tt.dropped {
				t.Errorf("got dropped %t and %v for the next one, want dropped %t", *dropped, err, tt.dropped)
			}
		})
	}
}

// flow records steady progress from the start until end.
func flow(h *Holder, end time.Time, perSecond int) {
	const parts = 100
	for at := start; at.Before(end); at = at.Add(time.Second / parts) {
		h.Progress(at, perSecond/parts)
	}
}

// TestLargestStalledHolderGoesFirst guards against idle connections that are closed while stalled bodies hold the memory, and
// against large bodies that have idle connections closed.
func TestLargestStalledHolderGoesFirst(t *testing.T) {
	a := &Account{MaxBytes: testLimit}
	_, idleDropped := open(t, a, start, 20<<10)
	body, bodyDropped := open(t, a, start, 1000)
	if err := body.Reserve(start, Bodies, testLimit/2); err != nil {
		t.Fatal(err)
	}
	now := start.Add(2 * time.Second)
	next, _ := open(t, a, now, 1000)
	next.Work()
	if err := next.Reserve(now, Bodies, testLimit/2); err != nil || !*bodyDropped || *idleDropped {
		t.Errorf("got %v, body dropped %t, idle connection dropped %t, want only the body dropped", err, *bodyDropped, *idleDropped)
	}
	now = now.Add(time.Second)
	if err := next.Reserve(now, Bodies, testLimit/2); err == nil || *idleDropped {
		t.Errorf("got %v and idle connection dropped %t for a larger body, want a refusal", err, *idleDropped)
	}
}

// TestDescriptors guards against connections of callers that leave none for backend servers, and the other way round.
func TestDescriptors(t *testing.T) {
	a := &Account{MaxDescriptors: 8}
	var first *bool
	for i := range 6 {
		_, dropped := open(t, a, start, 1)
		if i == 0 {
			first = dropped
		}
	}
	var noDescriptor *DescriptorsError
	if _, err := a.Open(start, 1, func(DropReason) {}); !errors.As(err, &noDescriptor) {
		t.Errorf("got %v for a connection beyond the share of callers, want a DescriptorsError", err)
	}
	for range 2 {
		if err := a.OpenOutgoing(start); err != nil {
			t.Errorf("got %v for a connection to a backend server, want none", err)
		}
	}
	if err := a.OpenOutgoing(start); !errors.As(err, &noDescriptor) {
		t.Errorf("got %v, want a DescriptorsError", err)
	}
	a.CloseOutgoing()
	if err := a.OpenOutgoing(start); err != nil {
		t.Errorf("got %v after one was closed, want none", err)
	}
	if _, err := a.Open(start.Add(time.Minute), 1, func(DropReason) {}); err != nil {
		t.Errorf("got %v once the others are idle, want a connection", err)
	}
	if got := a.Usage(); got.Connections != 6 || got.Dropped != 1 {
		t.Errorf("got %d connections and %d dropped (the first: %t), want 6 and 1", got.Connections, got.Dropped, *first)
	}
}

// TestNoLimits guards against refusals in deployments that state no limits.
func TestNoLimits(t *testing.T) {
	a := &Account{}
	h, dropped := open(t, a, start, 1<<40)
	if err := h.Reserve(start.Add(time.Hour), Bodies, 1<<40); err != nil || *dropped {
		t.Errorf("got %v and dropped %t, want neither", err, *dropped)
	}
}

// TestPlan guards against plans whose parts exceed the memory of a process or leave no room for the largest body.
func TestPlan(t *testing.T) {
	const largestBody = 4 << 20
	for _, mb := range []int64{144, 284, 536} {
		p := NewPlan(mb*1_000_000, 1024)
		// What the account holds beside the heap is the buffers of sockets, at most what heapShare leaves.
		if p.HeapBytes+codeBytes > mb*1_000_000 || p.AccountBytes*7/5+processBytes > mb*1_000_000 {
			t.Errorf("%d MB: got %+v, want less in total", mb, p)
		}
		if int64(largeShare*float64(p.AccountBytes)) < 2*largestBody {
			t.Errorf("%d MB: got %d bytes for callers, want room for two of the largest bodies", mb, p.AccountBytes)
		}
	}
	if got, want := NewPlan(0, 0), (Plan{}); got != want {
		t.Errorf("got %+v without limits, want %+v", got, want)
	}
	if got := NewPlan(0, 1024); got.AccountBytes != 0 || got.HeapBytes != 0 || got.Descriptors != 768 || got.MaxIdle != 96 {
		t.Errorf("got %+v without a limit of memory, want one of descriptors only", got)
	}
	for _, mb := range []int64{1, 10, 40, 41} {
		if p := NewPlan(mb*1_000_000, 8); p.AccountBytes <= 0 || p.HeapBytes <= 0 || p.Descriptors < 1 {
			t.Errorf("%d MB: got %+v, want positive parts", mb, p)
		}
	}
}

// TestStalledLargeHoldersAreDroppedAgain guards against a list of stalled holders that is never searched again: the small ones
// at its end are not dropped for a large holder, and those that stall later are not on it.
func TestStalledLargeHoldersAreDroppedAgain(t *testing.T) {
	a := &Account{MaxBytes: testLimit}
	open(t, a, start, 1000) // an idle connection, which is stalled too
	now := start
	for round := range 3 {
		stalled, dropped := open(t, a, now, 1000)
		if err := stalled.Reserve(now, Bodies, testLimit/2); err != nil {
			t.Fatalf("got %v in round %d, want the reservation", err, round)
		}
		now = now.Add(time.Second)
		h, _ := open(t, a, now, 1000)
		h.Work()
		if err := h.Reserve(now, Bodies, testLimit/2); err != nil || !*dropped {
			t.Errorf("got %v and dropped %t in round %d, want the stalled holder dropped", err, *dropped, round)
		}
		h.Close()
		stalled.Close()
	}
}

// TestClosedHolderDoesNotHideStalledOnes guards against large holders that are kept because one that was found stalled before
// them has been closed.
func TestClosedHolderDoesNotHideStalledOnes(t *testing.T) {
	a := &Account{MaxBytes: testLimit}
	var stalled []*Holder
	var dropped []*bool
	for _, bytes := range []int64{180 << 10, 200 << 10, 220 << 10} {
		h, d := open(t, a, start, bytes)
		stalled, dropped = append(stalled, h), append(dropped, d)
	}
	now := start.Add(time.Second)
	h, _ := open(t, a, now, 200<<10) // drops the one that holds most
	h.Work()
	stalled[1].Close()
	h, _ = open(t, a, now, 1000)
	h.Work()
	if err := h.Reserve(now, Bodies, 450<<10); err != nil || !*dropped[0] {
		t.Errorf("got %v and dropped %t, want the stalled holder dropped", err, *dropped[0])
	}
}

// TestRefusedHolderStaysAccounted guards against holders that are no longer accounted for, although their connection stays open,
// because a reservation of their own was refused.
func TestRefusedHolderStaysAccounted(t *testing.T) {
	a := &Account{MaxBytes: testLimit}
	h, _ := open(t, a, start, testLimit/2)
	now := start.Add(time.Second)
	if err := h.Reserve(now, Responses, testLimit); err == nil {
		t.Fatal("got a reservation over the limit, want a refusal")
	}
	if got, want := a.Usage().Total, int64(testLimit/2); got != want {
		t.Errorf("got %d bytes after the refusal, want %d", got, want)
	}
	if err := h.Set(now, Heads, testLimit); err == nil {
		t.Error("got a holder over the limit, want a refusal")
	}
	h.Close()
	if err := h.Set(now, Heads, 1); err == nil {
		t.Error("got memory for a closed holder, want a refusal")
	}
}
