// Package fairshare counts what each workspace is served and tells whose turn it is when capacity is short.
//
// The counters are virtual token counters (Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024): each
// workspace is charged for the tokens of its prompts and, with a higher weight, for those of its responses, and the
// workspace with the lowest counter is served next. The package makes decisions only. It has no sockets and no clock, and
// its types are not safe for concurrent use.
package fairshare

import (
	"container/list"
	"math"
	"time"
)

const (
	// PromptWeight and OutputWeight are the service of one token of a prompt and of a response. An output token occupies a
	// place of a batch for a whole step, while the tokens of a prompt are read together. Prices of public services differ by
	// factors of 2 to 4, and the paper uses 2.
	PromptWeight = 1
	OutputWeight = 2
	// DefaultMemory is the time constant with which past service loses weight. It is five times the longest time that
	// counters of other hosts usually take to arrive, and bounds how long a workspace can pay for what it was served before.
	DefaultMemory = 10 * time.Second
	// idleAfter is the time without requests or service in the zone from which a workspace counts as idle. Service at other
	// hosts is learned up to about two seconds late.
	idleAfter = 2 * time.Second
	// maxExponent is the age of the epoch, in units of the memory, from which the counters are rebased. e^20 loses no
	// precision that matters.
	maxExponent = 20
	// pruneAfter is the time, in units of the memory, after which an account without any service is dropped. Less than
	// 1 in 20,000 of its counter is left.
	pruneAfter = 10
)

// Cost returns the service of a request with the given numbers of tokens.
func Cost(promptTokens, outputTokens int) float64 {
	return PromptWeight*float64(promptTokens) + OutputWeight*float64(outputTokens)
}

// Account is the service of one workspace as this host knows it. All amounts are scaled, see Counters.scale.
type Account struct {
	Workspace string

	level     float64 // the counter: service with past service aged, raised when the workspace was idle
	used      float64 // aged service at all hosts of the zone that this host knows of
	pending   float64 // the part of used that was served here and that no other host was told of
	rank      int     // priority of the request that began to wait last
	waiting   int     // requests that wait at this host
	index     int     // in Counters.waiting
	activeAt  time.Time
	refusedAt time.Time     // when a request was last refused here for lack of capacity
	changed   int64         // sequence number of the last change of used
	element   *list.Element // in Counters.changes, nil before the first change
}

// isOwed reports whether the workspace keeps the difference of its counter to those of the others although none of its
// requests waits here: it has been refused service lately, and goes on to request it, here or at other hosts of the zone.
func (a *Account) isOwed(now time.Time, memory time.Duration) bool {
	wasRefused := !a.refusedAt.IsZero() && now.Sub(a.refusedAt) < memory
	return wasRefused && now.Sub(a.activeAt) < idleAfter
}

// IsBehind reports whether another workspace is served before this one.
func (a *Account) IsBehind(other *Account) bool { return other.level < a.level }

// Level returns the counter in scaled units, to compare accounts of one Counters.
func (a *Account) Level() float64 { return a.level }

// Counters holds the accounts of a host. The zero value is ready to use.
//
// Past service loses weight exponentially. Instead of reducing all counters all the time, later service is counted with a
// higher weight (forward decay, Cormode et al., ICDE 2009), so that the order of two counters changes only when one of the
// workspaces is served.
type Counters struct {
	Memory time.Duration // 0 for DefaultMemory

	accounts  map[string]*Account
	waiting   []*Account // with waiting requests, in no order
	named     int        // accounts with the name of a workspace
	epoch     time.Time
	reference map[int]float64 // by rank: the counter of the workspace that was served last, before it was charged
	sequence  int64
	changes   list.List // of *Account, the last changed one first

	reports reports
	relay   relay
}

// Account returns the account of a workspace. The empty name stands for requests without a workspace.
func (c *Counters) Account(now time.Time, workspace string) *Account {
	c.rebase(now)
	a := c.accounts[workspace]
	if a == nil {
		if c.accounts == nil {
			c.accounts = make(map[string]*Account)
		}
		a = &Account{Workspace: workspace, activeAt: now}
		c.accounts[workspace] = a
		if workspace != "" {
			c.named++
		}
	}
	return a
}

// HasWorkspaces reports whether any request had a workspace lately.
func (c *Counters) HasWorkspaces() bool { return c.named > 0 }

