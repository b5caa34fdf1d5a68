package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronspread/store"
)

const (
	claimRetention = 24 * time.Hour // within this time a repeat finds the claim
	leaseReuse     = time.Hour      // how long one lease is used for new claims
)

// LeaseStore is the part of the platform's store that expires old claims.
type LeaseStore interface {
	GrantLease(ctx context.Context, ttl time.Duration) (store.Lease, error)
	CompareAndSwapLeased(ctx context.Context, key string, value []byte, revision int64, lease string) (int64, error)
}

// claimLease is the lease that new claims are attached to. It is never renewed.
type claimLease struct {
	mu        sync.Mutex
	id        string
	grantedAt time.Time
}

// leaseFor returns the ID of the lease for a new claim, or an empty string if there is none.
// A claim without a lease never expires.
func (c *Claims) leaseFor(ctx context.Context, now time.Time) string {
	if c.Leases == nil {
		return ""
	}
	c.lease.mu.Lock()
	defer c.lease.mu.Unlock()
	if c.lease.id != "" && now.Sub(c.lease.grantedAt) < leaseReuse {
		return c.lease.id
	}
	granted, err := c.Leases.GrantLease(ctx, claimRetention+leaseReuse)
	if err != nil {
		return ""
	}
	c.lease.id, c.lease.grantedAt = granted.ID, now
	return granted.ID
}

// write updates the stored claim under its lease, or without a lease if that has expired.
func (c *Claims) write(ctx context.Context, held *claim, value []byte, revision int64) (int64, error) {
	if held.lease == "" {
		return c.Store.CompareAndSwap(ctx, held.key, value, revision)
	}
	newRevision, err := c.Leases.CompareAndSwapLeased(ctx, held.key, value, revision, held.lease)
	var expired *store.NotFoundError
	if errors.As(err, &expired) {
		c.dropLease(held.lease)
		held.lease = ""
		return c.Store.CompareAndSwap(ctx, held.key, value, revision)
	}
	return newRevision, err
}

func (c *Claims) dropLease(id string) {
	c.lease.mu.Lock()
	defer c.lease.mu.Unlock()
	if c.lease.id == id {
		c.lease.id = ""
	}
}
