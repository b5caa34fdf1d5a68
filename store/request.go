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

// request is one request to the key-value service.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	key    string // key, prefix or lease that errors name
	writes bool   // the request may change data, so its outcome can be ambiguous
}

// response is the status and body of an HTTP response.
type response struct {
	status int
	body   []byte
}

// do sends a request once and returns the response if checkStatus accepts its status.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	target := url.URL{Scheme: "http", Host: c.Address, Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return response{}, errors.Wrap(err, "store: new request")
	}
	req.GetBody = nil // net/http resends requests only if it can get their body again; a write must not be sent twice
	req.Header.Set(zoneHeader, c.Zone)

	resp, err := c.httpClient().Do(req)
	if err != nil {
		return response{}, c.unavailable(r, r.writes && !isDialError(err), err)
	}
	defer resp.Body.Close()

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, c.unavailable(r, r.writes, err)
	}
	return c.checkStatus(r, response{status: resp.StatusCode, body: body})
}

// checkStatus returns responses whose status the calling method handles and turns any other status into an error.
func (c *Client) checkStatus(r request, resp response) (response, error) {
	switch resp.status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusRequestEntityTooLarge:
		return resp, nil
	case http.StatusTooManyRequests:
		c.Counts.RateLimited.Add(1)
		return response{}, &RateLimitedError{Key: r.key}
	case http.StatusServiceUnavailable:
		return response{}, c.unavailable(r, false, &StatusError{Status: resp.status})
	default:
		return response{}, c.unavailable(r, r.writes, &StatusError{Status: resp.status})
	}
}

// unavailable counts a failed request and returns its UnavailableError.
func (c *Client) unavailable(r request, ambiguous bool, cause error) error {
	c.Counts.Unavailable.Add(1)
	if ambiguous {
		c.Counts.Ambiguous.Add(1)
	}
	return &UnavailableError{Key: r.key, Ambiguous: ambiguous, Cause: cause}
}

// decode decodes the JSON body of a response with status 200 into the value that into points to.
func (c *Client) decode(r request, resp response, into any) error {
	if resp.status != http.StatusOK {
		return c.unavailable(r, r.writes, &StatusError{Status: resp.status})
	}
	if err := json.Unmarshal(resp.body, into); err != nil {
		return c.unavailable(r, r.writes, errors.Wrap(err, "store: decode response"))
	}
	return nil
}

// isDialError reports whether connecting to the service failed. The request was not sent then and had no effect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
