package standin

import (
	"slices"
	"sort"

	"citronspread/model"
)

// Capacity of the checkpoint cache, in checkpoints.
const (
	maxCheckpointsInMemory = 2
	maxCheckpointsOnDisk   = 8
)

// checkpointCache simulates the cache of recently used checkpoints on a backend server: the most recent ones are in
// memory, older ones on disk.
type checkpointCache struct {
	memory []model.ModelKey // most recently used last
	disk   []model.ModelKey // most recently used last
}

func newCheckpointCache(checkpoints []model.Checkpoint) checkpointCache {
	var c checkpointCache
	for _, p := range checkpoints {
		switch p.Tier {
		case model.TierMemory:
			c.memory = append(c.memory, p.Key)
		case model.TierDisk:
			c.disk = append(c.disk, p.Key)
		case model.TierRemote:
		}
	}
	return c
}

// tier returns the fastest tier that holds a checkpoint.
func (c *checkpointCache) tier(key model.ModelKey) model.Tier {
	if slices.Contains(c.memory, key) {
		return model.TierMemory
	}
	if slices.Contains(c.disk, key) {
		return model.TierDisk
	}
	return model.TierRemote
}

// markUsed moves a checkpoint into memory. The least recently used ones move from memory to disk, or are evicted from
// disk.
func (c *checkpointCache) markUsed(key model.ModelKey) {
	same := func(k model.ModelKey) bool { return k == key }
	c.memory = append(slices.DeleteFunc(c.memory, same), key)
	c.disk = slices.DeleteFunc(c.disk, same)
	if len(c.memory) > maxCheckpointsInMemory {
		c.disk = append(c.disk, c.memory[0])
		c.memory = c.memory[1:]
	}
	if len(c.disk) > maxCheckpointsOnDisk {
		c.disk = c.disk[1:]
	}
}

func (c *checkpointCache) list() []model.Checkpoint {
	checkpoints := []model.Checkpoint{}
	for _, key := range c.memory {
		checkpoints = append(checkpoints, model.Checkpoint{Key: key, Tier: model.TierMemory})
	}
	for _, key := range c.disk {
		checkpoints = append(checkpoints, model.Checkpoint{Key: key, Tier: model.TierDisk})
	}
	sort.Slice(checkpoints, func(i, j int) bool { return checkpoints[i].Key.String() < checkpoints[j].Key.String() })
	return checkpoints
}

func (r TierRates) bytesPerSecond(tier model.Tier) float64 {
	switch tier {
	case model.TierMemory:
		return r.Memory
	case model.TierDisk:
		return r.Disk
	default:
		return r.Remote
	}
}
