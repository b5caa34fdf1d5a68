package gateway

import "time"

// Timing and limits of the choice of a relay.
const (
	// staleRelayPause and silentRelayPause are how long a relay is passed over after it replied that it is not fresh, or
	// did not reply. They double with each further failure, up to maxRelayPause.
	staleRelayPause  = 1500 * time.Millisecond
	silentRelayPause = 5 * time.Second
	maxRelayPause    = 12 * time.Second
	// maxRelayCandidates bounds the hosts of a zone that may become its relay, and with them the hosts that call a store
	// that is down.
	maxRelayCandidates = 4
	// maxRelayFailures is how many relays a host tries in a row before it watches the store itself.
	maxRelayFailures = 2
	// relayDuty is how long a host watches the store after another host last followed it.
	relayDuty = 3 * time.Second
	// minDirectPause and maxDirectPause bound the pause between two watches of a host that finds no relay. They keep the
	// calls of a large zone that has lost its relays within the store's rate.
	minDirectPause = time.Second
	maxDirectPause = 4 * time.Second
)

// relayChoice decides whether a host watches the store itself or follows another host of its zone. The first host in
// the order of the zone watches; the others follow it, and the next one in the order if it fails. A host that is followed
// although it is not the first watches the store as long as it is.
type relayChoice struct {
	failures    map[string]relayFailure // by peer address
	inRow       int                     // failed relays since the last success
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
	catchUp bool          // a single watch for lack of a relay, which does not wait for changes
	wait    time.Duration // there is no source before this time has passed
}

// choose returns the source of the next changes. ahead holds the peer addresses of the hosts that precede this one.
func (c *relayChoice) choose(now time.Time, ahead []string) source {
	if len(ahead) == 0 || !c.followedAt.IsZero() && now.Sub(c.followedAt) < relayDuty {
		return source{}
	}
	if wait := c.directAt.Sub(now); c.behind && wait > 0 {
		return source{wait: wait}
	}
	if c.behind || c.inRow >= maxRelayFailures && !now.Before(c.directAt) {
		return source{catchUp: true}
	}
	var earliest time.Time
	for _, address := range ahead[:min(len(ahead), maxRelayCandidates)] {
		f := c.failures[address]
		if !now.Before(f.until) {
			return source{relay: address}
		}
		if earliest.IsZero() || f.until.Before(earliest) {
			earliest = f.until
		}
	}
	if !now.Before(c.directAt) {
		return source{catchUp: true}
	}
	if c.directAt.Before(earliest) {
		earliest = c.directAt
	}
	return source{wait: earliest.Sub(now)}
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
	c.inRow, c.behind, c.directPause = 0, behind, 0
}

// watched records the outcome of a watch for lack of a relay.
func (c *relayChoice) watched(now time.Time, succeeded bool) {
	if succeeded {
		c.inRow, c.behind, c.directPause = 0, false, minDirectPause
	} else {
		c.directPause = min(max(minDirectPause, 2*c.directPause), maxDirectPause)
	}
	c.directAt = now.Add(c.directPause)
}

// follow records that another host asked this one for changes.
func (c *relayChoice) follow(now time.Time) { c.followedAt = now }
