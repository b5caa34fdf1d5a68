// Package engine is the client of model engines. Control sends orders and reads state, load and cache events;
// Streamer opens streamed completions.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"citronspread/httpconn"
	"citronspread/model"

	"github.com/cockroachdb/errors"
)

const (
	controlZoneHeader       = "X-Zone"
	maxControlResponseBytes = 16 << 20
)

// Outcome is an engine's result of an order.
type Outcome string

const (
	OutcomeDone    Outcome = "Done"
	OutcomeRefused Outcome = "Refused"
	OutcomeFailed  Outcome = "Failed"
)

// OrderResponse is an engine's response to an order.
type OrderResponse struct {
	Outcome Outcome
	Reason  string
}

// CacheEvent reports that an engine stored or evicted a cached prefix. Events arrive late, and some are lost.
type CacheEvent struct {
	Sequence int64
	Key      model.ModelKey
	Prefix   uint64 // hash of the prefix
	Stored   bool   // false: evicted
	At       time.Time
}

// CacheEventPage is a page of cache events. Missing sequence numbers mean lost events.
type CacheEventPage struct {
	Incarnation model.Incarnation
	Sequence    int64 // of the newest published event
	Events      []CacheEvent
}

// Control is the client of one engine's control API.
type Control struct {
	Address    string // IP:port
	Backend    string
	Zone       string        // of this entry host
	HTTP       *http.Client  // for all calls except orders; httpconn.DefaultClient if nil
	OrderDelay time.Duration // longest delay of an order; MaxOrderDelay if 0
}

// ControlStatusError means that an engine responded to a control call with an unexpected status.
type ControlStatusError struct {
	Backend string
	Status  int
}

func (e *ControlStatusError) Error() string {
	return fmt.Sprintf("engine: %s: control call got unexpected status %d", e.Backend, e.Status)
}

// Observe returns the engine's state: its memory, loaded models, checkpoints and load.
func (c *Control) Observe(ctx context.Context) (model.Observation, error) {
	var o model.Observation
	err := c.do(ctx, http.MethodGet, "/control/state", nil, nil, &o)
	return o, err
}

// ReadLoadReport returns the engine's report of its load, which may be out of date.
func (c *Control) ReadLoadReport(ctx context.Context) (model.LoadReport, error) {
	var report model.LoadReport
	err := c.do(ctx, http.MethodGet, "/control/load", nil, nil, &report)
	return report, err
}

// CacheEvents returns the cache events after a sequence number.
func (c *Control) CacheEvents(ctx context.Context, after int64) (CacheEventPage, error) {
	var page CacheEventPage
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	err := c.do(ctx, http.MethodGet, "/control/events", query, nil, &page)
	return page, err
}

// fenceRequest is the body of a fence call.
type fenceRequest struct {
	Term int64
}

// Fence presents a fencing token. An engine that checks fencing tokens refuses orders with lower ones from then on.
func (c *Control) Fence(ctx context.Context, term int64) error {
	return c.do(ctx, http.MethodPost, "/control/fence", nil, fenceRequest{Term: term}, nil)
}

// do makes a control call other than an order and decodes the response into out, unless out is nil.
func (c *Control) do(ctx context.Context, method, path string, query url.Values, body, out any) error {
	req, err := c.newRequest(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return errors.Wrapf(err, "engine: %s", c.Backend)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &ControlStatusError{Backend: c.Backend, Status: resp.StatusCode}
	}
	received, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "engine: %s: read response", c.Backend)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(received, out), "engine: %s: decode response", c.Backend)
}

func (c *Control) newRequest(ctx context.Context, method, path string, query url.Values, body any) (*http.Request, error) {
	payload := []byte{}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "engine: encode control request")
		}
		payload = encoded
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Wrap(err, "engine: create control request")
	}
	req.GetBody = nil // net/http resends a request with a body only if it can get the body again
	req.Header.Set(controlZoneHeader, c.Zone)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *Control) httpClient() *http.Client {
	if c.HTTP == nil {
		return httpconn.DefaultClient
	}
	return c.HTTP
}
