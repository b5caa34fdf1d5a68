package store

import (
	"context"
	"net/http"
	"net/url"
)

const keyPath = "/v1/kv/"

// Get returns the entry of a key. It returns a NotFoundError if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	c.Counts.Reads.Add(1)
	r := request{method: http.MethodGet, path: keyPath + key, key: key}
	resp, err := c.do(ctx, r)
	if err != nil {
		return Entry{}, err
	}
	if resp.status == http.StatusNotFound {
		return Entry{}, &NotFoundError{Key: key}
	}
	var entry Entry
	err = c.decode(r, resp, &entry)
	return entry, err
}

// List returns all entries whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	c.Counts.Reads.Add(1)
	r := request{method: http.MethodGet, path: "/v1/kv", query: url.Values{"prefix": {prefix}}, key: prefix}
	resp, err := c.do(ctx, r)
	if err != nil {
		return Listing{}, err
	}
	var listing Listing
	err = c.decode(r, resp, &listing)
	return listing, err
}
