package fairshare

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zone is a zone of hosts whose first one is the relay.
type zone struct {
	hosts []*Counters
}

func newZone(hosts int) *zone {
	z := &zone{}
	for range hosts {
		z.hosts = append(z.hosts, &Counters{})
	}
	return z
}

// exchange makes one call of a host to a relay.
func (z *zone) exchange(now time.Time, host, relay int) {
	report := z.report(now, host, relay)
	z.hosts[relay].Receive(now, uint64(relay+1), report)
	z.hosts[host].Reported(now, z.hosts[relay].Totals(now, uint64(relay+1), report))
}

func (z *zone) report(now time.Time, host, relay int) *Report {
	return z.hosts[host].Report(now, fmt.Sprint("host-", host), uint64(host+1), fmt.Sprint("host-", relay))
}

func (z *zone) counter(now time.Time, host int, workspace string) float64 {
	c := z.hosts[host]
	return c.Counter(now, c.Account(now, workspace))
}

// TestHostsLearnTheServiceOfTheZone guards against hosts that count only what they serve themselves.
func TestHostsLearnTheServiceOfTheZone(t *testing.T) {
	const hosts = 25
	z := newZone(hosts)
	for i, c := range z.hosts {
		c.Charge(testTime, testTime, "a", float64(i))
	}
	for range 3 { // a host learns in its next call what those after it have reported
		for i := 1; i < hosts; i++ {
			z.exchange(testTime, i, 0)
		}
	}
	for i := range z.hosts {
		if got, want := z.counter(testTime, i, "a"), float64(hosts*(hosts-1)/2); !near(got, want) {
			t.Errorf("host %d: got counter %v, want %v", i, got, want)
		}
	}
}

// TestRepeatedReportCountsOnce guards against service that counts twice because the reply to its report was lost.
func TestRepeatedReportCountsOnce(t *testing.T) {
	z := newZone(2)
	z.hosts[1].Charge(testTime, testTime, "a", 100)
	z.hosts[0].Receive(testTime, 1, z.report(testTime, 1, 0))
	z.hosts[1].Charge(testTime, testTime, "a", 10)
	for range 3 {
		z.exchange(testTime, 1, 0)
	}
	for i := range z.hosts {
		if got, want := z.counter(testTime, i, "a"), 110.0; !near(got, want) {
			t.Errorf("host %d: got counter %v, want %v", i, got, want)
		}
	}
}

// TestRestartedHostReportsAgain guards against reports of a restarted host that are taken for repeated ones.
func TestRestartedHostReportsAgain(t *testing.T) {
	z := newZone(2)
	for range 3 {
		z.exchange(testTime, 1, 0)
	}
	z.hosts[1] = &Counters{}
	z.hosts[1].Charge(testTime, testTime, "a", 100)
	report := z.hosts[1].Report(testTime, "host-1", 77, "host-0")
	z.hosts[0].Receive(testTime, 1, report)
	if got, want := z.counter(testTime, 0, "a"), 100.0; !near(got, want) {
		t.Errorf("got counter %v, want %v", got, want)
	}
}

// TestNextRelayCountsNothingTwice guards against service that counts twice when another host becomes the relay: the old one
// then reports what it has told already, and the others what they have reported already.
func TestNextRelayCountsNothingTwice(t *testing.T) {
	z := newZone(3)
	for i, c := range z.hosts {
		c.Charge(testTime, testTime, "a", float64(100+i))
	}
	for range 2 {
		z.exchange(testTime, 1, 0)
		z.exchange(testTime, 2, 0)
	}
	for range 2 {
		z.exchange(testTime, 0, 1)
		z.exchange(testTime, 2, 1)
	}
	for i := range z.hosts {
		if got, want := z.counter(testTime, i, "a"), 303.0; !near(got, want) {
			t.Errorf("host %d: got counter %v, want %v", i, got, want)
		}
	}
}

// TestRestartedRelay guards against hosts that lower their counters, or get no more changes, after their relay was restarted.
func TestRestartedRelay(t *testing.T) {
	z := newZone(3)
	for range 50 {
		z.hosts[1].Charge(testTime, testTime, "a", 10)
		z.exchange(testTime, 1, 0)
		z.exchange(testTime, 2, 0)
	}
	z.hosts[0] = &Counters{}
	z.hosts[1].Charge(testTime, testTime, "b", 30)
	for range 3 { // the first call shows that the relay is another process
		for i := 1; i <= 2; i++ {
			report := z.report(testTime, i, 0)
			z.hosts[0].Receive(testTime, 99, report)
			z.hosts[i].Reported(testTime, z.hosts[0].Totals(testTime, 99, report))
		}
	}
	for workspace, want := range map[string]float64{"a": 500, "b": 30} {
		if got := z.counter(testTime, 2, workspace); !near(got, want) {
			t.Errorf("workspace %s: got counter %v, want %v", workspace, got, want)
		}
	}
}

// TestMessagesAreBounded guards against messages that grow with the number of workspaces, and against the busiest ones being
// left out of them.
func TestMessagesAreBounded(t *testing.T) {
	const workspaces = 10_000
	z := newZone(2)
	for i := range workspaces {
		z.hosts[1].Charge(testTime, testTime, fmt.Sprint("w-", i), float64(i+1))
	}
	for call := range 3 { // of which the first one tells the relay what the host knows
		report := z.report(testTime, 1, 0)
		z.hosts[0].Receive(testTime, 1, report)
		totals := z.hosts[0].Totals(testTime, 1, report)
		z.hosts[1].Reported(testTime, totals)
		for _, amounts := range [][]Amount{report.Amounts, report.Known, totals.Amounts} {
			if len(amounts) > MaxAmounts {
				t.Errorf("got a message of %d workspaces, want at most %d", len(amounts), MaxAmounts)
			}
		}
		busiest := fmt.Sprint("w-", workspaces-1-call*MaxAmounts)
		isBusiest := func(a Amount) bool { return a.Workspace == busiest }
		if !slices.ContainsFunc(report.Amounts, isBusiest) || !slices.ContainsFunc(totals.Amounts, isBusiest) {
			t.Errorf("call %d: got messages without %s, want the busiest workspaces that were not told", call, busiest)
		}
	}
}

