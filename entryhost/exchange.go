package entryhost

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
)

// Numbers of peers that soft state is exchanged with.
const (
	exchangeFanout     = 2 // live peers to exchange with in each round
	pushFanout         = 2 // live peers that updates are pushed to
	crossZoneHostCount = 2 // entry hosts of a zone that exchange with other zones in each round
	discoveryRounds    = 5 // rounds between attempts to reach a host that is listed but not live
)

// crossZoneRankingKey is the key for ranking the hosts that exchange with other zones.
const crossZoneRankingKey = "gateway"

// peerConnectionRefused reports that a peer's address refused a connection.
type peerConnectionRefused struct {
	name string
}

func (e peerConnectionRefused) apply(c *control, _ time.Time) { c.members.Refused(e.name) }

// heartbeat increments the host's heartbeat, removes expired state and exchanges soft state with a few peers.
func (c *control) heartbeat(now time.Time) {
	c.lastRun.round++
	c.table.Expire(now)
	c.members.Forget(now)
	c.markAbsentPeers(now)
	c.members.IncrementHeartbeat(c.owner.loads(now))
	c.publishSelf(now)
	for _, target := range c.exchangeTargets(now) {
		c.startExchange(target)
	}
}

// publishSelf publishes the host's address, incarnation and whether it is leaving.
func (c *control) publishSelf(now time.Time) {
	minor := int64(0)
	if c.self.Leaving {
		minor = 1
	}
	c.put(now, gossip.Item{
		ID:    gossip.ItemID{Kind: gossip.KindHost, Key: c.self.Name},
		Rank:  gossip.Rank{Major: c.executor.metrics.startedAt.UnixMicro(), Minor: minor, Tie: string(c.self.Incarnation)},
		Value: c.encode(c.self),
	})
}

// put merges an item of this host into its soft state, from which it is pushed to peers.
func (c *control) put(now time.Time, item gossip.Item) {
	c.merge(now, []gossip.Item{item})
}

// exchangeTargets picks random live peers of the zone, in every discoveryRounds-th round also a missing peer,
// and on the crossZoneHostCount highest-ranked hosts also a host of another zone.
func (c *control) exchangeTargets(now time.Time) []model.Peer {
	targets := sample(c.otherLive(now), exchangeFanout)
	if c.lastRun.round%discoveryRounds == 1 {
		targets = append(targets, sample(c.missingPeers(now), 1)...)
	}
	if c.isAmongFirst(membership.Ranked(c.members.Staying(now), crossZoneRankingKey), crossZoneHostCount) {
		targets = append(targets, sample(c.hosts.entryHostsElsewhere(c.self.Zone), 1)...)
	}
	return targets
}

// otherLive returns the live peers of the zone other than this host.
func (c *control) otherLive(now time.Time) []model.Peer {
	var others []model.Peer
	for _, p := range c.members.Live(now) {
		if p.Name != c.self.Name {
			others = append(others, p)
		}
	}
	return others
}

// missingPeers returns the zone's entry hosts that the platform or the settings list but that are not live.
func (c *control) missingPeers(now time.Time) []model.Peer {
	live := make(map[string]bool)
	for _, p := range c.members.Live(now) {
		live[p.Address] = true
	}
	var missing []model.Peer
	for _, p := range append(c.hosts.entryHosts(c.self.Zone), c.policy.seedPeers()...) {
		if !live[p.Address] {
			missing = append(missing, p)
		}
	}
	return missing
}

// isAmongFirst reports whether this host is among the first count ranked peers.
func (c *control) isAmongFirst(ranked []model.Peer, count int) bool {
	for _, p := range ranked[:min(count, len(ranked))] {
		if p.Name == c.self.Name {
			return true
		}
	}
	return false
}

// sample returns up to count random peers.
func sample(peers []model.Peer, count int) []model.Peer {
	if len(peers) <= count {
		return peers
	}
	picked := make([]model.Peer, 0, count)
	for _, i := range rand.Perm(len(peers))[:count] {
		picked = append(picked, peers[i])
	}
	return picked
}

