package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MaxAmounts bounds the workspaces of one message. A message is then below 2 KB.
const MaxAmounts = 48

// maxAmount bounds an amount that another host states. It is far above what a fleet serves within the memory, and keeps sums
// finite.
const maxAmount = 1e15

// Amount is service of a workspace, as it is left at the time of the message.
type Amount struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Service   float64
}

// Report is what a host reports to the relay of its zone: what it has served since its last report, the workspaces with the
// largest amounts first if there are more than MaxAmounts.
type Report struct {
	From    string
	Run     uint64 // of the reporting process
	Number  int64  // of the report, which is sent again under the same number until the relay has replied
	Amounts []Amount
	// Known is what the host knows to be served in the zone without Amounts, the most served first. It is part of the first
	// report to a process of a relay.
	Known    []Amount `cbor:",omitempty"`
	RelayRun uint64   // the relay's process, 0 in the first report to it
	After    int64    // the relay returns what has changed since this sequence number
}

// Totals is the relay's reply to a Report: the service of the whole zone to workspaces for which it has changed, those with
// the most service first if there are more than MaxAmounts.
type Totals struct {
	Run      uint64 // of the relay's process
	Sequence int64
	Amounts  []Amount
}

// reports is the state of a host that reports to a relay.
type reports struct {
	relay    string // to which the latest report was sent
	run      uint64 // of its process, 0 if it has not replied to a first report
	after    int64  // its sequence number
	number   int64  // of the latest report
	inFlight []sentAmount
}

// sentAmount is a scaled amount of a report without a reply.
type sentAmount struct {
	account *Account
	scaled  float64
}

func (r *reports) rebase(factor float64) {
	for i := range r.inFlight {
		r.inFlight[i].scaled *= factor
	}
}

// restart lets the next report be the first one to a process. What a relay may have received counts as told: rather a part of
// the service is lost than counted twice.
func (r *reports) restart() {
	r.settle()
	r.run, r.after = 0, 0
}

// settle records that the relay was told of the amounts in flight.
func (r *reports) settle() {
	for _, s := range r.inFlight {
		s.account.pending -= s.scaled
	}
	r.inFlight = nil
}

// relay is the state of a host to which others report.
type relay struct {
	followers map[string]follower // by name
}

// follower is the latest report of a host.
type follower struct {
	run        uint64
	number     int64
	reportedAt time.Time
}

// expire forgets the followers that have not reported for some time.
func (r *relay) expire(now time.Time, after time.Duration) {
	for name, f := range r.followers {
		if now.Sub(f.reportedAt) > after {
			delete(r.followers, name)
		}
	}
}

// Report returns the next report to a relay.
func (c *Counters) Report(now time.Time, from string, run uint64, relay string) *Report {
	c.rebase(now)
	r := &c.reports
	if r.relay != relay {
		r.relay = relay
		r.restart()
	}
	scale := c.scale(now)
	report := &Report{From: from, Run: run, RelayRun: r.run, After: r.after}
	if r.run == 0 {
		r.restart() // a first report without a reply may have reached another process
		known := func(a *Account) float64 { return a.used - a.pending }
		for _, a := range c.largest(MaxAmounts, known) {
			report.Known = append(report.Known, Amount{Workspace: a.Workspace, Service: known(a) / scale})
		}
	}
	if r.inFlight == nil {
		r.number++
		for _, a := range c.largest(MaxAmounts, func(a *Account) float64 { return math.Abs(a.pending) }) {
			r.inFlight = append(r.inFlight, sentAmount{account: a, scaled: a.pending})
		}
	}
	for _, s := range r.inFlight {
		report.Amounts = append(report.Amounts, Amount{Workspace: s.account.Workspace, Service: s.scaled / scale})
	}
	report.Number = r.number
	return report
}

// largest collects the accounts with the largest amounts, in descending order.
type largest struct {
	amount   func(a *Account) float64
	count    int
	accounts []*Account
}

func (l *largest) add(a *Account) {
	if len(l.accounts) == l.count {
		if l.compare(l.accounts[l.count-1], a) < 0 {
			return
		}
		l.accounts = l.accounts[:l.count-1]
	}
	at, _ := slices.BinarySearchFunc(l.accounts, a, l.compare)
	l.accounts = slices.Insert(l.accounts, at, a)
}

