package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var testTime = time.Unix(1_000_000, 0)

// near reports whether two amounts are equal but for rounding.
func near(got, want float64) bool { return math.Abs(got-want) <= 1e-6*max(1, math.Abs(want)) }

// TestCost guards against responses that cost no more than prompts of the same length.
func TestCost(t *testing.T) {
	if got, want := Cost(100, 30), 160.0; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestIdleWorkspaceSavesNoCredit guards against a workspace that returns after an idle time and is served alone until its
// counter has reached those of the others.
func TestIdleWorkspaceSavesNoCredit(t *testing.T) {
	tests := []struct {
		name    string
		waiting []string // other workspaces with waiting requests
		last    string   // workspace that was served last
		want    float64
	}{
		{name: "the lowest that waits", waiting: []string{"a", "b"}, last: "b", want: 300},
		{name: "the one that was served last", last: "b", want: 500},
		{name: "nobody was served", want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Counters
			for workspace, service := range map[string]float64{"a": 300, "b": 500} {
				c.Charge(testTime, testTime, workspace, service)
			}
			for _, name := range tt.waiting {
				c.Join(testTime, c.Account(testTime, name), 50)
			}
			if tt.last != "" {
				c.Serve(testTime, c.Account(testTime, tt.last), 50, 0)
			}
			a := c.Account(testTime, "idle")
			c.Join(testTime, a, 50)
			if got := c.Counter(testTime, a); !near(got, tt.want) {
				t.Errorf("got counter %v, want %v", got, tt.want)
			}
		})
	}
}

// TestWaitingWorkspaceKeepsItsPlace guards against a workspace that loses what it is owed because more of its requests
// arrive while one waits.
func TestWaitingWorkspaceKeepsItsPlace(t *testing.T) {
	var c Counters
	a, b := c.Account(testTime, "a"), c.Account(testTime, "b")
	c.Join(testTime, a, 50)
	c.Join(testTime, b, 50)
	c.Serve(testTime, b, 50, 1000)
	c.Join(testTime, a, 50)
	if got := c.Counter(testTime, a); got != 0 {
		t.Errorf("got counter %v, want 0", got)
	}
	if !b.IsBehind(a) || a.IsBehind(b) {
		t.Error("got the served workspace first, want the waiting one first")
	}
}

// TestIdleWorkspaceOfAnotherPriority guards against credit from the low counters of workspaces that are not served because
// of their priority.
func TestIdleWorkspaceOfAnotherPriority(t *testing.T) {
	var c Counters
	urgent, low, idle := c.Account(testTime, "urgent"), c.Account(testTime, "low"), c.Account(testTime, "idle")
	c.Join(testTime, low, 10)
	c.Join(testTime, urgent, 90)
	c.Join(testTime, urgent, 90)
	c.Serve(testTime, urgent, 90, 700)
	c.Join(testTime, idle, 90)
	if got, want := c.Counter(testTime, idle), 700.0; !near(got, want) {
		t.Errorf("got counter %v, want %v", got, want)
	}
}

// TestServiceAges guards against a workspace that pays for minutes for what it was served, also across a move of the epoch.
func TestServiceAges(t *testing.T) {
	for _, after := range []time.Duration{0, DefaultMemory, 10 * DefaultMemory, 25 * DefaultMemory, time.Hour} {
		var c Counters
		a := c.Account(testTime, "a")
		c.Join(testTime, a, 50) // keeps the account
		c.Charge(testTime, testTime, "a", 1000)
		now := testTime.Add(after)
		c.Scale(now)
		want := 1000 * math.Exp(-after.Seconds()/DefaultMemory.Seconds())
		if got := c.Counter(now, a); !near(got, want) {
			t.Errorf("after %v: got counter %v, want %v", after, got, want)
		}
	}
}

