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

// Numbers of peers that soft state is passed on to.
const (
	exchangeFanout = 2 // live peers compared with in each round
	pushFanout     = 2 // live peers that news is pushed to
	gatewayCount   = 2 // entry hosts of a zone that compare with other zones in each round
	discoverEvery  = 5 // rounds between tries to reach listed but silent hosts
)

const gatewayKey = "gateway"

// peerRefused tells that nothing listens at a peer's address.
type peerRefused struct {
	name string
}

func (e peerRefused) apply(c *control, _ time.Time) { c.members.Refused(e.name) }

// beat raises the heartbeat and compares soft state with a few peers.
func (c *control) beat(now time.Time) {
	c.due.round++
	c.table.Expire(now)
	c.members.Forget(now)
	c.dropAbsent(now)
	c.members.Beat(c.owner.loads(now))
	c.publishSelf(now)
	for _, target := range c.exchangeTargets(now) {
		c.startExchange(target)
	}
}

// publishSelf makes the host's addresses known to its peers.
func (c *control) publishSelf(now time.Time) {
	minor := int64(0)
	if c.self.Leaving {
		minor = 1
	}
	c.put(now, gossip.Item{
		ID:    gossip.ItemID{Kind: gossip.KindHost, Key: c.self.Name},
		Rank:  gossip.Rank{Major: c.edge.metrics.startedAt.UnixMicro(), Minor: minor, Tie: string(c.self.Incarnation)},
		Value: c.encode(c.self),
	})
}

// put merges an item of the host's own.
func (c *control) put(now time.Time, item gossip.Item) {
	c.merge(now, []gossip.Item{item})
}

// exchangeTargets picks live peers of the zone, a silent one now and then, and a host of another zone on gateways.
func (c *control) exchangeTargets(now time.Time) []model.Peer {
	targets := sample(c.otherLive(now), exchangeFanout)
	if c.due.round%discoverEvery == 1 {
		targets = append(targets, sample(c.silentPeers(now), 1)...)
	}
	if c.isAmong(membership.Ranked(c.members.Staying(now), gatewayKey), gatewayCount) {
		targets = append(targets, sample(c.hosts.entryHostsElsewhere(c.self.Zone), 1)...)
	}
	return targets
}

// otherLive returns the live peers of the zone without the host itself.
func (c *control) otherLive(now time.Time) []model.Peer {
	var others []model.Peer
	for _, p := range c.members.Live(now) {
		if p.Name != c.self.Name {
			others = append(others, p)
		}
	}
	return others
}

// silentPeers returns the zone's entry hosts that the platform or the settings name and that are not heard.
func (c *control) silentPeers(now time.Time) []model.Peer {
	live := make(map[string]bool)
	for _, p := range c.members.Live(now) {
		live[p.Address] = true
	}
	var silent []model.Peer
	for _, p := range append(c.hosts.entryHosts(c.self.Zone), c.policy.seedPeers()...) {
		if !live[p.Address] {
			silent = append(silent, p)
		}
	}
	return silent
}

// isAmong reports whether the host is among the first count of the ranked ones.
func (c *control) isAmong(ranked []model.Peer, count int) bool {
	for _, p := range ranked[:min(count, len(ranked))] {
		if p.Name == c.self.Name {
			return true
		}
	}
	return false
}

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

// startExchange compares soft state with one peer.
func (c *control) startExchange(target model.Peer) {
	request := &peer.ExchangeRequest{Zone: c.self.Zone, Beats: c.members.BeatDigest(), Digest: c.table.Digest()}
	e := c.edge
	e.spawn(func(ctx context.Context) {
		reply, err := e.peers.Exchange(ctx, target.Address, request)
		if err != nil {
			e.reportRefused(target, err)
			return
		}
		e.post(ctx, exchangeReplied{target: target, reply: *reply})
	})
}

// exchangeReplied is a peer's answer to a comparison.
type exchangeReplied struct {
	target model.Peer
	reply  peer.ExchangeReply
}

func (e exchangeReplied) apply(c *control, now time.Time) {
	c.members.Hear(now, e.reply.Beats)
	var items []gossip.Item
	var want []gossip.ItemID
	if e.reply.Digest != nil {
		items, want = c.table.Reconcile(*e.reply.Digest, e.reply.Summaries)
	} else if len(c.configuration.records) > 0 {
		c.configuration.isKnown = true
	}
	beats := c.members.SelectBeats(e.reply.Wanted)
	if len(items) == 0 && len(want) == 0 && len(beats) == 0 {
		return
	}
	request := &peer.PushRequest{Zone: c.self.Zone, Beats: beats, Items: items, Want: want}
	edge := c.edge
	edge.spawn(func(ctx context.Context) {
		reply, err := edge.peers.Push(ctx, e.target.Address, request)
		if err != nil || len(reply.Items) == 0 {
			return
		}
		edge.post(ctx, itemsReceived{items: reply.Items})
	})
}

// itemsReceived holds items that a peer sent.
type itemsReceived struct {
	items []gossip.Item
}

func (e itemsReceived) apply(c *control, now time.Time) { c.merge(now, e.items) }

// merge keeps newer items and acts on them.
func (c *control) merge(now time.Time, items []gossip.Item) {
	accepted := c.table.Merge(now, c.admissible(items))
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
			c.introduce(now, item)
		case gossip.KindConfig:
			c.configuration.apply(c, now, item)
			isConfigurationNew = true
		}
	}
	if isConfigurationNew {
		c.applySources(now)
	}
}

// admissible drops records that are not valid, so that they are never passed on.
func (c *control) admissible(items []gossip.Item) []gossip.Item {
	var kept []gossip.Item
	for _, item := range items {
		if item.ID.Kind == gossip.KindConfig && !c.configuration.isValid(c, item) {
			continue
		}
		kept = append(kept, item)
	}
	return kept
}

func (c *control) introduce(now time.Time, item gossip.Item) {
	var p model.Peer
	if err := unmarshal(item.Value, &p); err != nil {
		c.log.Warn("peer not decoded", zap.String("Peer", item.ID.Key), zap.Error(err))
		return
	}
	c.members.Introduce(now, p)
}

// pushFresh passes news on to a few peers of the zone, and to one host of each other zone.
func (c *control) pushFresh(now time.Time) {
	items := c.table.TakeFresh()
	if len(items) == 0 {
		return
	}
	targets := sample(c.otherLive(now), pushFanout)
	if c.isAmong(membership.Ranked(c.members.Staying(now), gatewayKey), gatewayCount) {
		targets = append(targets, c.hosts.oneOfEachOtherZone(c.self.Zone)...)
	}
	c.edge.push(targets, items)
}
