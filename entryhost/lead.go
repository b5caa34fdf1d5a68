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
	statuses := c.statuses().sorted
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
		if lead.Name != c.self.Name || c.warmZone(key) != c.self.Zone || c.statuses().count(key) >= m.declaration.Warm {
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
	for _, s := range c.statuses().sorted {
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
