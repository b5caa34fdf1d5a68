package entryhost

import (
	"slices"
	"time"

	"citronspread/gossip"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/placement"
)

// permitTick updates the load permits if this host is the zone's permit holder: it frees the permits of loads that
// ended and recomputes the zone's share of the weight store's capacity.
func (c *control) permitTick(now time.Time) {
	holder, ok := membership.Leader(c.members.Staying(now), permitRankingKey)
	if !ok || holder.Name != c.self.Name {
		return
	}
	c.returnPermits()
	zones := c.zones()
	c.permits.LoadsPerSecond = c.policy.LoadsPerSecond / float64(len(zones))
	c.permits.MaxParallel = placement.Share(c.policy.MaxParallelLoads, zones, c.zoneDemands(), c.self.Zone)
	c.publishZoneDemand(now)
}

// returnPermits frees the permits of loads that completed or were refused.
func (c *control) returnPermits() {
	statuses := c.statuses()
	for _, granted := range c.permits.Granted() {
		status := statuses.entries[granted.Backend].status
		if isLoadEnded(status, granted.Key) {
			c.permits.Release(granted.Key, granted.Backend)
		}
	}
}

func isLoadEnded(status model.BackendStatus, key model.ModelKey) bool {
	isLoaded := slices.ContainsFunc(status.Replicas, func(r model.ReplicaStatus) bool {
		return r.Key == key && r.State == model.ReservationLoaded
	})
	return isLoaded || slices.ContainsFunc(status.Refused, func(r model.RefusedLoad) bool { return r.Key == key })
}

// zoneDemand is the demand for load permits that the permit holder of a zone publishes to the other zones.
type zoneDemand struct {
	InUse   int
	Waiting int
}

// publishZoneDemand publishes the zone's demand when it changed or its last item is about to expire.
func (c *control) publishZoneDemand(now time.Time) {
	demand := zoneDemand{InUse: c.permits.InUse(), Waiting: c.permits.Waiting()}
	id := gossip.ItemID{Kind: gossip.KindDemand, Key: c.self.Zone}
	if published, ok := c.table.Get(id); ok && string(published.Value) == string(c.encode(demand)) && published.ExpiresAt.Sub(now) > zoneDemandTTL/2 {
		return
	}
	c.put(now, gossip.Item{
		ID:        id,
		Rank:      gossip.Rank{Major: now.UnixMilli()},
		Value:     c.encode(demand),
		ExpiresAt: now.Add(zoneDemandTTL),
	})
}

// zoneDemands returns the published demands of all zones.
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
