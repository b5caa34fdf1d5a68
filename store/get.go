package store

import (
	"context"
	"net/http"
	"net/url"
)

const keyPath = "/v1/kv/"

// Get returns the entry of a key, or NotFoundError.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	c.Counts.Reads.Add(1)
	l := call{method: http.MethodGet, path: keyPath + key, key: key}
	a, err := c.do(ctx, l)
	if err != nil {
		return Entry{}, err
	}
	if a.status == http.StatusNotFound {
		return Entry{}, &NotFoundError{Key: key}
	}
	var entry Entry
	err = c.decode(l, a, &entry)
	return entry, err
}

// List returns all entries under a prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	c.Counts.Reads.Add(1)
	l := call{method: http.MethodGet, path: "/v1/kv", query: url.Values{"prefix": {prefix}}, key: prefix}
	a, err := c.do(ctx, l)
	if err != nil {
		return Listing{}, err
	}
	var listing Listing
	err = c.decode(l, a, &listing)
	return listing, err
}
