package entryhost

import (
	"fmt"
	"testing"
	"time"

	"citronspread/gossip"
	"citronspread/model"
)

// fillRemote adds statuses and a host list of backend servers in another zone to the control state.
func fillRemote(c *control, backends int) {
	var hosts []model.Host
	var items []gossip.Item
	for i := range backends {
		name := fmt.Sprintf("backend-%d", i)
		hosts = append(hosts, model.Host{Name: name, Kind: model.KindBackend, Zone: "gujranwala", State: model.HostLive, Address: name})
		status := model.BackendStatus{
			Backend: name, Zone: "gujranwala", OwnerAddress: fmt.Sprintf("owner-%d", i/2), Term: 1,
			Replicas: []model.ReplicaStatus{{Key: model.ModelKey{Model: "scribe-7b", Version: "v1"}, State: model.ReservationLoaded}},
		}
		items = append(items, gossip.Item{
			ID: gossip.ItemID{Kind: gossip.KindBackend, Key: name}, Rank: gossip.Rank{Major: 1}, Value: c.encode(status),
		})
	}
	hostsRead{hosts: hosts, revision: 1}.apply(c, start)
	c.merge(start, items)
}

// BenchmarkIdleSecond measures one second of the control thread without events: only ticks and snapshots.
func BenchmarkIdleSecond(b *testing.B) {
	for _, backends := range []int{0, 200, 760} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			c := newTestControl("a", &fakeStore{})
			c.executor.dial = func(model.Host) Engine { return nil }
			fillRemote(c, backends)
			now := start
			for b.Loop() {
				for range int(time.Second / tickPeriod) {
					now = now.Add(tickPeriod)
					c.tick(now)
					c.flush(now)
				}
			}
		})
	}
}
