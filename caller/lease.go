package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronspread/store"
)

const (
	claimRetention = 24 * time.Hour // a repeat within it finds the claim
	leaseUse       = time.Hour      // a lease takes new claims so long
)

// LeaseStore is the part of the platform's store that deletes old claims.
type LeaseStore interface {
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	CompareAndSwapLeased(ctx context.Context, key string, value []byte, revision int64, lease string) (int64, error)
}

// claimLease is the lease that new claims are written under. It is never renewed.
type claimLease struct {
	mu        sync.Mutex
	id        string
	grantedAt time.Time
}

// leaseFor returns the lease for a new claim, empty when there is none: such a claim is kept for good.
func (c *Claims) leaseFor(ctx context.Context, now time.Time) string {
	if c.Leases == nil {
		return ""
	}
	c.lease.mu.Lock()
	defer c.lease.mu.Unlock()
	if c.lease.id != "" && now.Sub(c.lease.grantedAt) < leaseUse {
		return c.lease.id
	}
	granted, err := c.Leases.Grant(ctx, claimRetention+leaseUse)
	if err != nil {
		return ""
	}
	c.lease.id, c.lease.grantedAt = granted.ID, now
	return granted.ID
}

// write swaps the value of a claim under its lease.
func (c *Claims) write(ctx context.Context, held *claim, value []byte, revision int64) (int64, error) {
	if held.lease == "" {
		return c.Store.CompareAndSwap(ctx, held.key, value, revision)
	}
	written, err := c.Leases.CompareAndSwapLeased(ctx, held.key, value, revision, held.lease)
	var ended *store.NotFoundError
	if errors.As(err, &ended) {
		c.forgetLease(held.lease)
		held.lease = ""
		return c.Store.CompareAndSwap(ctx, held.key, value, revision)
	}
	return written, err
}

func (c *Claims) forgetLease(id string) {
	c.lease.mu.Lock()
	defer c.lease.mu.Unlock()
	if c.lease.id == id {
		c.lease.id = ""
	}
}
