package entryhost

import (
	"slices"
	"time"

	"citronspread/gossip"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/placement"
)

// permitTick returns permits of loads that ended and shares the parallel loads with the other zones.
func (c *control) permitTick(now time.Time) {
	holder, ok := membership.Lead(c.members.Staying(now), permitKey)
	if !ok || holder.Name != c.self.Name {
		return
	}
	c.returnPermits()
	zones := c.zones()
	c.permits.LoadsPerSecond = c.policy.LoadsPerSecond / float64(len(zones))
	c.permits.Parallel = placement.Share(c.policy.ParallelLoads, zones, c.zoneDemands(), c.self.Zone)
	c.publishDemand(now)
}

// returnPermits takes back the permits of loads that ended.
func (c *control) returnPermits() {
	statuses := c.statuses()
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
