package entryhost

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/model"
	"citronspread/peer"
)

// Times of reading the host list.
const (
	hostsTimeout = 20 * time.Second
	hostsRetry   = 500 * time.Millisecond
	absenceTime  = 30 * time.Second // a host that is not listed for so long has left
)

// hostView is the platform's host list as last read.
type hostView struct {
	hosts    []model.Host
	revision int64
	readAt   time.Time
	absent   map[string]time.Time // hosts that were asked for and are not listed, and since when
	byName   map[string]model.Host
	zones    []string // the availability zones of the backend servers, sorted
}

func newHostView(hosts []model.Host, revision int64, readAt time.Time) hostView {
	v := hostView{hosts: hosts, revision: revision, readAt: readAt, byName: make(map[string]model.Host, len(hosts))}
	for _, h := range hosts {
		v.byName[h.Name] = h
		if h.Kind == model.KindBackend {
			v.zones = append(v.zones, h.Zone)
		}
	}
	slices.Sort(v.zones)
	v.zones = slices.Compact(v.zones)
	return v
}

// isAbsent reports whether an entry host has not been listed for long. A host owns nothing before it is listed.
func (v *hostView) isAbsent(now time.Time, name string) bool {
	if _, found := v.find(name); found || v.revision == 0 {
		delete(v.absent, name)
		return false
	}
	if v.absent == nil {
		v.absent = make(map[string]time.Time)
	}
	if _, known := v.absent[name]; !known {
		v.absent[name] = now
	}
	return now.Sub(v.absent[name]) >= absenceTime
}

func (v *hostView) backendNames(zone string) []string {
	var names []string
	for _, h := range v.hosts {
		if h.Kind == model.KindBackend && h.Zone == zone {
			names = append(names, h.Name)
		}
	}
	return names
}

func (v *hostView) find(name string) (model.Host, bool) {
	h, found := v.byName[name]
	return h, found
}

// isLeaving reports whether the platform lists a host as leaving.
func (v *hostView) isLeaving(name string) bool {
	h, found := v.find(name)
	return found && h.State == model.HostLeaving
}

// leaving returns the names of the backend servers that get no new work.
func (v *hostView) leaving() []string {
	var names []string
	for _, h := range v.hosts {
		if h.Kind == model.KindBackend && h.State == model.HostLeaving {
			names = append(names, h.Name)
		}
	}
	return names
}

// entryHosts returns the listed entry hosts of a zone.
func (v *hostView) entryHosts(zone string) []model.Peer {
	return v.selectEntryHosts(func(h model.Host) bool { return h.Zone == zone })
}

// entryHostsElsewhere returns the listed entry hosts of the other zones.
func (v *hostView) entryHostsElsewhere(zone string) []model.Peer {
	return v.selectEntryHosts(func(h model.Host) bool { return h.Zone != zone })
}

func (v *hostView) selectEntryHosts(isWanted func(model.Host) bool) []model.Peer {
	var peers []model.Peer
	for _, h := range v.hosts {
		if h.Kind == model.KindEntry && h.State == model.HostLive && isWanted(h) {
			peers = append(peers, model.Peer{Name: h.Name, Zone: h.Zone, Address: h.Address})
		}
	}
	return peers
}

// oneOfEachOtherZone returns a random entry host of each other zone.
func (v *hostView) oneOfEachOtherZone(zone string) []model.Peer {
	others := v.entryHostsElsewhere(zone)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var picked []model.Peer
	for _, p := range others {
		if !slices.ContainsFunc(picked, func(q model.Peer) bool { return q.Zone == p.Zone }) {
			picked = append(picked, p)
		}
	}
	return picked
}

// hostsRead holds a new host list.
type hostsRead struct {
	hosts    []model.Host
	revision int64
}

func (e hostsRead) apply(c *control, now time.Time) {
	absent := c.hosts.absent
	c.hosts = newHostView(e.hosts, e.revision, now)
	c.hosts.absent = absent
	c.log.Info("host list read", zap.Int64("Revision", e.revision), zap.Int("Hosts", len(e.hosts)))
	c.edge.setEngines(e.hosts)
	isGone := func(name string) bool {
		_, found := c.hosts.find(name)
		return !found
	}
	c.table.Remove(gossip.KindBackend, isGone)
	c.table.Remove(gossip.KindCheckpoints, isGone)
	c.isSnapshotStale = true
	c.backends.isStale = true
	c.assign(now)
}

// dropAbsent takes peers for dead that the platform has not listed for long.
func (c *control) dropAbsent(now time.Time) {
	for _, name := range c.members.Names() {
		if c.hosts.isAbsent(now, name) {
			c.members.Gone(name)
		}
	}
}

// hostListID names the host list, which is sent only to a host that asks for it.
var hostListID = gossip.ItemID{Kind: gossip.KindHostList}

// askPeersForHosts takes the host list from peers, because the platform does not give it.
func (e *edge) askPeersForHosts(ctx context.Context) {
	request := &peer.PushRequest{Zone: e.self.Zone, Want: []gossip.ItemID{hostListID}}
	for _, seed := range e.seeds {
		if seed == e.self.Address {
			continue
		}
		reply, err := e.peers.Push(ctx, seed, request)
		if err != nil || len(reply.Items) == 0 {
			continue
		}
		var hosts []model.Host
		if err := unmarshal(reply.Items[0].Value, &hosts); err == nil {
			e.log.Info("host list taken from a peer", zap.String("Peer", seed), zap.Int("Hosts", len(hosts)))
			e.post(ctx, hostsRead{hosts: hosts, revision: reply.Items[0].Rank.Major})
			return
		}
	}
}

// hostListItem returns the host list for a peer that asks for it.
func (c *control) hostListItem() []gossip.Item {
	if c.hosts.revision == 0 {
		return nil
	}
	return []gossip.Item{{ID: hostListID, Rank: gossip.Rank{Major: c.hosts.revision}, Value: c.encode(c.hosts.hosts)}}
}

// watchHosts reads the host list whenever it changes.
func (e *edge) watchHosts(ctx context.Context, hosts HostList) error {
	revision := int64(0)
	for ctx.Err() == nil {
		listing, err := hosts.Hosts(ctx, revision, hostsTimeout)
		if err != nil {
			e.metrics.hostListFailures.Add(1)
			if revision == 0 {
				e.askPeersForHosts(ctx)
			}
			pause(ctx, hostsRetry)
			continue
		}
		if listing.Revision == revision {
			continue
		}
		revision = listing.Revision
		e.post(ctx, hostsRead{hosts: listing.Hosts, revision: revision})
	}
	return nil
}
