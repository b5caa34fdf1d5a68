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
	runNot       = "not-run"
	timeoutSlack = 500 * time.Millisecond // beyond the deadline, before the caller gives up
)

// outcome is how a request ended.
type outcome string

// Outcomes.
const (
	outcomeWhole   outcome = "Whole"   // the whole answer, in time
	outcomeLate    outcome = "Late"    // the whole answer after the deadline
	outcomeRefused outcome = "Refused" // refused and not run
	outcomeFailed  outcome = "Failed"  // an error that says it may have run, also as the last event of a stream
	outcomeSilent  outcome = "Silent"  // no byte of an answer when the caller gave up
	outcomeCut     outcome = "Cut"     // under way when the caller gave up
	outcomeBroken  outcome = "Broken"  // ended without being whole
	outcomeWrong   outcome = "Wrong"   // an answer that isn't the request's own
)

// sample is one measured request. Times count from when it was due.
type sample struct {
	Arrival
	Cold    bool // no replica of its model was loaded when it was due
	Outcome outcome
	Reason  string        // of a refusal or failure
	First   time.Duration // to the first token, 0 when there was none
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

// call sends one request and checks its answer.
func (c *caller) call(ctx context.Context, a Arrival, dueAt time.Time, cold bool) sample {
	s := sample{Arrival: a, Cold: cold}
	class := c.classes[a.Class]
	ctx, cancel := context.WithDeadline(ctx, dueAt.Add(class.Timeout+timeoutSlack))
	defer cancel()
	got, ended := c.exchange(ctx, a, class)
	s.Total = time.Since(dueAt)
	if !got.firstAt.IsZero() {
		s.First = got.firstAt.Sub(dueAt)
	}
	s.Reason = got.reason
	s.Outcome = c.judge(a, class, got, ended, s.Total)
	return s
}

// judge compares the answer with what the engine generates for the request.
func (c *caller) judge(a Arrival, class Class, got answer, ended outcome, total time.Duration) outcome {
	switch {
	case ended != outcomeWhole:
		return ended
	case class.Service == "" && got.text != c.want(a):
		return outcomeWrong
	case class.Service != "" && !strings.Contains(got.text, prompt(a)):
		return outcomeWrong
	case total > class.Timeout:
		return outcomeLate
	}
	return outcomeWhole
}

func (c *caller) exchange(ctx context.Context, a Arrival, class Class) (answer, outcome) {
	request, err := c.request(ctx, a, class)
	if err != nil {
		return answer{}, outcomeBroken
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{reason: err.Error()}, givenUp(ctx, outcomeSilent)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refused := answer{reason: readReason(response)}
		if response.Header.Get(runHeader) == runNot {
			return refused, outcomeRefused
		}
		return refused, outcomeFailed
	}
	got, err := readAnswer(response.Body, class)
	var told *errorEvent
	switch {
	case errors.As(err, &told):
		got.reason = told.code
		return got, outcomeFailed
	case err != nil:
		got.reason = err.Error()
		return got, givenUp(ctx, outcomeCut)
	case !got.whole:
		return got, givenUp(ctx, outcomeCut)
	}
	return got, outcomeWhole
}

// givenUp returns what the outcome is when the caller's time is up, else Broken.
func givenUp(ctx context.Context, late outcome) outcome {
	if ctx.Err() != nil {
		return late
	}
	return outcomeBroken
}

func (c *caller) request(ctx context.Context, a Arrival, class Class) (*http.Request, error) {
	path, body := "/v1/chat/completions", c.body(a, class)
	if class.Service != "" {
		path, body = "/services/"+class.Service+"/bookings", prompt(a)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[a.Host]+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "measure")
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

func (c *caller) want(a Arrival) string {
	key := modelKey(a.Model).String()
	if a.Adapter >= 0 {
		key += "+" + adapterName(a.Adapter)
	}
	return standin.ExpectedText(key, prompt(a), a.Tokens)
}