// Join records that a request of the workspace begins to wait at this host. If none of it waited here and it is not owed
// service, its counter is raised to the lowest one that waits with the same rank, or else to that of the workspace that was
// served last. So no workspace can save up credit, and none is held back for what it was served while nobody else wanted it.
func (c *Counters) Join(now time.Time, a *Account, rank int) {
	c.rebase(now)
	if a.waiting == 0 {
		if !a.isOwed(now, c.memory()) {
			a.level = max(a.level, c.floor(rank))
		}
		a.index = len(c.waiting)
		c.waiting = append(c.waiting, a)
	}
	a.rank, a.activeAt = rank, now
	a.waiting++
}

// Leave records that a request of the workspace no longer waits.
func (c *Counters) Leave(now time.Time, a *Account) {
	a.activeAt = now
	a.waiting--
	if a.waiting > 0 {
		return
	}
	last := c.waiting[len(c.waiting)-1]
	c.waiting[a.index], last.index = last, a.index
	c.waiting = c.waiting[:len(c.waiting)-1]
}

// Refuse records that a request of the workspace is refused for lack of capacity.
func (c *Counters) Refuse(now time.Time, a *Account) { a.refusedAt = now }

// Serve charges the workspace for a request that is sent now, with the service that is expected.
func (c *Counters) Serve(now time.Time, a *Account, rank int, amount float64) {
	c.rebase(now)
	if c.reference == nil {
		c.reference = make(map[int]float64)
	}
	c.reference[rank] = a.level
	a.activeAt = now
	c.add(a, amount*c.scale(now))
}

// Charge corrects the charge for service of the given time by an amount, which is negative for service that was charged in
// advance and not received.
func (c *Counters) Charge(now, servedAt time.Time, workspace string, amount float64) {
	a := c.Account(now, workspace)
	c.add(a, amount*c.scale(servedAt))
}

// Counter returns the counter of an account as service that is left at the given time.
func (c *Counters) Counter(now time.Time, a *Account) float64 { return a.level / c.scale(now) }

// Lowest returns the lowest counter of the workspaces with waiting requests of the rank, and false if there are none.
func (c *Counters) Lowest(now time.Time, rank int) (float64, bool) {
	lowest, found := c.lowest(rank)
	return lowest / c.scale(now), found
}

// Scale returns the factor from service at the given time to the scaled units of Account.Level.
func (c *Counters) Scale(now time.Time) float64 {
	c.rebase(now)
	return c.scale(now)
}

// add charges a scaled amount for service at this host.
func (c *Counters) add(a *Account, scaled float64) {
	c.merge(a, scaled)
	a.pending += scaled
}

// merge charges a scaled amount for service at any host.
func (c *Counters) merge(a *Account, scaled float64) {
	a.level = max(0, a.level+scaled)
	a.used = max(0, a.used+scaled)
	c.sequence++
	a.changed = c.sequence
	if a.element == nil {
		a.element = c.changes.PushFront(a)
	} else {
		c.changes.MoveToFront(a.element)
	}
}

func (c *Counters) floor(rank int) float64 {
	if lowest, found := c.lowest(rank); found {
		return lowest
	}
	return c.reference[rank]
}

func (c *Counters) lowest(rank int) (lowest float64, found bool) {
	for _, a := range c.waiting {
		if a.rank == rank && (!found || a.level < lowest) {
			lowest, found = a.level, true
		}
	}
	return lowest, found
}

func (c *Counters) memory() time.Duration {
	if c.Memory > 0 {
		return c.Memory
	}
	return DefaultMemory
}

// scale returns the weight of service at the given time in relation to that at the epoch.
func (c *Counters) scale(at time.Time) float64 {
	return math.Exp(float64(at.Sub(c.epoch)) / float64(c.memory()))
}

// rebase moves the epoch forward before the weights grow too large, and drops the accounts whose service has aged.
func (c *Counters) rebase(now time.Time) {
	if c.epoch.IsZero() {
		c.epoch = now
		return
	}
	if now.Sub(c.epoch) <= maxExponent*c.memory() {
		return
	}
	factor := 1 / c.scale(now)
	c.epoch = now
	for _, a := range c.accounts {
		if a.waiting == 0 && now.Sub(a.activeAt) > pruneAfter*c.memory() {
			c.remove(a)
			continue
		}
		a.level *= factor
		a.used *= factor
		a.pending *= factor
	}
	for rank := range c.reference {
		c.reference[rank] *= factor
	}
	c.reports.rebase(factor)
	c.relay.expire(now, pruneAfter*c.memory())
}

// remove drops an account.
func (c *Counters) remove(a *Account) {
	delete(c.accounts, a.Workspace)
	if a.element != nil {
		c.changes.Remove(a.element)
		a.element = nil
	}
	if a.Workspace != "" {
		c.named--
	}
}
