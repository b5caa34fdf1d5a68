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

// Periods of the control thread's tasks.
const (
	tickPeriod          = 50 * time.Millisecond
	heartbeatPeriod     = time.Second
	statusPeriod        = 50 * time.Millisecond
	usagePeriod         = time.Second
	snapshotPeriod      = 500 * time.Millisecond // when only the loads may have changed
	idleSnapshotPeriod  = 4 * time.Second        // when every backend server of the zone is idle
	minSnapshotInterval = 10 * time.Millisecond  // so that a burst of changes does not publish a snapshot for each
	pushPeriod          = 20 * time.Millisecond
	permitPeriod        = 200 * time.Millisecond
	standingPeriod      = 5 * time.Second
)

// eventQueueSize limits the events that wait for the control thread.
const eventQueueSize = 4096

// event is a message to the control thread, which alone calls apply.
type event interface {
	apply(c *control, now time.Time)
}

// control is the state of the control thread. No other goroutine reads or writes it.
type control struct {
	self     model.Peer
	executor *executor
	metrics  *metrics
	log      *zap.Logger
	policy   Policy

	table         *gossip.Table
	members       *membership.Members
	ledger        *ledger.Host
	leader        *placement.Leader
	permits       *placement.Permits
	configuration *configuration
	hosts         hostView
	backends      statusCache
	owner         *ownerState
	unsentQueries *pendingUnsentQueries
	liveness      liveness

	version         int64 // of the last published snapshot
	isSnapshotStale bool
	lastRun         lastRuns
}

// lastRuns holds when each periodic task last ran.
type lastRuns struct {
	heartbeat, status, usage, snapshot, push, permit, standing time.Time

	round int // number of heartbeats so far
}

// run applies events and runs periodic tasks until ctx ends.
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

// tick runs the periodic tasks that are due.
func (c *control) tick(now time.Time) {
	c.metrics.lastTick.Store(now.UnixNano())
	c.refreshLiveness(now)
	c.step(now, ledger.Tick{})
	c.decideLoads(now)
	c.ownerTick(now)
	if isDue(now, &c.lastRun.heartbeat, heartbeatPeriod) {
		c.heartbeat(now)
	}
	if isDue(now, &c.lastRun.status, statusPeriod) {
		c.publishStatus(now)
	}
	if isDue(now, &c.lastRun.permit, permitPeriod) {
		c.permitTick(now)
	}
	if isDue(now, &c.lastRun.standing, standingPeriod) {
		c.updateStanding(now)
	}
	if isDue(now, &c.lastRun.usage, usagePeriod) {
		c.reportUsage()
	}
}

// flush pushes new soft state to peers and publishes a snapshot, each when due.
func (c *control) flush(now time.Time) {
	if isDue(now, &c.lastRun.push, pushPeriod) {
		c.pushUpdates(now)
	}
	if c.isSnapshotDue(now) {
		c.lastRun.snapshot = now
		c.isSnapshotStale = false
		c.publishSnapshot(now)
	}
}

// isSnapshotDue reports whether to publish a snapshot: minSnapshotInterval after the last one when
// something changed, else after snapshotPeriod when backend servers report loads, or after idleSnapshotPeriod.
func (c *control) isSnapshotDue(now time.Time) bool {
	age := now.Sub(c.lastRun.snapshot)
	if c.isSnapshotStale {
		return age >= minSnapshotInterval
	}
	if age < snapshotPeriod {
		return false
	}
	return age >= idleSnapshotPeriod || c.members.HasLoads()
}

// isDue reports whether period has passed since last. If so, it sets last to now.
func isDue(now time.Time, last *time.Time, period time.Duration) bool {
	if now.Sub(*last) < period {
		return false
	}
	*last = now
	return true
}

// liveness is the view of peers that was last sent to the ledger.
type liveness struct {
	live    []model.Peer
	stopped []model.Incarnation // known not to run any more
}

// refreshLiveness notifies the ledger when peers joined, left or stopped.
func (c *control) refreshLiveness(now time.Time) {
	live, stopped := c.members.Live(now), c.members.Stopped()
	if samePeers(live, c.liveness.live) && len(stopped) == len(c.liveness.stopped) {
		return
	}
	c.liveness = liveness{live: live, stopped: stopped}
	c.log.Info("peers changed", zap.Int("Live", len(live)), zap.Int("Dead", len(stopped)))
	c.step(now, ledger.PeersChanged{Peers: live, Stopped: stopped})
	c.assign(now)
	c.updateSources(now)
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

// assign sends the ledger the entry host that should own each backend server of the zone. It does nothing until the
// platform lists this host, because peers treat a host that is not listed as stopped.
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
