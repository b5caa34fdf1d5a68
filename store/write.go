package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// writeResult is the response body of a write that took effect.
type writeResult struct {
	Revision int64
}

// CompareAndSwap writes value if the key is at the given revision. Revision 0 means that the key must not exist.
// It returns the new revision, or a ConflictError if the key is at another revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	return c.put(ctx, key, value, url.Values{"revision": {strconv.FormatInt(revision, 10)}})
}

// CompareAndSwapLeased is like CompareAndSwap. The entry is deleted when the lease expires or is revoked.
func (c *Client) CompareAndSwapLeased(ctx context.Context, key string, value []byte, revision int64, lease string) (int64, error) {
	return c.put(ctx, key, value, url.Values{"revision": {strconv.FormatInt(revision, 10)}, "lease": {lease}})
}

func (c *Client) put(ctx context.Context, key string, value []byte, query url.Values) (int64, error) {
	r := request{method: http.MethodPut, path: keyPath + key, query: query, body: value, key: key, writes: true}
	return c.write(ctx, r)
}

// Delete deletes a key if it is at the given revision. It returns the store's revision after the deletion.
func (c *Client) Delete(ctx context.Context, key string, revision int64) (int64, error) {
	query := url.Values{"revision": {strconv.FormatInt(revision, 10)}}
	return c.write(ctx, request{method: http.MethodDelete, path: keyPath + key, query: query, key: key, writes: true})
}

// write sends a request that changes data and returns the revision in the response.
func (c *Client) write(ctx context.Context, r request) (int64, error) {
	c.Counts.Writes.Add(1)
	resp, err := c.do(ctx, r)
	if err != nil {
		return 0, err
	}
	switch resp.status {
	case http.StatusNotFound:
		return 0, &NotFoundError{Key: r.key}
	case http.StatusConflict:
		return 0, c.conflict(r, resp)
	case http.StatusRequestEntityTooLarge:
		return 0, &ValueTooLargeError{Key: r.key, Bytes: len(r.body)}
	}
	var w writeResult
	err = c.decode(r, resp, &w)
	return w.Revision, err
}

// conflict counts a refused write and returns its ConflictError.
func (c *Client) conflict(r request, resp response) error {
	c.Counts.Conflicts.Add(1)
	var current Entry
	if err := json.Unmarshal(resp.body, &current); err != nil {
		return c.unavailable(r, false, errors.Wrap(err, "store: decode conflict"))
	}
	return &ConflictError{Key: r.key, Current: current}
}
