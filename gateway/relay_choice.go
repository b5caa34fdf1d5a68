package gateway

import (
	"slices"
	"time"
)

// Timing and limits of the choice of a relay.
const (
	// staleRelayPause and silentRelayPause are how long a relay is passed over after it replied that it is not fresh, or
	// did not reply. They double with each further failure, up to maxRelayPause.
	staleRelayPause  = 1500 * time.Millisecond
	silentRelayPause = 3 * time.Second
	maxRelayPause    = 6 * time.Second
	// maxRelayCandidates bounds the hosts of a zone that may become its relay, and with them the hosts that call a store
	// that is down.
	maxRelayCandidates = 4
	// maxRelayFailures is how many relays a host of a large zone tries in a row before it watches the store itself. In a
	// small zone it does so after the first one.
	maxRelayFailures = 2
	// relayDuty is how long a host watches the store after another host last followed it.
	relayDuty = 3 * time.Second
	// minRelayRetry and maxRelayRetry bound the pause of a relay whose watch failed, such as by a connection that was reset.
	minRelayRetry = 50 * time.Millisecond
	maxRelayRetry = time.Second
	// minDirectPause and maxDirectPause bound the pause between two watches of a host that finds no relay. In between it
	// grows by directPausePerHost with the zone, so that a zone that has lost its relays makes some 25 calls a second.
	minDirectPause     = 250 * time.Millisecond
	maxDirectPause     = 2500 * time.Millisecond
	directPausePerHost = 40 * time.Millisecond
	// catchUpPause is the longest pause after a watch that succeeded.
	catchUpPause = time.Second
)

// relayChoice decides whether a host watches the store itself or follows another host of its zone. The first host in
// the order of the zone watches; the others follow it, and the next one in the order if it fails. A host that is followed
// although it is not the first watches the store as long as it is.
type relayChoice struct {
	failures    map[string]relayFailure // by peer address
	inRow       int                     // failed relays since the last success
	good        string                  // relay that last replied with fresh changes
	behind      bool                    // the relay no longer has the changes that this host lacks
	followedAt  time.Time               // when another host last asked this one for changes
	directAt    time.Time               // no watch for lack of a relay before this time
	directPause time.Duration
}

// relayFailure describes the failures of a relay since it last replied with fresh changes.
type relayFailure struct {
	count int
	until time.Time
}

// source is where a host gets the changes of the store from.
type source struct {
	relay   string        // peer address of the relay; empty for the store
	probe   bool          // the relay has not replied to the last call to it, or was not called before
	follow  time.Duration // wait of the call to the relay
	catchUp bool          // a single watch for lack of a relay, which does not wait for changes
	wait    time.Duration // there is no source before this time has passed
}

// zoneOrder is the order of a zone's relays as this host knows it.
type zoneOrder struct {
	others []string // peer addresses of the first maxRelayCandidates hosts other than this one
	first  bool     // no other host precedes this one
	hosts  int      // number of hosts of the zone, this one included
}

// maxPause returns the longest pause between two watches of a host of the zone that finds no relay.
func (o zoneOrder) maxPause() time.Duration {
	return min(max(time.Duration(o.hosts)*directPausePerHost, minDirectPause), maxDirectPause)
}

// isSmall reports whether all hosts of the zone may watch the store at the same time.
func (o zoneOrder) isSmall() bool { return o.maxPause() <= minDirectPause }

// followWait returns the wait of a call to a relay that is known to reply.
func (o zoneOrder) followWait() time.Duration {
	if o.isSmall() {
		return smallZoneFollowWait
	}
	return watchWait
}

// maxFailures returns how many relays a host of the zone tries in a row before it watches the store itself.
func (o zoneOrder) maxFailures() int {
	if o.isSmall() {
		return 1
	}
	return maxRelayFailures
}

// isRelay reports whether this host watches the store for others.
func (c *relayChoice) isRelay(now time.Time, order zoneOrder) bool {
	return order.first || !c.followedAt.IsZero() && now.Sub(c.followedAt) < relayDuty
}

// choose returns the source of the next changes. stale reports whether the store has not responded to this host for
// longer than maxRelayAge. A relay that does not reach the store follows other hosts between its attempts.
func (c *relayChoice) choose(now time.Time, order zoneOrder, stale bool) source {
	mayWatch := !now.Before(c.directAt)
	if c.isRelay(now, order) && mayWatch {
		return source{}
	}
	if c.isRelay(now, order) && !stale {
		return source{wait: c.directAt.Sub(now)}
	}
	if c.inRow > 0 && !c.behind && slices.Contains(order.others, c.good) && !now.Before(c.failures[c.good].until) {
		return c.following(order, c.good)
	}
	if !c.isRelay(now, order) && mayWatch && (c.behind || c.inRow >= order.maxFailures()) {
		return source{catchUp: true}
	}
	earliest := c.directAt
	if !c.behind {
		for _, address := range order.others {
			f := c.failures[address]
			if !now.Before(f.until) {
				return c.following(order, address)
			}
			if f.until.Before(earliest) {
				earliest = f.until
			}
		}
	}
	if mayWatch {
		return source{catchUp: true}
	}
	return source{wait: earliest.Sub(now)}
}

// following returns a relay as the source.
func (c *relayChoice) following(order zoneOrder, address string) source {
	if address != c.good || c.failures[address].count > 0 {
		return source{relay: address, probe: true, follow: probeWait}
	}
	return source{relay: address, follow: order.followWait()}
}

// failed records that a relay did not reply, or replied that it is not fresh.
func (c *relayChoice) failed(now time.Time, address string, replied bool) {
	if c.failures == nil {
		c.failures = make(map[string]relayFailure)
	}
	f := c.failures[address]
	pause := silentRelayPause
	if replied {
		pause = staleRelayPause
	}
	f.until = now.Add(min(pause<<min(f.count, 4), maxRelayPause))
	f.count++
	c.failures[address] = f
	c.inRow++
}

// followed records that a relay replied with fresh changes, or that it is fresh but no longer has all of them.
func (c *relayChoice) followed(address string, behind bool) {
	delete(c.failures, address)
	c.good = address
	c.inRow, c.behind, c.directPause = 0, behind, 0
}

// watched records the outcome of a watch of the store, as the relay of the zone or for lack of one.
func (c *relayChoice) watched(now time.Time, order zoneOrder, relay, succeeded bool) {
	switch {
	case succeeded && relay:
		c.inRow, c.behind, c.directPause = 0, false, 0
	case succeeded:
		c.inRow, c.behind, c.directPause = 0, false, min(order.maxPause(), catchUpPause)
	case relay:
		c.directPause = min(max(minRelayRetry, 2*c.directPause), maxRelayRetry)
	default:
		c.directPause = min(max(order.maxPause()*2/5, 2*c.directPause), order.maxPause())
	}
	c.directAt = now.Add(c.directPause)
}

// follow records that another host asked this one for changes.
func (c *relayChoice) follow(now time.Time) { c.followedAt = now }
