package entryhost

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/placement"
)

// Times of a lead's work.
const (
	permitKey     = "weight-store" // rendezvous key of the zone's permit holder
	demandTime    = 5 * time.Second
	warmWakeTime  = 2 * time.Second
	warmDelay     = 5 * time.Second // a host that has just started does not know yet what others loaded
	forwardPeriod = 500 * time.Millisecond
)

// wakeAsked is a router's demand for a model version.
type wakeAsked struct {
	wake      model.Wake
	isForeign bool // it comes from another zone
	isFinal   bool // this host decides
}

func (e wakeAsked) apply(c *control, now time.Time) {
	lead, ok := membership.Lead(c.members.Staying(now), e.wake.Key.String())
	if !ok {
		return
	}
	if lead.Name != c.self.Name && !e.isFinal {
		c.edge.forwardWake(lead.Address, peer.WakeRequest{Wake: e.wake, Foreign: e.isForeign, Final: true})
		return
	}
	c.metrics.wakes.Add(1)
	c.lead.Want(now, e.wake)
	if e.isForeign {
		c.lead.HoldForward(now, e.wake.Key)
	}
	if e.wake.Adapter != "" {
		c.wakeAdapter(now, e.wake)
	}
	c.decideLoads(now)
}

// decideLoads asks for the loads that the demands and the numbers kept warm call for.
func (c *control) decideLoads(now time.Time) {
	c.wantWarm(now)
	wakes := c.lead.Demands(now)
	if len(wakes) == 0 {
		return
	}
	statuses := c.statuses(now).sorted
	loads := c.members.LoadsByBackend(now)
	for _, wake := range wakes {
		declared, known := c.configuration.find(wake.Key)
		if !known {
			continue
		}
		view := placement.View{
			Zone:        c.self.Zone,
			Backends:    statuses,
			Loads:       loads,
			Leaving:     c.hosts.leaving(),
			Declaration: declared.declaration,
			Service:     declared.service,
		}
		choice, outcome := c.lead.Choose(now, wake, view)
		switch outcome {
		case placement.OutcomeLoad:
			c.startLoad(now, choice)
		case placement.OutcomeNoCapacity:
			c.forwardElsewhere(now, wake)
		}
	}
}

// wantWarm demands the model versions that records keep loaded, in the first zone by rendezvous.
func (c *control) wantWarm(now time.Time) {
	if now.Sub(c.metrics.startedAt) < warmDelay {
		return
	}
	staying := c.members.Staying(now)
	for _, m := range c.configuration.models {
		if m.declaration.Warm == 0 {
			continue
		}
		key := m.declaration.Key
		lead, _ := membership.Lead(staying, key.String())
		if lead.Name != c.self.Name || c.warmZone(key) != c.self.Zone || c.statuses(now).count(key) >= m.declaration.Warm {
			continue
		}
		c.lead.Want(now, model.Wake{Key: key, Waiting: 1, Priority: m.declaration.Priority, Deadline: now.Add(warmWakeTime)})
	}
}

func (c *control) warmZone(key model.ModelKey) string {
	var zones []model.Peer
	for _, zone := range c.zones() {
		zones = append(zones, model.Peer{Name: zone})
	}
	first, _ := membership.Lead(zones, key.String())
	return first.Name
}

// zones returns the availability zones that the host list names.
func (c *control) zones() []string {
	if len(c.hosts.zones) == 0 {
		return []string{c.self.Zone}
	}
	return c.hosts.zones
}

// forwardElsewhere passes a demand that this zone can't meet to the other zones.
func (c *control) forwardElsewhere(now time.Time, wake model.Wake) {
	if !c.lead.MayForward(now, wake.Key, forwardPeriod) {
		return
	}
	c.metrics.wakesForwarded.Add(1)
	for _, target := range c.hosts.oneOfEachOtherZone(c.self.Zone) {
		c.edge.forwardWake(target.Address, peer.WakeRequest{Wake: wake, Foreign: true})
	}
}

// startLoad asks the backend server's owner, after the permit holder when the weights come from the weight store.
func (c *control) startLoad(now time.Time, choice placement.LoadChoice) {
	c.lead.Asked(now, choice)
	if choice.Tier != model.TierRemote {
		c.askOwner(now, choice)
		return
	}
	holder, ok := membership.Lead(c.members.Staying(now), permitKey)
	if !ok {
		return
	}
	if holder.Name == c.self.Name {
		c.permitAnswered(now, choice, c.permits.Ask(now, choice.Wake, choice.Backend))
		return
	}
	request := peer.PermitRequest{Wake: choice.Wake, Backend: choice.Backend}
	c.edge.askPermit(holder.Address, request, func(granted bool) event {
		return permitReplied{choice: choice, granted: granted}
	})
}

// permitReplied is the permit holder's answer.
type permitReplied struct {
	choice  placement.LoadChoice
	granted bool
}

func (e permitReplied) apply(c *control, now time.Time) { c.permitAnswered(now, e.choice, e.granted) }

func (c *control) permitAnswered(now time.Time, choice placement.LoadChoice, granted bool) {
	if !granted {
		c.lead.Unasked(choice)
		return
	}
	c.askOwner(now, choice)
}