// TestReturnedChargeLeavesNothing guards against service that stays charged, or turns into credit, when it is given back
// later than it was charged.
func TestReturnedChargeLeavesNothing(t *testing.T) {
	var c Counters
	a := c.Account(testTime, "a")
	c.Join(testTime, a, 50)
	c.Serve(testTime, a, 50, 500)
	for _, after := range []time.Duration{time.Second, 25 * DefaultMemory} {
		now := testTime.Add(after)
		c.Charge(now, now, "a", 300)
		c.Charge(now, testTime, "a", -500)
		if got, want := c.Counter(now, a), 300.0; !near(got, want) {
			t.Errorf("after %v: got counter %v, want %v", after, got, want)
		}
		c.Charge(now, testTime, "a", 500)
		c.Charge(now, now, "a", -300)
	}
}

// TestCountersAreBounded guards against accounts of workspaces that have long left.
func TestCountersAreBounded(t *testing.T) {
	var c Counters
	for i := range 10_000 {
		c.Charge(testTime, testTime, fmt.Sprint("w-", i), 100)
	}
	now := testTime.Add(25 * DefaultMemory)
	c.Charge(now, now, "w-0", 100)
	if got := len(c.accounts); got != 1 {
		t.Errorf("got %d accounts, want 1", got)
	}
	if !c.HasWorkspaces() || c.Len() != 1 {
		t.Errorf("got %d workspaces, want 1", c.Len())
	}
}

// BenchmarkServe measures the decision for one request of one of many workspaces, without a queue.
func BenchmarkServe(b *testing.B) {
	for _, workspaces := range []int{16, 10_000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			var c Counters
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("w-", i)
				c.Account(testTime, names[i])
			}
			now := testTime
			for i := range b.N {
				now = now.Add(time.Millisecond)
				a := c.Account(now, names[i%workspaces])
				c.Join(now, a, 50)
				c.Leave(now, a)
				c.Serve(now, a, 50, 100)
			}
		})
	}
}

// TestOwedWorkspaceIsNotRaised guards against hosts that forget what a workspace is owed in the zone, because each of them
// gets a request of it only now and then.
func TestOwedWorkspaceIsNotRaised(t *testing.T) {
	tests := []struct {
		name          string
		refusedBefore time.Duration // the request, 0 if none was refused
		activeBefore  time.Duration
		want          float64
	}{
		{name: "never refused", activeBefore: time.Second, want: 900},
		{name: "refused lately", refusedBefore: 3 * time.Second, activeBefore: time.Second},
		{name: "refused long ago", refusedBefore: DefaultMemory, activeBefore: time.Second, want: 900},
		{name: "refused and then idle", refusedBefore: 3 * time.Second, activeBefore: idleAfter, want: 900},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Counters
			start := testTime.Add(-DefaultMemory)
			c.Join(start, c.Account(start, "other"), 50)
			c.Charge(testTime, testTime, "other", 900)
			a := c.Account(start, "a")
			if tt.refusedBefore > 0 {
				c.Refuse(testTime.Add(-tt.refusedBefore), a)
			}
			a.activeAt = testTime.Add(-tt.activeBefore)
			c.Join(testTime, a, 50)
			if got := c.Counter(testTime, a); !near(got, tt.want) {
				t.Errorf("got counter %v, want %v", got, tt.want)
			}
		})
	}
}

// TestDroppedAccountIsNotTold guards against accounts that were dropped and still appear in messages, or are counted again.
func TestDroppedAccountIsNotTold(t *testing.T) {
	var c Counters
	c.Charge(testTime, testTime, "old", 100)
	now := testTime.Add(25 * DefaultMemory)
	c.Charge(now, now, "new", 100)
	totals := c.Totals(now, 1, &Report{})
	if len(totals.Amounts) != 1 || totals.Amounts[0].Workspace != "new" || c.Len() != 1 {
		t.Errorf("got %+v of %d workspaces, want the new one only", totals.Amounts, c.Len())
	}
	c.Charge(now, now, "old", 7)
	if got, want := c.Counter(now, c.Account(now, "old")), 7.0; !near(got, want) || c.Len() != 2 {
		t.Errorf("got counter %v of %d workspaces, want %v of 2", got, c.Len(), want)
	}
}
