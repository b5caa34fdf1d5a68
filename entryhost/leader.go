package entryhost

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/placement"
)

// Timing of the decisions of a model's leader and of the zone's permit holder.
const (
	permitRankingKey = "weight-store" // key for ranking the hosts that may be the zone's permit holder
	zoneDemandTTL    = 5 * time.Second
	warmDemandTTL    = 2 * time.Second
	warmStartDelay   = 5 * time.Second // a host that has just started has not received the statuses of its peers yet
	forwardPeriod    = 500 * time.Millisecond
)

// loadDemandReceived is a router's demand for a model version or an adapter.
type loadDemandReceived struct {
	demand          model.LoadDemand
	isFromOtherZone bool // it came from another zone and is not forwarded back
	isFinal         bool // this host decides, even if another one is the leader in its view
}

func (e loadDemandReceived) apply(c *control, now time.Time) {
	leader, ok := membership.Leader(c.members.Staying(now), e.demand.Key.String())
	if !ok {
		return
	}
	if leader.Name != c.self.Name && !e.isFinal {
		c.executor.forwardLoadDemand(leader.Address, peer.DemandRequest{Wake: e.demand, Foreign: e.isFromOtherZone, Final: true})
		return
	}
	c.metrics.loadDemands.Add(1)
	c.leader.AddDemand(now, e.demand)
	if e.isFromOtherZone {
		c.leader.DelayForward(now, e.demand.Key)
	}
	if e.demand.Adapter != "" {
		c.requestAdapterLoad(now, e.demand)
	}
	c.decideLoads(now)
}

// decideLoads requests the loads that the load demands and the declared numbers of warm replicas require.
func (c *control) decideLoads(now time.Time) {
	c.demandWarmModels(now)
	demands := c.leader.Demands(now)
	if len(demands) == 0 {
		return
	}
	statuses := c.statuses().sorted
	loads := c.members.LoadsByBackend(now)
	for _, demand := range demands {
		declared, known := c.configuration.find(demand.Key)
		if !known {
			continue
		}
		view := placement.View{
			Zone:        c.self.Zone,
			Backends:    statuses,
			Loads:       loads,
			Leaving:     c.hosts.leavingBackends(),
			Declaration: declared.declaration,
			Service:     declared.service,
		}
		choice, outcome := c.leader.Choose(now, demand, view)
		switch outcome {
		case placement.OutcomeLoad:
			c.startLoad(now, choice)
		case placement.OutcomeNoCapacity:
			c.forwardToOtherZones(now, demand)
		}
	}
}

// demandWarmModels adds a load demand for each model version with fewer replicas than its declared number of warm ones,
// if this host leads the model and its zone keeps the warm replicas.
func (c *control) demandWarmModels(now time.Time) {
	if now.Sub(c.metrics.startedAt) < warmStartDelay {
		return
	}
	staying := c.members.Staying(now)
	for _, m := range c.configuration.models {
		if m.declaration.Warm == 0 {
			continue
		}
		key := m.declaration.Key
		leader, _ := membership.Leader(staying, key.String())
		if leader.Name != c.self.Name || c.warmZone(key) != c.self.Zone || c.statuses().count(key) >= m.declaration.Warm {
			continue
		}
		c.leader.AddDemand(now, model.LoadDemand{Key: key, Waiting: 1, Priority: m.declaration.Priority, Deadline: now.Add(warmDemandTTL)})
	}
}

// warmZone returns the zone that keeps the warm replicas of a model version.
func (c *control) warmZone(key model.ModelKey) string {
	var zones []model.Peer
	for _, zone := range c.zones() {
		zones = append(zones, model.Peer{Name: zone})
	}
	first, _ := membership.Leader(zones, key.String())
	return first.Name
}

// zones returns the availability zones in the host list, or this host's zone when there are none.
func (c *control) zones() []string {
	if len(c.hosts.zones) == 0 {
		return []string{c.self.Zone}
	}
	return c.hosts.zones
}

