package standin

import (
	"slices"
	"time"

	"citronspread/engine"
	"citronspread/model"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixBlockBytes = 256
	prefixCapacity   = 4096 // blocks
	maxCacheEvents   = 4096
)

// prefixCache keeps the hashes of the prompt prefixes that were used last.
type prefixCache struct {
	blocks   []uint64 // the oldest first
	sequence int64
	events   []engine.CacheEvent
}

// use caches a prompt's prefixes and returns the number of bytes that were cached before.
func (c *prefixCache) use(key model.ModelKey, prompt string, now time.Time) int {
	cached := 0
	whole := true
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		hash := xxhash.Sum64String(key.String() + "\x00" + prompt[:end])
		i := slices.Index(c.blocks, hash)
		whole = whole && i >= 0
		if whole {
			cached = end
		}
		if i >= 0 {
			c.blocks = append(slices.Delete(c.blocks, i, i+1), hash)
			continue
		}
		c.store(key, hash, now)
	}
	return cached
}

func (c *prefixCache) store(key model.ModelKey, hash uint64, now time.Time) {
	c.blocks = append(c.blocks, hash)
	c.emit(engine.CacheEvent{Key: key, Prefix: hash, Stored: true, At: now})
	if len(c.blocks) > prefixCapacity {
		c.emit(engine.CacheEvent{Key: key, Prefix: c.blocks[0], At: now})
		c.blocks = c.blocks[1:]
	}
}

func (c *prefixCache) emit(event engine.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// published returns the events after a sequence number that are old enough, without those that are lost.
func (c *prefixCache) published(after int64, until time.Time, gap int) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, event := range c.events {
		lost := event.Sequence%int64(gap) == 0
		if event.Sequence > after && !lost && !event.At.After(until) {
			events = append(events, event)
		}
	}
	return events
}
