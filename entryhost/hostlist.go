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

// Timeouts and delays for the host list.
const (
	hostListTimeout    = 20 * time.Second // of the wait for a change
	hostListRetryDelay = 500 * time.Millisecond
	absenceTimeout     = 30 * time.Second // a host that has not been listed for this long is treated as stopped
)

// hostView is the platform's host list as last read.
type hostView struct {
	hosts       []model.Host
	revision    int64 // 0 until the list has been read
	readAt      time.Time
	absentSince map[string]time.Time // when a host that is not listed was first looked up
	byName      map[string]model.Host
	zones       []string // of the backend servers, sorted
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

// isAbsent reports whether an entry host has not been listed for absenceTimeout since it was first looked up.
// A new host owns no backend servers until it is listed, so it is safe to treat it as absent too.
func (v *hostView) isAbsent(now time.Time, name string) bool {
	if _, found := v.find(name); found || v.revision == 0 {
		delete(v.absentSince, name)
		return false
	}
	if v.absentSince == nil {
		v.absentSince = make(map[string]time.Time)
	}
	if _, known := v.absentSince[name]; !known {
		v.absentSince[name] = now
	}
	return now.Sub(v.absentSince[name]) >= absenceTimeout
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

// isLeaving reports whether the platform lists the host as leaving.
func (v *hostView) isLeaving(name string) bool {
	h, found := v.find(name)
	return found && h.State == model.HostLeaving
}

// leavingBackends returns the names of the backend servers that are listed as leaving. They get no new work.
func (v *hostView) leavingBackends() []string {
	var names []string
	for _, h := range v.hosts {
		if h.Kind == model.KindBackend && h.State == model.HostLeaving {
			names = append(names, h.Name)
		}
	}
	return names
}

// entryHosts returns the live entry hosts that are listed for a zone.
func (v *hostView) entryHosts(zone string) []model.Peer {
	return v.selectEntryHosts(func(h model.Host) bool { return h.Zone == zone })
}

// entryHostsElsewhere returns the live entry hosts that are listed for other zones.
func (v *hostView) entryHostsElsewhere(zone string) []model.Peer {
	return v.selectEntryHosts(func(h model.Host) bool { return h.Zone != zone })
}

func (v *hostView) selectEntryHosts(matches func(model.Host) bool) []model.Peer {
	var peers []model.Peer
	for _, h := range v.hosts {
		if h.Kind == model.KindEntry && h.State == model.HostLive && matches(h) {
			peers = append(peers, model.Peer{Name: h.Name, Zone: h.Zone, Address: h.Address})
		}
	}
	return peers
}

// randomHostPerOtherZone returns a random entry host of each other zone.
func (v *hostView) randomHostPerOtherZone(zone string) []model.Peer {
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

// hostsRead holds a new version of the host list.
type hostsRead struct {
	hosts    []model.Host
	revision int64
}

func (e hostsRead) apply(c *control, now time.Time) {
	absentSince := c.hosts.absentSince
	c.hosts = newHostView(e.hosts, e.revision, now)
	c.hosts.absentSince = absentSince
	c.log.Info("host list read", zap.Int64("Revision", e.revision), zap.Int("Hosts", len(e.hosts)))
	c.executor.setEngines(e.hosts)
	isUnlisted := func(name string) bool {
		_, found := c.hosts.find(name)
		return !found
	}
	c.table.Remove(gossip.KindBackend, isUnlisted)
	c.table.Remove(gossip.KindCheckpoints, isUnlisted)
	c.isSnapshotStale = true
	c.backends.isStale = true
	c.assign(now)
}

// markAbsentPeers marks the peers as stopped that the platform has not listed for absenceTimeout.
func (c *control) markAbsentPeers(now time.Time) {
	for _, name := range c.members.Names() {
		if c.hosts.isAbsent(now, name) {
			c.members.Remove(name)
		}
	}
}

// hostListID identifies the host list, which is sent only on request.
var hostListID = gossip.ItemID{Kind: gossip.KindHostList}

// fetchHostListFromPeers requests the host list from the configured peers. It is used at startup when the platform
// does not respond.
func (e *executor) fetchHostListFromPeers(ctx context.Context) {
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

// hostListItem returns the host list as an item for a peer, or nil when it is not known yet.
func (c *control) hostListItem() []gossip.Item {
	if c.hosts.revision == 0 {
		return nil
	}
	return []gossip.Item{{ID: hostListID, Rank: gossip.Rank{Major: c.hosts.revision}, Value: c.encode(c.hosts.hosts)}}
}

// watchHosts reads the host list and waits for its changes until ctx ends.
func (e *executor) watchHosts(ctx context.Context, hosts HostList) error {
	revision := int64(0)
	for ctx.Err() == nil {
		hostList, err := hosts.Hosts(ctx, revision, hostListTimeout)
		if err != nil {
			e.metrics.hostListFailures.Add(1)
			if revision == 0 {
				e.fetchHostListFromPeers(ctx)
			}
			sleep(ctx, hostListRetryDelay)
			continue
		}
		if hostList.Revision == revision {
			continue
		}
		revision = hostList.Revision
		e.post(ctx, hostsRead{hosts: hostList.Hosts, revision: revision})
	}
	return nil
}
