package caller

import (
	"context"
	"encoding/json"
	"time"

	"citronspread/service"
)

const (
	maxUnreleased   = 256
	releaseAttempts = 20
	releasePause    = time.Second
)

// release is a claim under which nothing was sent and that still stands.
type release struct {
	held  *claim
	tries int
}

// Run frees the keys that could not be freed at once, until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	c.once.Do(c.init)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-c.unreleased:
			if err := pause(ctx, releasePause); err != nil {
				return err
			}
			c.retryRelease(ctx, r)
		}
	}
}

func (c *Claims) retryRelease(ctx context.Context, r release) {
	if c.releaseNow(ctx, r.held) {
		return
	}
	r.tries++
	if r.tries < releaseAttempts {
		c.enqueue(r)
	}
}

// release frees the key because nothing was sent.
func (c *Claims) release(ctx context.Context, held *claim) {
	if c.record(ctx, held, claimReleased, service.Answer{}) != nil {
		c.releaseLater(held)
	}
}

// releaseLater leaves a claim to Run. When too many are left, the key stays claimed, which is safe.
func (c *Claims) releaseLater(held *claim) {
	c.once.Do(c.init)
	c.enqueue(release{held: held})
}

func (c *Claims) enqueue(r release) {
	select {
	case c.unreleased <- r:
	default:
	}
}

func (c *Claims) init() { c.unreleased = make(chan release, maxUnreleased) }

// releaseNow frees the key if it is claimed and reports whether that is settled.
// An absent entry is not settled: the write of the claim may still be on its way.
func (c *Claims) releaseNow(ctx context.Context, held *claim) bool {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	entry, err := c.Store.Get(ctx, held.key)
	if err != nil {
		return false
	}
	var wire claimWire
	if json.Unmarshal(entry.Value, &wire) != nil || wire.Nonce != held.wire.Nonce {
		return true
	}
	held.revision = entry.Revision
	return c.record(ctx, held, claimReleased, service.Answer{}) == nil
}
