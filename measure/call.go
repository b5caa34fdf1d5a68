package measure

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"citronspread/standin"
)

const (
	runHeader    = "X-Citronspread-Run"
	notRun       = "not-run"
	timeoutSlack = 500 * time.Millisecond // after the request's timeout, until the caller abandons the request
)

// outcome is the outcome of a request. The values are written to the result.
type outcome string

const (
	outcomeComplete    outcome = "Whole"   // complete response in time
	outcomeLate        outcome = "Late"    // complete response after the timeout
	outcomeRefused     outcome = "Refused" // refused without being run
	outcomeFailed      outcome = "Failed"  // error after which it may have run, also as the last event of a stream
	outcomeSilent      outcome = "Silent"  // no response had started when the caller abandoned it
	outcomeInterrupted outcome = "Cut"     // response in progress when the caller abandoned it
	outcomeIncomplete  outcome = "Broken"  // connection failed, or response ended early or could not be read
	outcomeWrong       outcome = "Wrong"   // response with other content than expected
)

// sample is a measured request. Its latencies count from its due time.
type sample struct {
	Arrival
	Cold    bool // no replica of its model was loaded when it was sent
	Outcome outcome
	Reason  string        // of a refusal or failure
	First   time.Duration // until the first token, 0 if there was none
	Total   time.Duration
}

// caller sends requests to entry hosts.
type caller struct {
	classes   []Class
	addresses []string
	client    *http.Client
}

func newCaller(classes []Class, addresses []string) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1_000, DisableCompression: true}
	return &caller{classes: classes, addresses: addresses, client: &http.Client{Transport: transport}}
}

// call sends a request and checks its response.
func (c *caller) call(ctx context.Context, a Arrival, dueAt time.Time, cold bool) sample {
	s := sample{Arrival: a, Cold: cold}
	class := c.classes[a.Class]
	ctx, cancel := context.WithDeadline(ctx, dueAt.Add(class.Timeout+timeoutSlack))
	defer cancel()
	got, result := c.send(ctx, a, class)
	s.Total = time.Since(dueAt)
	if !got.firstAt.IsZero() {
		s.First = got.firstAt.Sub(dueAt)
	}
	s.Reason = got.reason
	s.Outcome = c.checkResponse(a, class, got, result, s.Total)
	return s
}

// checkResponse returns the final outcome: it compares a complete response with the text that the stand-in generates for
// the request, and its latency with the timeout.
func (c *caller) checkResponse(a Arrival, class Class, got callerResponse, result outcome, total time.Duration) outcome {
	switch {
	case result != outcomeComplete:
		return result
	case class.Service == "" && got.text != c.expectedText(a):
		return outcomeWrong
	case class.Service != "" && !strings.Contains(got.text, prompt(a)):
		return outcomeWrong
	case total > class.Timeout:
		return outcomeLate
	}
	return outcomeComplete
}

// send sends a request and reads the response.
func (c *caller) send(ctx context.Context, a Arrival, class Class) (callerResponse, outcome) {
	request, err := c.request(ctx, a, class)
	if err != nil {
		return callerResponse{}, outcomeIncomplete
	}
	response, err := c.client.Do(request)
	if err != nil {
		return callerResponse{reason: err.Error()}, failureOutcome(ctx, outcomeSilent)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refused := callerResponse{reason: readReason(response)}
		if response.Header.Get(runHeader) == notRun {
			return refused, outcomeRefused
		}
		return refused, outcomeFailed
	}
	got, err := readResponse(response.Body, class)
	var event *errorEvent
	switch {
	case errors.As(err, &event):
		got.reason = event.code
		return got, outcomeFailed
	case err != nil:
		got.reason = err.Error()
		return got, failureOutcome(ctx, outcomeInterrupted)
	case !got.complete:
		return got, failureOutcome(ctx, outcomeInterrupted)
	}
	return got, outcomeComplete
}

// failureOutcome returns timedOut if the caller's deadline has passed, otherwise outcomeIncomplete.
func failureOutcome(ctx context.Context, timedOut outcome) outcome {
	if ctx.Err() != nil {
		return timedOut
	}
	return outcomeIncomplete
}

func (c *caller) request(ctx context.Context, a Arrival, class Class) (*http.Request, error) {
	path, body := "/v1/chat/completions", c.body(a, class)
	if class.Service != "" {
		path, body = "/services/"+class.Service+"/bookings", prompt(a)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[a.Host]+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "measure: create request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Timeout", class.Timeout.String())
	request.Header.Set("X-Priority", fmt.Sprint(class.Priority))
	if class.Service != "" {
		request.Header.Set("Idempotency-Key", prompt(a))
	}
	return request, nil
}

func (c *caller) body(a Arrival, class Class) string {
	name := modelKey(a.Model).String()
	if a.Adapter >= 0 {
		name += ":" + adapterName(a.Adapter)
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"temperature":0,"messages":[{"role":"user","content":%q}]}`,
		name, class.Stream, a.Tokens, prompt(a))
}

func prompt(a Arrival) string { return fmt.Sprintf("request %d", a.Number) }

// expectedText returns the text that a stand-in engine generates for a request.
func (c *caller) expectedText(a Arrival) string {
	key := modelKey(a.Model).String()
	if a.Adapter >= 0 {
		key += "+" + adapterName(a.Adapter)
	}
	return standin.ExpectedText(key, prompt(a), a.Tokens)
}