// startExchange sends a peer the digests of this host's soft state and heartbeats.
func (c *control) startExchange(target model.Peer) {
	request := &peer.ExchangeRequest{Zone: c.self.Zone, Beats: c.members.HeartbeatDigest(), Digest: c.table.Digest()}
	e := c.executor
	e.spawn(func(ctx context.Context) {
		reply, err := e.peers.Exchange(ctx, target.Address, request)
		if err != nil {
			e.reportConnectionRefused(target, err)
			return
		}
		e.post(ctx, exchangeReplied{target: target, reply: *reply})
	})
}

// exchangeReplied is a peer's reply to an exchange. The host responds by pushing what the peer lacks and requesting
// what it lacks itself.
type exchangeReplied struct {
	target model.Peer
	reply  peer.ExchangeReply
}

func (e exchangeReplied) apply(c *control, now time.Time) {
	c.members.Merge(now, e.reply.Beats)
	var items []gossip.Item
	var requested []gossip.ItemID
	if e.reply.Digest != nil {
		items, requested = c.table.Reconcile(*e.reply.Digest, e.reply.Summaries)
	} else if len(c.configuration.records) > 0 {
		c.configuration.isComplete = true
	}
	heartbeats := c.members.SelectHeartbeats(e.reply.Wanted)
	if len(items) == 0 && len(requested) == 0 && len(heartbeats) == 0 {
		return
	}
	request := &peer.PushRequest{Zone: c.self.Zone, Beats: heartbeats, Items: items, Want: requested}
	executor := c.executor
	executor.spawn(func(ctx context.Context) {
		reply, err := executor.peers.Push(ctx, e.target.Address, request)
		if err != nil || len(reply.Items) == 0 {
			return
		}
		executor.post(ctx, itemsReceived{items: reply.Items})
	})
}

// itemsReceived holds items that a peer sent.
type itemsReceived struct {
	items []gossip.Item
}

func (e itemsReceived) apply(c *control, now time.Time) { c.merge(now, e.items) }

// merge stores the items that are newer than the stored ones and applies them.
func (c *control) merge(now time.Time, items []gossip.Item) {
	accepted := c.table.Merge(now, c.dropInvalid(items))
	if len(accepted) == 0 {
		return
	}
	c.isSnapshotStale = true
	isConfigurationNew := false
	for _, item := range accepted {
		switch item.ID.Kind {
		case gossip.KindBackend, gossip.KindCheckpoints:
			c.backends.isStale = true
		case gossip.KindHost:
			c.addPeer(now, item)
		case gossip.KindConfig:
			c.configuration.apply(c, now, item)
			isConfigurationNew = true
		}
	}
	if isConfigurationNew {
		c.updateSources(now)
	}
}

// dropInvalid returns the items without invalid records, so that those are never sent to peers.
func (c *control) dropInvalid(items []gossip.Item) []gossip.Item {
	var valid []gossip.Item
	for _, item := range items {
		if item.ID.Kind == gossip.KindConfig && !c.configuration.isValid(c, item) {
			continue
		}
		valid = append(valid, item)
	}
	return valid
}

// addPeer adds the peer that a host item describes to the members.
func (c *control) addPeer(now time.Time, item gossip.Item) {
	var p model.Peer
	if err := unmarshal(item.Value, &p); err != nil {
		c.log.Warn("peer not decoded", zap.String("Peer", item.ID.Key), zap.Error(err))
		return
	}
	c.members.Introduce(now, p)
}

// pushUpdates pushes new items to a few peers of the zone, and on the crossZoneHostCount highest-ranked hosts also to one
// host of each other zone.
func (c *control) pushUpdates(now time.Time) {
	items := c.table.TakeFresh()
	if len(items) == 0 {
		return
	}
	targets := sample(c.otherLive(now), pushFanout)
	if c.isAmongFirst(membership.Ranked(c.members.Staying(now), crossZoneRankingKey), crossZoneHostCount) {
		targets = append(targets, c.hosts.randomHostPerOtherZone(c.self.Zone)...)
	}
	c.executor.push(targets, items)
}
