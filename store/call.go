package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// call is one call of the service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	key    string // named in errors
	writes bool
}

// answer is the answer to a call.
type answer struct {
	status int
	body   []byte
}

func (c *Client) do(ctx context.Context, l call) (answer, error) {
	target := url.URL{Scheme: "http", Host: c.Address, Path: l.path, RawQuery: l.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, l.method, target.String(), bytes.NewReader(l.body))
	if err != nil {
		return answer{}, errors.Wrap(err, "store: new request")
	}
	req.GetBody = nil
	req.Header.Set(zoneHeader, c.Zone)

	resp, err := c.httpClient().Do(req)
	if err != nil {
		return answer{}, c.unavailable(l, l.writes && !isDialError(err), err)
	}
	defer resp.Body.Close()

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, c.unavailable(l, l.writes, err)
	}
	return c.checkStatus(l, answer{status: resp.StatusCode, body: body})
}

// checkStatus passes on the statuses that mean something to a single call.
func (c *Client) checkStatus(l call, a answer) (answer, error) {
	switch a.status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusRequestEntityTooLarge:
		return a, nil
	case http.StatusTooManyRequests:
		c.Counts.RateLimited.Add(1)
		return answer{}, &RateLimitedError{Key: l.key}
	case http.StatusServiceUnavailable:
		return answer{}, c.unavailable(l, false, &StatusError{Status: a.status})
	default:
		return answer{}, c.unavailable(l, l.writes, &StatusError{Status: a.status})
	}
}

func (c *Client) unavailable(l call, ambiguous bool, cause error) error {
	c.Counts.Unavailable.Add(1)
	if ambiguous {
		c.Counts.Ambiguous.Add(1)
	}
	return &UnavailableError{Key: l.key, Ambiguous: ambiguous, Cause: cause}
}

// decode reads an answer of status 200.
func (c *Client) decode(l call, a answer, into any) error {
	if a.status != http.StatusOK {
		return c.unavailable(l, l.writes, &StatusError{Status: a.status})
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return c.unavailable(l, l.writes, errors.Wrap(err, "store: answer"))
	}
	return nil
}

// isDialError reports whether no connection was made, so that the call surely had no effect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
