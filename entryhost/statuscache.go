package entryhost

import (
	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/model"
)

// statusCache caches the decoded statuses of backend servers.
type statusCache struct {
	entries map[string]cachedStatus
	sorted  []model.BackendStatus // by name
	counts  map[model.ModelKey]int
	isStale bool
}

type cachedStatus struct {
	rank   gossip.Rank
	status model.BackendStatus
}

func newStatusCache() statusCache {
	return statusCache{entries: make(map[string]cachedStatus)}
}

// count returns how many replicas of a model version are loaded or being loaded, without draining ones.
func (s *statusCache) count(key model.ModelKey) int { return s.counts[key] }

// statuses returns the statuses of all listed backend servers.
func (c *control) statuses() *statusCache {
	if c.backends.isStale {
		c.backends.refresh(c.table.Items(gossip.KindBackend), c.log)
		c.addCheckpoints(c.backends.sorted)
	}
	return &c.backends
}

// refresh replaces the cached statuses. It decodes only the items that changed.
func (s *statusCache) refresh(items []gossip.Item, log *zap.Logger) {
	entries := make(map[string]cachedStatus, len(items))
	s.sorted = s.sorted[:0:0]
	s.counts = make(map[model.ModelKey]int)
	for _, item := range items {
		cached, ok := s.entries[item.ID.Key]
		if !ok || cached.rank != item.Rank {
			cached = cachedStatus{rank: item.Rank}
			if err := unmarshal(item.Value, &cached.status); err != nil {
				log.Warn("status not decoded", zap.String("Backend", item.ID.Key), zap.Error(err))
				continue
			}
		}
		entries[item.ID.Key] = cached
		s.sorted = append(s.sorted, cached.status)
		s.countReplicas(cached.status)
	}
	s.entries = entries
	s.isStale = false
}

// addCheckpoints adds the checkpoints to the statuses of the own zone. Those of other zones are not needed,
// because a host places loads only in its own zone.
func (c *control) addCheckpoints(statuses []model.BackendStatus) {
	for i := range statuses {
		item, found := c.table.Get(gossip.ItemID{Kind: gossip.KindCheckpoints, Key: statuses[i].Backend})
		if !found || statuses[i].Zone != c.self.Zone {
			continue
		}
		if err := unmarshal(item.Value, &statuses[i].Checkpoints); err != nil {
			c.log.Warn("checkpoints not decoded", zap.String("Backend", statuses[i].Backend), zap.Error(err))
		}
	}
}

func (s *statusCache) countReplicas(status model.BackendStatus) {
	for _, r := range status.Replicas {
		if r.State != model.ReservationUnloading && !r.Draining {
			s.counts[r.Key]++
		}
	}
}
