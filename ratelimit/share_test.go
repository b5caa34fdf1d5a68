package ratelimit

import (
	"math"
	"slices"
	"testing"
	"time"

	"citronspread/model"
)

func testTerms() Loan { return simTolerance.shareOf(Cap{PerSecond: 3000, Burst: 3000}, 3) }

// allowed returns what a share gives a host at once.
func allowed(s *Share, now time.Time, count int, mayUse bool) int {
	got := -1
	s.Take(now, Request{Host: "h", Count: count, Least: count}, now, func(r Reply) { got = r.Count })
	s.Settle(now, mayUse)
	return got
}

// TestShareIsInOnePlace guards against a share that its zone uses while a pool may use it, or that two pools have.
func TestShareIsInOnePlace(t *testing.T) {
	now := start
	s := NewShare(now, testTerms())
	s.Entitle(now, now.Add(-time.Hour), allotterPause)
	if got := allowed(s, now, 600, true); got != 600 {
		t.Fatalf("got %d of an unused share, want 600", got)
	}
	terms, lent := s.Lend(now, "leader-1", 0)
	if !lent || int(terms.Level) != 400 {
		t.Errorf("got level %v, lent %v, want the 400 that are left", terms.Level, lent)
	}
	if got := allowed(s, now.Add(500*time.Millisecond), 1, true); got != 0 {
		t.Errorf("got %d of a share that is lent, want 0", got)
	}
	if _, lent := s.Lend(now.Add(loanTTL), "leader-2", 0); lent {
		t.Error("got the share lent to a second leader, want it refused while the first one may use it")
	}
	ended := now.Add(loanTTL + lenderMargin)
	if got := allowed(s, ended, 1, true); got != 0 {
		t.Errorf("got %d when the loan has ended, want 0 since all of it went to the pool", got)
	}
	if got := allowed(s, ended.Add(100*time.Millisecond), 100, true); got != 100 {
		t.Errorf("got %d 100 ms later, want what has accrued, 100", got)
	}
}

// TestDebtOfPoolFallsToZones guards against a request above the burst that is free once its pool has ended.
func TestDebtOfPoolFallsToZones(t *testing.T) {
	now := start
	s := NewShare(now, testTerms())
	s.Entitle(now, now.Add(-time.Hour), allotterPause)
	s.Lend(now, "leader", 0)
	s.Lend(now.Add(100*time.Millisecond), "leader", 500)
	ended := now.Add(100*time.Millisecond + loanTTL + lenderMargin)
	if got := allowed(s, ended.Add(500*time.Millisecond), 1, true); got != 0 {
		t.Errorf("got %d while the zone pays 500 off at 1000 a second, want 0", got)
	}
	terms, _ := s.Lend(ended.Add(250*time.Millisecond), "leader", 0)
	if got, want := terms.Delay.Round(time.Millisecond), 0*time.Millisecond; got != want {
		t.Errorf("got a delay of %v for a debt that is paid, want %v", got, want)
	}
}

// TestShareOfNewAllotter guards against a share that has accrued before the handover, or while another host may have used it.
func TestShareOfNewAllotter(t *testing.T) {
	now := start
	s := NewShare(now, testTerms())
	s.Entitle(now, now.Add(-allotterPause), allotterPause)
	if got := allowed(s, now, 1, true); got != 0 {
		t.Errorf("got %d at the end of the handover, want 0", got)
	}
	s.Void()
	now = now.Add(10 * time.Second)
	s.Entitle(now, start.Add(-time.Minute), allotterPause)
	if got := allowed(s, now, 1, true); got != 0 {
		t.Errorf("got %d after another host may have used the share, want 0", got)
	}
	if got := allowed(s, now.Add(time.Second), 900, false); got != 0 {
		t.Errorf("got %d at a host that is not the allotter, want 0", got)
	}
}

// TestLateRepliesCountFromTheRequest guards against a host that was frozen, or whose messages were, and that uses a loan or an
// amount which has ended for the others.
func TestLateRepliesCountFromTheRequest(t *testing.T) {
	now := start
	p := NewPool(now)
	p.Due(now, []string{"z"}, func(string) bool { return true })
	late := now.Add(loanTTL)
	p.Lent(late, "z", testTerms())
	if got := p.Zones(late); got != 0 {
		t.Errorf("got %d zones in a pool whose loan came late, want 0", got)
	}
	p.Due(late, []string{"z"}, func(string) bool { return true })
	p.Lent(late.Add(time.Millisecond), "z", testTerms())
	p.refill(late.Add(time.Hour))
	if p.level != 0 {
		t.Errorf("got %v in a pool that was frozen for an hour, want 0", p.level)
	}
	s := NewShare(now, testTerms())
	s.Take(now, Request{Host: "h", Count: 100, Least: 100}, now.Add(time.Second), func(Reply) {})
	s.Wanted(now, false)
	s.Receive(now.Add(amountTTL), Reply{Count: 100, ValidFor: amountTTL})
	if got := s.amounts.total(now.Add(amountTTL)); got != 0 {
		t.Errorf("got an amount of %d that has ended, want 0", got)
	}
}

