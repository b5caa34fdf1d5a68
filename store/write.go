package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// written is the answer to a write that took effect.
type written struct {
	Revision int64
}

// CompareAndSwap writes value when the key's revision is the given one, 0 for an absent key. It returns the new revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	return c.put(ctx, key, value, url.Values{"revision": {strconv.FormatInt(revision, 10)}})
}

// CompareAndSwapLeased is like CompareAndSwap. The entry is deleted when the lease ends.
func (c *Client) CompareAndSwapLeased(ctx context.Context, key string, value []byte, revision int64, lease string) (int64, error) {
	return c.put(ctx, key, value, url.Values{"revision": {strconv.FormatInt(revision, 10)}, "lease": {lease}})
}

func (c *Client) put(ctx context.Context, key string, value []byte, query url.Values) (int64, error) {
	l := call{method: http.MethodPut, path: keyPath + key, query: query, body: value, key: key, writes: true}
	return c.write(ctx, l)
}

// Delete deletes a key when its revision is the given one. It returns the store's revision after that.
func (c *Client) Delete(ctx context.Context, key string, revision int64) (int64, error) {
	query := url.Values{"revision": {strconv.FormatInt(revision, 10)}}
	return c.write(ctx, call{method: http.MethodDelete, path: keyPath + key, query: query, key: key, writes: true})
}

func (c *Client) write(ctx context.Context, l call) (int64, error) {
	c.Counts.Writes.Add(1)
	a, err := c.do(ctx, l)
	if err != nil {
		return 0, err
	}
	switch a.status {
	case http.StatusNotFound:
		return 0, &NotFoundError{Key: l.key}
	case http.StatusConflict:
		return 0, c.conflict(l, a)
	case http.StatusRequestEntityTooLarge:
		return 0, &ValueTooLargeError{Key: l.key, Bytes: len(l.body)}
	}
	var w written
	err = c.decode(l, a, &w)
	return w.Revision, err
}

func (c *Client) conflict(l call, a answer) error {
	c.Counts.Conflicts.Add(1)
	var current Entry
	if err := json.Unmarshal(a.body, &current); err != nil {
		return c.unavailable(l, false, errors.Wrap(err, "store: conflict"))
	}
	return &ConflictError{Key: l.key, Current: current}
}
