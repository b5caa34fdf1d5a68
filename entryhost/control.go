package entryhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/placement"
)

// Periods of the control thread's work.
const (
	tickPeriod     = 50 * time.Millisecond
	beatPeriod     = time.Second
	statusPeriod   = 50 * time.Millisecond
	usagePeriod    = time.Second
	snapshotPeriod = 500 * time.Millisecond // of new loads alone
	idlePeriod     = 4 * time.Second        // when there are no loads
	snapshotPause  = 10 * time.Millisecond  // between two snapshots
	pushPeriod     = 20 * time.Millisecond
	permitPeriod   = 200 * time.Millisecond
	standingPeriod = 5 * time.Second
)

// eventCapacity bounds the events that wait for the control thread.
const eventCapacity = 4096

// event is something that the control thread is told. Only the control thread calls apply.
type event interface {
	apply(c *control, now time.Time)
}

// control is the state of the one control thread. No other thread reads or writes it.
type control struct {
	self    model.Peer
	edge    *edge
	metrics *metrics
	log     *zap.Logger
	policy  Policy

	table         *gossip.Table
	members       *membership.Members
	ledger        *ledger.Host
	lead          *placement.Lead
	permits       *placement.Permits
	configuration *configuration
	hosts         hostView
	backends      statusCache
	owner         *ownerState
	asks          *pendingAsks
	liveness      liveness

	version         int64 // of the snapshot
	isSnapshotStale bool
	due             schedule
}

// schedule holds when each periodic work was last done.
type schedule struct {
	beat, status, usage, snapshot, push, permit, standing time.Time

	round int
}

// run applies events until ctx ends.
func (c *control) run(ctx context.Context, events <-chan event) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-events:
			e.apply(c, time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.flush(time.Now())
	}
}

// tick does the periodic work that is due.
func (c *control) tick(now time.Time) {
	c.metrics.controlAlive.Store(now.UnixNano())
	c.refreshLiveness(now)
	c.step(now, ledger.Tick{})
	c.decideLoads(now)
	c.ownerTick(now)
	if isDue(now, &c.due.beat, beatPeriod) {
		c.beat(now)
	}
	if isDue(now, &c.due.status, statusPeriod) {
		c.publishStatus(now)
	}
	if isDue(now, &c.due.permit, permitPeriod) {
		c.permitTick(now)
	}
	if isDue(now, &c.due.standing, standingPeriod) {
		c.updateStanding(now)
	}
	if isDue(now, &c.due.usage, usagePeriod) {
		c.reportUsage()
	}
}

// flush passes on what the last event changed.
func (c *control) flush(now time.Time) {
	if isDue(now, &c.due.push, pushPeriod) {
		c.pushFresh(now)
	}
	if c.isSnapshotDue(now) {
		c.due.snapshot = now
		c.isSnapshotStale = false
		c.publishSnapshot(now)
	}
}

// isSnapshotDue reports whether the routers need a new snapshot: soon after a change,
// now and then for new loads, and rarely when every backend server is idle.
func (c *control) isSnapshotDue(now time.Time) bool {
	age := now.Sub(c.due.snapshot)
	if c.isSnapshotStale {
		return age >= snapshotPause
	}
	if age < snapshotPeriod {
		return false
	}
	return age >= idlePeriod || c.members.HasLoads()
}

// isDue reports whether period has passed since last, and then sets last.
func isDue(now time.Time, last *time.Time, period time.Duration) bool {
	if now.Sub(*last) < period {
		return false
	}
	*last = now
	return true
}

// liveness is the last view of peers that the ledger was told.
type liveness struct {
	live []model.Peer
	dead []model.Incarnation
}

// refreshLiveness tells the ledger when peers came, left or died.
func (c *control) refreshLiveness(now time.Time) {
	live, dead := c.members.Live(now), c.members.Dead()
	if samePeers(live, c.liveness.live) && len(dead) == len(c.liveness.dead) {
		return
	}
	c.liveness = liveness{live: live, dead: dead}
	c.log.Info("peers changed", zap.Int("Live", len(live)), zap.Int("Dead", len(dead)))
	c.step(now, ledger.PeersChanged{Peers: live, Dead: dead})
	c.assign(now)
	c.applySources(now)
}

func samePeers(a, b []model.Peer) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Incarnation != b[i].Incarnation || a[i].Leaving != b[i].Leaving {
			return false
		}
	}
	return true
}

// assign tells the ledger who should own each backend server of the zone, once the platform lists this host:
// others take a host that is not listed for dead.
func (c *control) assign(now time.Time) {
	if _, listed := c.hosts.find(c.self.Name); !listed {
		return
	}
	staying := c.members.Staying(now)
	if len(staying) == 0 {
		return
	}
	var assignments []ledger.Assignment
	for _, a := range membership.Assign(staying, c.hosts.backendNames(c.self.Zone)) {
		assignments = append(assignments, ledger.Assignment{Backend: a.Backend, Owner: a.Owner})
	}
	c.step(now, ledger.BackendsChanged{Backends: assignments})
}