// TestRefusedCallersReturnApart guards against callers that are told the same time.
func TestRefusedCallersReturnApart(t *testing.T) {
	now := start
	d := benchmarkDesk(now, 1, 1)
	d.SetCaps(now, map[string]Cap{"w": {PerSecond: 1000, Burst: 1000}})
	now = now.Add(time.Minute)
	var last time.Duration
	refused := 0
	for range 60 {
		d.Take(now, "w", 100, simPatience, func(o Outcome) {
			if o.RetryAfter == 0 {
				return
			}
			refused++
			if refused > 2 && o.RetryAfter < last+50*time.Millisecond && o.RetryAfter < maxBooked {
				t.Errorf("caller %d: got %v after one that was told %v, want 100 ms more each", refused, o.RetryAfter, last)
			}
			last = o.RetryAfter
		})
		now = now.Add(time.Millisecond)
		d.Tick(now)
	}
	if refused < 40 || last < 2*time.Second {
		t.Errorf("got %d callers refused, the last one for %v, want at least 40 and 2s", refused, last)
	}
}

// TestAmountsOutOfRange guards against amounts that overflow or are negative and give tokens for free.
func TestAmountsOutOfRange(t *testing.T) {
	now := start
	d := benchmarkDesk(now, 1, 1)
	d.SetCaps(now, map[string]Cap{"w": {PerSecond: 1000, Burst: 1000}})
	for _, count := range []int{math.MaxInt, 1 << 40, 1 << 20} {
		for range 3 {
			now = now.Add(time.Minute)
			d.Take(now, "w", count, 0, func(o Outcome) {
				if o.RetryAfter <= 0 || o.RetryAfter > 2*maxBooked {
					t.Errorf("got %v for %d tokens, want them refused with a time", o, count)
				}
			})
		}
	}
	for _, call := range []CapCall{CapAllowance, CapAmount, CapLend, CapConfirm, "Unknown"} {
		for _, n := range []int{math.MinInt, -1, 0, math.MaxInt} {
			now = now.Add(time.Second)
			r := CapRequest{Call: call, Workspace: "w", From: "a", Asker: "a", Count: n, Least: n, Owed: n, Patience: time.Duration(n)}
			d.Serve(now, r, func(reply CapReply) {
				if reply.Allowance.Count < 0 || reply.Allowance.Count > 1000 {
					t.Errorf("got %d for a request of %d, want 0 to 1000", reply.Allowance.Count, n)
				}
			})
			d.Tick(now.Add(maxPatience))
		}
	}
	var granted bool
	now = now.Add(time.Minute)
	d.Take(now, "w", 1, simPatience, func(o Outcome) { granted = o.RetryAfter == 0 })
	for range 20 {
		now = now.Add(25 * time.Millisecond)
		d.Tick(now)
	}
	if granted {
		t.Log("served after a debt that a peer has claimed")
	}
}

// TestReturnedAmountKeepsItsTime guards against an amount that can be used for longer because it was returned together with one that
// arrived later: requests that take and return it in turn would keep it for any time, and use it in a later window.
func TestReturnedAmountKeepsItsTime(t *testing.T) {
	now := start
	a := NewAllowance(1000, now)
	for i := range 10 {
		at := now.Add(time.Duration(i) * 200 * time.Millisecond)
		a.asking, a.askedAt = true, at
		count := 1
		if i == 0 {
			count = 100
		}
		a.Receive(at, Reply{Count: count, ValidFor: capAllowanceTTL})
		if held := a.Sendable(at); held > 2 && i > 1 {
			t.Fatalf("got %d that can be used %v after the first 100 were given, want the 2 that were given in the last %v", held, at.Sub(now), capAllowanceTTL)
		}
		taken := a.Spend(at, a.Sendable(at))
		a.Return(at.Add(MaxHold-time.Millisecond), taken)
	}
}

