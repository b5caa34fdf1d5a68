// Package engine is the adapter to model engines: control.go for orders and observation, stream.go for completions.
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

	"citronspread/model"

	"github.com/cockroachdb/errors"
)

const (
	controlZoneHeader     = "X-Zone"
	maxControlAnswerBytes = 16 << 20
)

// Outcome is how an engine ended an order.
type Outcome string

// Outcomes.
const (
	OutcomeDone    Outcome = "Done"
	OutcomeRefused Outcome = "Refused"
	OutcomeFailed  Outcome = "Failed"
)

// OrderAnswer is an engine's answer to an order.
type OrderAnswer struct {
	Outcome Outcome
	Reason  string
}

// CacheEvent tells that an engine stored or evicted a cached prefix. Events come late and with gaps.
type CacheEvent struct {
	Sequence int64
	Key      model.ModelKey
	Prefix   uint64 // hash of the prefix
	Stored   bool   // false: evicted
	At       time.Time
}

// EventPage is a page of cache events. Gaps in the sequence numbers are lost events.
type EventPage struct {
	Incarnation model.Incarnation
	Sequence    int64 // of the newest published event
	Events      []CacheEvent
}

// Control is the control side of one engine.
type Control struct {
	Address    string // IP:port
	Backend    string
	Zone       string        // of this entry host
	HTTP       *http.Client  // for all but orders; http.DefaultClient when nil
	OrderDelay time.Duration // bounds the delay of an order; LongestOrderDelay when 0
}

// ControlStatusError tells that an engine answered a control call with an unexpected status.
type ControlStatusError struct {
	Backend string
	Status  int
}

// Error implements error.
func (e *ControlStatusError) Error() string {
	return fmt.Sprintf("engine: %s: status %d", e.Backend, e.Status)
}

// Observe returns what the engine says of itself.
func (c *Control) Observe(ctx context.Context) (model.Observation, error) {
	var o model.Observation
	err := c.exchange(ctx, http.MethodGet, "/control/state", nil, nil, &o)
	return o, err
}

// Load returns the engine's late report of its load.
func (c *Control) Load(ctx context.Context) (model.LoadReport, error) {
	var report model.LoadReport
	err := c.exchange(ctx, http.MethodGet, "/control/load", nil, nil, &report)
	return report, err
}

// Events returns the cache events after a sequence number.
func (c *Control) Events(ctx context.Context, after int64) (EventPage, error) {
	var page EventPage
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	err := c.exchange(ctx, http.MethodGet, "/control/events", query, nil, &page)
	return page, err
}

// fence presents a fencing number.
type fence struct {
	Term int64
}

// Fence presents a fencing number. An engine that checks them refuses lower ones from then on.
func (c *Control) Fence(ctx context.Context, term int64) error {
	return c.exchange(ctx, http.MethodPost, "/control/fence", nil, fence{Term: term}, nil)
}

// exchange makes one control call that is not an order. A nil into ignores the answer's body.
func (c *Control) exchange(ctx context.Context, method, path string, query url.Values, body, into any) error {
	req, err := c.request(ctx, method, path, query, body)
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
	if into == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxControlAnswerBytes)).Decode(into)
	return errors.Wrapf(err, "engine: %s: answer", c.Backend)
}

func (c *Control) request(ctx context.Context, method, path string, query url.Values, body any) (*http.Request, error) {
	payload := []byte{}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "engine: encode")
		}
		payload = encoded
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Wrap(err, "engine: new request")
	}
	req.GetBody = nil
	req.Header.Set(controlZoneHeader, c.Zone)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *Control) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}