func (l *largest) compare(a, b *Account) int {
	if order := cmp.Compare(l.amount(b), l.amount(a)); order != 0 {
		return order
	}
	return cmp.Compare(a.Workspace, b.Workspace)
}

// largest returns the accounts with the largest amounts above 0.
func (c *Counters) largest(count int, amount func(a *Account) float64) []*Account {
	found := largest{amount: amount, count: count}
	for _, a := range c.accounts {
		if amount(a) > 0 {
			found.add(a)
		}
	}
	return found.accounts
}

// Reported applies the relay's reply to the latest report.
func (c *Counters) Reported(now time.Time, totals *Totals) {
	c.rebase(now)
	r := &c.reports
	if r.run != 0 && r.run != totals.Run {
		r.restart() // the relay is another process, which has ignored the report
		return
	}
	r.settle()
	r.run, r.after = totals.Run, totals.Sequence
	c.learn(now, totals.Amounts)
}

// learn applies what another host knows to be served in the zone. It lacks what no other host was told. If it is lower
// otherwise, the other host knows less than this one.
func (c *Counters) learn(now time.Time, amounts []Amount) {
	scale := c.scale(now)
	for _, t := range amounts {
		if !isValid(t.Service) {
			continue
		}
		a := c.Account(now, t.Workspace)
		if news := t.Service*scale - (a.used - a.pending); news > 0 {
			a.activeAt = now
			c.merge(a, news)
		}
	}
}

// Receive adds a report of another host to the relay, whose process has the given number. A report that was received before,
// or that is an addition for another process, is ignored.
func (c *Counters) Receive(now time.Time, run uint64, report *Report) {
	c.rebase(now)
	c.reports.restart() // other hosts may know what is in flight, and their reports include it
	f, known := c.relay.followers[report.From]
	isRepeated := known && f.run == report.Run && report.Number <= f.number
	if c.relay.followers == nil {
		c.relay.followers = make(map[string]follower)
	}
	c.relay.followers[report.From] = follower{run: report.Run, number: report.Number, reportedAt: now}
	if isRepeated || report.RelayRun != 0 && report.RelayRun != run {
		return
	}
	c.learn(now, report.Known)
	scale := c.scale(now)
	for _, r := range report.Amounts {
		if !isValid(r.Service) {
			continue
		}
		a := c.Account(now, r.Workspace)
		a.activeAt = now
		c.merge(a, r.Service*scale)
	}
}

// Totals returns the reply to a report, after Receive. What was told so needs no report to another host.
func (c *Counters) Totals(now time.Time, run uint64, report *Report) *Totals {
	c.rebase(now)
	after := report.After
	if report.RelayRun != run {
		after = 0
	}
	totals := &Totals{Run: run, Sequence: c.sequence}
	changed := largest{amount: func(a *Account) float64 { return a.used }, count: MaxAmounts}
	for e := c.changes.Front(); e != nil; e = e.Next() {
		a := e.Value.(*Account)
		if a.changed <= after {
			break
		}
		changed.add(a)
	}
	scale := c.scale(now)
	for _, a := range changed.accounts {
		totals.Amounts = append(totals.Amounts, Amount{Workspace: a.Workspace, Service: a.used / scale})
		a.pending = 0
	}
	return totals
}

// isValid reports whether an amount of another host may be used. NaN is not.
func isValid(service float64) bool { return math.Abs(service) <= maxAmount }

// Busiest returns the counters of the workspaces with the most service, at most the given number.
func (c *Counters) Busiest(now time.Time, count int) []Amount {
	c.rebase(now)
	var amounts []Amount
	for _, a := range c.largest(count, func(a *Account) float64 { return a.used }) {
		if a.Workspace != "" {
			amounts = append(amounts, Amount{Workspace: a.Workspace, Service: c.Counter(now, a)})
		}
	}
	return amounts
}

// Len returns the number of workspaces with service that counts.
func (c *Counters) Len() int { return c.named }
