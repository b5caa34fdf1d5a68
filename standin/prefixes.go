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

// prefixCache simulates the prefix cache of an engine. It stores hashes of the most recently used prompt prefixes and
// the events of their insertion and eviction.
type prefixCache struct {
	blocks   []uint64 // least recently used first
	sequence int64
	events   []engine.CacheEvent
}

// cachePrompt caches the prefixes of a prompt and returns how many of its leading bytes were already cached.
func (c *prefixCache) cachePrompt(key model.ModelKey, prompt string, now time.Time) int {
	cached := 0
	contiguous := true
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		hash := xxhash.Sum64String(key.String() + "\x00" + prompt[:end])
		i := slices.Index(c.blocks, hash)
		contiguous = contiguous && i >= 0
		if contiguous {
			cached = end
		}
		if i >= 0 {
			c.blocks = append(slices.Delete(c.blocks, i, i+1), hash)
			continue
		}
		c.add(key, hash, now)
	}
	return cached
}

func (c *prefixCache) add(key model.ModelKey, hash uint64, now time.Time) {
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

// publishedEvents returns the events after a sequence number that are not newer than until. Every lostInterval-th event
// is lost.
func (c *prefixCache) publishedEvents(after int64, until time.Time, lostInterval int) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, event := range c.events {
		lost := event.Sequence%int64(lostInterval) == 0
		if event.Sequence > after && !lost && !event.At.After(until) {
			events = append(events, event)
		}
	}
	return events
}
