package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Watch waits until a key that starts with prefix changes after the given revision. If nothing changes within
// timeout, it returns a Change without keys.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, timeout time.Duration) (Change, error) {
	c.Counts.Watches.Add(1)
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(after, 10)},
		"timeout": {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	r := request{method: http.MethodGet, path: "/v1/watch", query: query, key: prefix}
	resp, err := c.do(ctx, r)
	if err != nil {
		return Change{}, err
	}
	var change Change
	err = c.decode(r, resp, &change)
	return change, err
}
