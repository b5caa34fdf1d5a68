package standin

import (
	"slices"
	"sort"

	"citronspread/model"
)

// Checkpoints that an engine's host keeps.
const (
	checkpointsInMemory = 2
	checkpointsOnDisk   = 8
)

// checkpointCache keeps the checkpoints that were used last, first in memory, then on disk.
type checkpointCache struct {
	memory []model.ModelKey // the latest last
	disk   []model.ModelKey
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

// tier tells where a checkpoint lies.
func (c *checkpointCache) tier(key model.ModelKey) model.Tier {
	if slices.Contains(c.memory, key) {
		return model.TierMemory
	}
	if slices.Contains(c.disk, key) {
		return model.TierDisk
	}
	return model.TierRemote
}

// use moves a checkpoint into memory and the oldest ones down a tier.
func (c *checkpointCache) use(key model.ModelKey) {
	same := func(k model.ModelKey) bool { return k == key }
	c.memory = append(slices.DeleteFunc(c.memory, same), key)
	c.disk = slices.DeleteFunc(c.disk, same)
	if len(c.memory) > checkpointsInMemory {
		c.disk = append(c.disk, c.memory[0])
		c.memory = c.memory[1:]
	}
	if len(c.disk) > checkpointsOnDisk {
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

func (r TierRates) of(tier model.Tier) float64 {
	switch tier {
	case model.TierMemory:
		return r.Memory
	case model.TierDisk:
		return r.Disk
	default:
		return r.Remote
	}
}