// TestShareAfterManyViews guards against a share whose saved-up tokens are lost whenever a host joins or leaves the zone, because the
// beginning of the oldest set of hosts is no longer known.
func TestShareAfterManyViews(t *testing.T) {
	now := start
	d := benchmarkDesk(now, 8, 1)
	d.SetCaps(now, map[string]Cap{"w": {PerSecond: 7000, Burst: 7000}})
	first := d.rankings.view
	for i := range 3 * maxViews {
		now = now.Add(time.Minute)
		v := first
		if i%2 == 0 {
			v.Live = append(slices.Clone(v.Live), model.Peer{Name: "joined", Zone: "other", Address: "joined"})
		} else {
			v.Live = append(slices.Clone(v.Live), model.Peer{Name: "new", Zone: "z0", Address: "new"})
		}
		d.SetView(now, v)
		if !d.rankings.of("w").isFirst {
			t.Fatal("got another allotter, want a workspace whose allotter stays")
		}
		granted := 0
		d.Serve(now, CapRequest{Call: CapAllowance, Workspace: "w", From: "host-7", Asker: "host-7", Count: 900, Least: 900}, func(r CapReply) { granted = r.Allowance.Count })
		if granted != 900 {
			t.Fatalf("got %d of a share of 1,000 after %d sets of hosts, want 900", granted, i+1)
		}
	}
}

// TestPoolOfZoneThatIsGone guards against a leader that wakes each millisecond while its pool has the share of a zone that has no live
// hosts any more.
func TestPoolOfZoneThatIsGone(t *testing.T) {
	const measured, most = 2 * time.Second, 100
	now := start
	d := benchmarkDesk(now, 7, 1)
	d.SetCaps(now, map[string]Cap{"w": {PerSecond: 7000, Burst: 7000}})
	lendAll := func() {
		for _, m := range d.Messages() {
			d.Receive(now, m, CapReply{Lent: true, Loan: d.termsOf(d.caps["w"])}, m.Request.Call == CapLend)
		}
	}
	d.Serve(now, CapRequest{Call: CapAmount, Workspace: "w", From: "host-1", Asker: "z1", Count: 500, Least: 500}, func(CapReply) {})
	lendAll()
	v := d.rankings.view
	v.Live = slices.DeleteFunc(slices.Clone(v.Live), func(p model.Peer) bool { return p.Zone == "z3" })
	d.SetView(now, v)
	ticks := 0
	for end := now.Add(measured); now.Before(end) && !d.WakeAt().IsZero(); ticks++ {
		now = now.Add(max(time.Millisecond, d.WakeAt().Sub(now)))
		d.Tick(now)
		lendAll()
	}
	if ticks > most {
		t.Errorf("got %d wakes in %v, want at most %d: those for the loans of 6 zones each %v", ticks, measured, most, loanRenewal)
	}
	if got := d.pools["w"].Zones(now); got != 6 {
		t.Errorf("got the shares of %d zones at last, want 6", got)
	}
}

// TestCancelledRequestLetsNextPass guards against a request that waits although its tokens are there, because a larger one that waited
// before it was cancelled.
func TestCancelledRequestLetsNextPass(t *testing.T) {
	now := start
	d := &Desk{
		Name: "host-0", Zone: "z0", Address: "host-0", Tolerance: simTolerance, Events: simCapEvents{}, Random: func() float64 { return 0.5 },
		IsFresh: func(time.Time) bool { return false },
	}
	d.Init()
	d.SetView(now, HostView{Name: d.Name, Zone: d.Zone, Zones: 1, Live: []model.Peer{{Name: "host-1", Zone: "z0", Address: "host-1"}}})
	d.SetCaps(now, map[string]Cap{"w": {PerSecond: 1000, Burst: 1000}})
	d.Take(now, "w", 100, simPatience, func(Outcome) {})
	d.Receive(now, d.Messages()[0], CapReply{Allowance: Reply{Count: 150, ValidFor: capAllowanceTTL}}, true)
	first := d.Take(now, "w", 500, simPatience, func(Outcome) {})
	served := false
	d.Take(now, "w", 50, simPatience, func(o Outcome) { served = o.RetryAfter == 0 })
	if first == nil || served {
		t.Fatal("got the requests served at once, want both to wait")
	}
	if !d.Cancel(now, "w", first) || !served {
		t.Errorf("got %d waiting when the first one is cancelled, want the second one served from the 50 tokens that are left", len(d.accounts["w"].waiters))
	}
}
