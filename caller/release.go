package caller

import (
	"context"
	"encoding/json"
	"time"

	"citronspread/service"
)

const (
	maxPendingReleases = 256
	maxReleaseAttempts = 20
	releaseRetryDelay  = time.Second
)

// pendingRelease is a claim under which nothing was sent and that is not yet released.
type pendingRelease struct {
	held     *claim
	attempts int
}

// Run retries failed releases of claims until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	c.once.Do(c.init)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-c.pendingReleases:
			if err := sleep(ctx, releaseRetryDelay); err != nil {
				return err
			}
			c.retryRelease(ctx, r)
		}
	}
}

func (c *Claims) retryRelease(ctx context.Context, r pendingRelease) {
	if c.releaseNow(ctx, r.held) {
		return
	}
	r.attempts++
	if r.attempts < maxReleaseAttempts {
		c.enqueue(r)
	}
}

// release makes the key available again because nothing was sent.
func (c *Claims) release(ctx context.Context, held *claim) {
	if c.record(ctx, held, claimReleased, service.Response{}) != nil {
		c.releaseLater(held)
	}
}

// releaseLater queues a claim for Run. If the queue is full, the key stays claimed, which is safe.
func (c *Claims) releaseLater(held *claim) {
	c.once.Do(c.init)
	c.enqueue(pendingRelease{held: held})
}

func (c *Claims) enqueue(r pendingRelease) {
	select {
	case c.pendingReleases <- r:
	default:
	}
}

func (c *Claims) init() { c.pendingReleases = make(chan pendingRelease, maxPendingReleases) }

// releaseNow releases the claim if it is still stored and reports whether nothing is left to do.
// If the entry is missing, the release must be retried: the write of the claim may still be in flight.
func (c *Claims) releaseNow(ctx context.Context, held *claim) bool {
	ctx, cancel := context.WithTimeout(ctx, c.StoreTimeout)
	defer cancel()
	entry, err := c.Store.Get(ctx, held.key)
	if err != nil {
		return false
	}
	var stored claimRecord
	if json.Unmarshal(entry.Value, &stored) != nil || stored.Nonce != held.record.Nonce {
		return true
	}
	held.revision = entry.Revision
	return c.record(ctx, held, claimReleased, service.Response{}) == nil
}