func (c *control) askOwner(now time.Time, choice placement.LoadChoice) {
	c.log.Info("load asked", zap.String("Model", choice.Key.String()), zap.String("Backend", choice.Backend), zap.String("Tier", string(choice.Tier)))
	c.metrics.loadsAsked.Add(1)
	if choice.Owner == c.self.Address {
		loadAsked{key: choice.Key, backend: choice.Backend, adapters: choice.Adapters}.apply(c, now)
		return
	}
	request := peer.LoadRequest{Key: choice.Key, Backend: choice.Backend, Adapters: choice.Adapters}
	c.edge.askLoad(choice.Owner, request)
}

// wakeAdapter asks the owner of a replica that lacks an adapter to load it, unless another replica has it.
func (c *control) wakeAdapter(now time.Time, wake model.Wake) {
	var lacking []model.BackendStatus
	for _, s := range c.statuses(now).sorted {
		for _, r := range s.Replicas {
			if r.Key != wake.Key || r.State != model.ReservationLoaded || r.Draining {
				continue
			}
			if slices.Contains(r.Adapters, wake.Adapter) {
				return
			}
			lacking = append(lacking, s)
		}
	}
	if len(lacking) == 0 {
		return
	}
	chosen := preferZone(lacking, c.self.Zone)
	id := adapterID{backend: chosen.Backend, key: wake.Key, adapter: wake.Adapter}
	if chosen.OwnerAddress == c.self.Address {
		adapterAsked{id: id}.apply(c, now)
		return
	}
	c.edge.askLoad(chosen.OwnerAddress, peer.LoadRequest{Key: id.key, Backend: id.backend, Adapter: id.adapter})
}

func preferZone(statuses []model.BackendStatus, zone string) model.BackendStatus {
	i := slices.IndexFunc(statuses, func(s model.BackendStatus) bool { return s.Zone == zone })
	return statuses[max(i, 0)]
}

// permitTick returns permits of loads that ended and shares the parallel loads with the other zones.
func (c *control) permitTick(now time.Time) {
	holder, ok := membership.Lead(c.members.Staying(now), permitKey)
	if !ok || holder.Name != c.self.Name {
		return
	}
	c.returnPermits(now)
	zones := c.zones()
	c.permits.LoadsPerSecond = c.policy.LoadsPerSecond / float64(len(zones))
	c.permits.Parallel = placement.Share(c.policy.ParallelLoads, zones, c.zoneDemands(), c.self.Zone)
	c.publishDemand(now)
}

// returnPermits takes back the permits of loads that ended.
func (c *control) returnPermits(now time.Time) {
	statuses := c.statuses(now)
	for _, held := range c.permits.Granted() {
		status := statuses.entries[held.Backend].status
		if isLoadEnded(status, held.Key) {
			c.permits.Done(held.Key, held.Backend)
		}
	}
}

func isLoadEnded(status model.BackendStatus, key model.ModelKey) bool {
	isLoaded := slices.ContainsFunc(status.Replicas, func(r model.ReplicaStatus) bool {
		return r.Key == key && r.State == model.ReservationLoaded
	})
	return isLoaded || slices.ContainsFunc(status.Refused, func(r model.RefusedLoad) bool { return r.Key == key })
}

// zoneDemand is what the permit holder of a zone tells the others.
type zoneDemand struct {
	InUse   int
	Waiting int
}

func (c *control) publishDemand(now time.Time) {
	demand := zoneDemand{InUse: c.permits.InUse(), Waiting: c.permits.Waiting()}
	id := gossip.ItemID{Kind: gossip.KindDemand, Key: c.self.Zone}
	if held, ok := c.table.Get(id); ok && string(held.Value) == string(c.encode(demand)) && held.ExpiresAt.Sub(now) > demandTime/2 {
		return
	}
	c.put(now, gossip.Item{
		ID:        id,
		Rank:      gossip.Rank{Major: now.UnixMilli()},
		Value:     c.encode(demand),
		ExpiresAt: now.Add(demandTime),
	})
}

func (c *control) zoneDemands() []placement.ZoneDemand {
	var demands []placement.ZoneDemand
	for _, item := range c.table.Items(gossip.KindDemand) {
		var d zoneDemand
		if err := unmarshal(item.Value, &d); err == nil {
			demands = append(demands, placement.ZoneDemand{Zone: item.ID.Key, InUse: d.InUse, Waiting: d.Waiting})
		}
	}
	return demands
}

// updateStanding tells the ledger which model versions to hold standing reservations for.
func (c *control) updateStanding(now time.Time) {
	if c.policy.StandingReservations == 0 {
		return
	}
	for _, o := range c.ledger.Owned() {
		var keys []model.ModelKey
		if len(c.owner.get(o.Record.Backend).wants) == 0 {
			keys = c.standingKeys(o.Record.Backend)
		}
		c.step(now, ledger.StandingWanted{Backend: o.Record.Backend, Keys: keys})
	}
}

// standingKeys returns the model versions of a backend server's service that rank first on it.
func (c *control) standingKeys(backend string) []model.ModelKey {
	host, _ := c.hosts.find(backend)
	peers := make([]model.Peer, 0)
	for _, name := range c.hosts.backendNames(c.self.Zone) {
		if other, _ := c.hosts.find(name); other.Service == host.Service {
			peers = append(peers, model.Peer{Name: name})
		}
	}
	var keys []model.ModelKey
	for _, m := range c.configuration.models {
		if m.service != host.Service || m.declaration.Replicas < len(c.zones()) {
			continue
		}
		first, _ := membership.Lead(peers, m.declaration.Key.String())
		if first.Name == backend && len(keys) < c.policy.StandingReservations {
			keys = append(keys, m.declaration.Key)
		}
	}
	return keys
}
