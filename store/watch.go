package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Watch waits until an entry under prefix changes after the given revision, at most for timeout.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, timeout time.Duration) (Change, error) {
	c.Counts.Watches.Add(1)
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(after, 10)},
		"timeout": {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	l := call{method: http.MethodGet, path: "/v1/watch", query: query, key: prefix}
	a, err := c.do(ctx, l)
	if err != nil {
		return Change{}, err
	}
	var change Change
	err = c.decode(l, a, &change)
	return change, err
}