// TestUnchangedWorkspacesAreNotSent guards against messages that repeat counters that did not change.
func TestUnchangedWorkspacesAreNotSent(t *testing.T) {
	z := newZone(3)
	z.hosts[1].Charge(testTime, testTime, "a", 10)
	z.hosts[1].Charge(testTime, testTime, "b", 10)
	for range 2 {
		z.exchange(testTime, 1, 0)
		z.exchange(testTime, 2, 0)
	}
	z.hosts[1].Charge(testTime, testTime, "b", 5)
	z.exchange(testTime, 1, 0)
	report := z.report(testTime, 2, 0)
	totals := z.hosts[0].Totals(testTime, 1, report)
	if len(report.Amounts) != 0 || len(totals.Amounts) != 1 || totals.Amounts[0].Workspace != "b" {
		t.Errorf("got report %v and totals %v, want an empty report and totals of b only", report.Amounts, totals.Amounts)
	}
}

// TestInvalidAmounts guards against counters that another host makes infinite or undefined, so that nobody or one workspace
// only is served.
func TestInvalidAmounts(t *testing.T) {
	for _, amount := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, -1e300} {
		var c Counters
		c.Charge(testTime, testTime, "a", 100)
		c.Receive(testTime, 7, &Report{From: "b", Run: 1, Number: 1, RelayRun: 7, Amounts: []Amount{{Workspace: "a", Service: amount}}})
		c.Report(testTime, "c", 1, "b")
		c.Reported(testTime, &Totals{Run: 1, Amounts: []Amount{{Workspace: "a", Service: amount}}})
		if got, want := c.Counter(testTime, c.Account(testTime, "a")), 100.0; got != want {
			t.Errorf("%v: got counter %v, want %v", amount, got, want)
		}
	}
}

// TestExchangeConverges is a fuzz of the exchange: service at random hosts, lost requests and replies, restarts of hosts and
// changes of the relay. It guards against service that counts more than once, which would hold a workspace back, and against
// counters that stay apart: without further losses all hosts end at the same counters, at most those of everything served,
// and with all of it if nothing was restarted.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(t, "hosts")
		z, now, relay := newZone(hosts), testTime, 0
		runs := make([]uint64, hosts)
		for i := range runs {
			runs[i] = uint64(1000 * (i + 1))
		}
		served := make(map[string]float64)
		lost := false
		call := func(host int, loss int) {
			if host == relay {
				return
			}
			report := z.hosts[host].Report(now, fmt.Sprint(host), runs[host], fmt.Sprint(relay))
			lost = lost || report.RelayRun == 0 && (loss == 1 || loss == 2) // counts as told
			if loss == 1 {
				return
			}
			z.hosts[relay].Receive(now, runs[relay], report)
			totals := z.hosts[relay].Totals(now, runs[relay], report)
			if loss != 2 {
				z.hosts[host].Reported(now, totals)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			host := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"serve", "serve", "serve", "call", "call", "restart", "relay"}).Draw(t, "action") {
			case "serve":
				workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
				amount := float64(rapid.IntRange(1, 1000).Draw(t, "amount"))
				z.hosts[host].Charge(now, now, workspace, amount)
				served[workspace] += amount
			case "call":
				call(host, rapid.IntRange(0, 3).Draw(t, "loss"))
			case "restart":
				if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
					z.hosts[host] = &Counters{}
					runs[host]++
					lost = true
				}
			case "relay":
				if next := rapid.IntRange(0, hosts-1).Draw(t, "next"); next != relay {
					relay, lost = next, true
				}
			}
		}
		for range 4 {
			for host := range hosts {
				call(host, 0)
			}
		}
		for workspace, most := range served {
			want := z.counter(now, relay, workspace)
			for host := range hosts {
				if got := z.counter(now, host, workspace); !near(got, want) {
					t.Fatalf("host %d, workspace %s: got counter %v, want %v as at the relay", host, workspace, got, want)
				}
			}
			if want > most+1e-6 {
				t.Fatalf("workspace %s: got counter %v, want at most the %v that were served", workspace, want, most)
			}
			if !lost && !near(want, most) {
				t.Fatalf("workspace %s: got counter %v, want %v", workspace, want, most)
			}
		}
	})
}

// BenchmarkExchange measures one call of a host to its relay, at the relay, while a tenth of the workspaces change between
// two calls of the host.
func BenchmarkExchange(b *testing.B) {
	for _, workspaces := range []int{16, 300, 10_000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			z := newZone(2)
			for i := range workspaces {
				z.hosts[0].Charge(testTime, testTime, fmt.Sprint("w-", i), float64(i+1))
			}
			z.exchange(testTime, 1, 0)
			for i := range b.N {
				b.StopTimer()
				for j := range workspaces / 10 {
					z.hosts[0].Charge(testTime, testTime, fmt.Sprint("w-", (i+j*10)%workspaces), 100)
				}
				report := z.report(testTime, 1, 0)
				b.StartTimer()
				z.hosts[0].Receive(testTime, 1, report)
				totals := z.hosts[0].Totals(testTime, 1, report)
				b.StopTimer()
				z.hosts[1].Reported(testTime, totals)
				b.StartTimer()
			}
		})
	}
}
