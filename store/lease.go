package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const leasePath = "/v1/leases"

// GrantLease creates a lease that expires if it is not renewed within ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	c.Counts.Writes.Add(1)
	query := url.Values{"ttl": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	r := request{method: http.MethodPost, path: leasePath, query: query, key: "lease", writes: true}
	resp, err := c.do(ctx, r)
	if err != nil {
		return Lease{}, err
	}
	var lease Lease
	err = c.decode(r, resp, &lease)
	return lease, err
}

// Renew extends a lease. It returns a NotFoundError if the lease has expired or was revoked.
func (c *Client) Renew(ctx context.Context, lease string) error {
	_, err := c.write(ctx, request{method: http.MethodPost, path: leasePath + "/" + lease + "/renew", key: lease, writes: true})
	return err
}

// Revoke ends a lease and deletes its entries.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	_, err := c.write(ctx, request{method: http.MethodDelete, path: leasePath + "/" + lease, key: lease, writes: true})
	return err
}