// forwardToOtherZones forwards a load demand that this zone can't meet, at most once in each forwardPeriod.
func (c *control) forwardToOtherZones(now time.Time, demand model.LoadDemand) {
	if !c.leader.MayForward(now, demand.Key, forwardPeriod) {
		return
	}
	c.metrics.loadDemandsForwarded.Add(1)
	for _, target := range c.hosts.randomHostPerOtherZone(c.self.Zone) {
		c.executor.forwardLoadDemand(target.Address, peer.DemandRequest{Wake: demand, Foreign: true})
	}
}

// startLoad requests a load from the backend server's owner. When the weights come from the weight store, it first
// requests a permit from the zone's permit holder.
func (c *control) startLoad(now time.Time, choice placement.LoadChoice) {
	c.leader.RecordLoadRequest(now, choice)
	if choice.Tier != model.TierRemote {
		c.requestLoadFromOwner(now, choice)
		return
	}
	holder, ok := membership.Leader(c.members.Staying(now), permitRankingKey)
	if !ok {
		return
	}
	if holder.Name == c.self.Name {
		c.handlePermitReply(now, choice, c.permits.Request(now, choice.Demand, choice.Backend))
		return
	}
	request := peer.PermitRequest{Wake: choice.Demand, Backend: choice.Backend}
	c.executor.requestPermit(holder.Address, request, func(granted bool) event {
		return permitReplied{choice: choice, granted: granted}
	})
}

// permitReplied is the permit holder's reply to a permit request.
type permitReplied struct {
	choice  placement.LoadChoice
	granted bool
}

func (e permitReplied) apply(c *control, now time.Time) {
	c.handlePermitReply(now, e.choice, e.granted)
}

func (c *control) handlePermitReply(now time.Time, choice placement.LoadChoice, granted bool) {
	if !granted {
		c.leader.RemoveLoadRequest(choice)
		return
	}
	c.requestLoadFromOwner(now, choice)
}

func (c *control) requestLoadFromOwner(now time.Time, choice placement.LoadChoice) {
	c.log.Info("load asked", zap.String("Model", choice.Key.String()), zap.String("Backend", choice.Backend), zap.String("Tier", string(choice.Tier)))
	c.metrics.loadsRequested.Add(1)
	if choice.Owner == c.self.Address {
		loadRequested{key: choice.Key, backend: choice.Backend, adapters: choice.Adapters}.apply(c, now)
		return
	}
	request := peer.LoadRequest{Key: choice.Key, Backend: choice.Backend, Adapters: choice.Adapters}
	c.executor.requestLoad(choice.Owner, request)
}

// requestAdapterLoad requests the load of an adapter into a loaded replica, preferably one of the own zone,
// unless a replica has the adapter already.
func (c *control) requestAdapterLoad(now time.Time, demand model.LoadDemand) {
	var candidates []model.BackendStatus
	for _, s := range c.statuses().sorted {
		for _, r := range s.Replicas {
			if r.Key != demand.Key || r.State != model.ReservationLoaded || r.Draining {
				continue
			}
			if slices.Contains(r.Adapters, demand.Adapter) {
				return
			}
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return
	}
	chosen := preferZone(candidates, c.self.Zone)
	id := adapterID{backend: chosen.Backend, key: demand.Key, adapter: demand.Adapter}
	if chosen.OwnerAddress == c.self.Address {
		adapterLoadRequested{id: id}.apply(c, now)
		return
	}
	c.executor.requestLoad(chosen.OwnerAddress, peer.LoadRequest{Key: id.key, Backend: id.backend, Adapter: id.adapter})
}

// preferZone returns the first status of the given zone, or else the first one.
func preferZone(statuses []model.BackendStatus, zone string) model.BackendStatus {
	i := slices.IndexFunc(statuses, func(s model.BackendStatus) bool { return s.Zone == zone })
	return statuses[max(i, 0)]
}
