// Package hostlist is the client of the platform's list of live and leaving hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"citronspread/httpconn"
	"citronspread/model"

	"github.com/cockroachdb/errors"
)

const (
	zoneHeader       = "X-Zone"
	maxResponseBytes = 16 << 20
)

// HostsUnavailableError means that the host list could not be read.
type HostsUnavailableError struct {
	Cause error
}

func (e *HostsUnavailableError) Error() string {
	return fmt.Sprintf("hostlist: host list unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *HostsUnavailableError) Unwrap() error { return e.Cause }

// StatusError means that the platform responded with an unexpected status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("hostlist: unexpected status %d", e.Status) }

// HostList is the host list at a revision. Hosts is empty if the list has not changed since the requested revision.
type HostList struct {
	Revision int64
	Hosts    []model.Host
}

// Client reads the platform's host list.
type Client struct {
	Address         string // IP:port
	Zone            string
	HTTP            *http.Client // httpconn.DefaultClient if nil
	ReadCount       atomic.Int64 // including failed reads
	FailedReadCount atomic.Int64
}

// Hosts waits until the revision of the list differs from after, at most for timeout, and returns the list.
// The error is a *HostsUnavailableError.
func (c *Client) Hosts(ctx context.Context, after int64, timeout time.Duration) (HostList, error) {
	c.ReadCount.Add(1)
	hosts, err := c.read(ctx, after, timeout)
	if err != nil {
		c.FailedReadCount.Add(1)
		return HostList{}, &HostsUnavailableError{Cause: err}
	}
	return hosts, nil
}

func (c *Client) read(ctx context.Context, after int64, timeout time.Duration) (HostList, error) {
	query := url.Values{
		"after":   {strconv.FormatInt(after, 10)},
		"timeout": {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: "/v1/hosts", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return HostList{}, errors.Wrap(err, "hostlist: create request")
	}
	req.Header.Set(zoneHeader, c.Zone)

	resp, err := c.httpClient().Do(req)
	if err != nil {
		return HostList{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return HostList{}, &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return HostList{}, errors.Wrap(err, "hostlist: read response")
	}
	var hosts HostList
	err = json.Unmarshal(body, &hosts)
	return hosts, errors.Wrap(err, "hostlist: decode response")
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return httpconn.DefaultClient
	}
	return c.HTTP
}
