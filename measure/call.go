package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	maxAnswer    = 16 << 20               // bytes
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
	plan      Plan
	addresses []string
	client    *http.Client
}

// completion is the part of an answer that is checked.
type completion struct {
	Choices []choice  `json:"choices"`
	Error   *apiError `json:"error"`
}

type apiError struct {
	Code string `json:"code"`
}

type choice struct {
	Message      content `json:"message"`
	Delta        content `json:"delta"`
	FinishReason string  `json:"finish_reason"`
}

type content struct {
	Content string `json:"content"`
}

// errorEvent is the explicit end of a stream that can't be completed.
type errorEvent struct {
	code string
}

func (e *errorEvent) Error() string { return "measure: error event " + e.code }

// answer is what a caller read.
type answer struct {
	text    string
	whole   bool
	firstAt time.Time
	reason  string // why there is no whole answer
}

func newCaller(p Plan, addresses []string) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1_000, DisableCompression: true}
	return &caller{plan: p, addresses: addresses, client: &http.Client{Transport: transport}}
}

// call sends one request and checks its answer.
func (c *caller) call(ctx context.Context, a Arrival, dueAt time.Time, cold bool) sample {
	s := sample{Arrival: a, Cold: cold}
	class := c.plan.Classes[a.Class]
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

// readReason returns the code of an error, or the status when there is none.
func readReason(response *http.Response) string {
	var got completion
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&got)
	if err != nil || got.Error == nil {
		return response.Status
	}
	return got.Error.Code
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

func readAnswer(r io.Reader, class Class) (answer, error) {
	if class.Stream {
		return readStream(r)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxAnswer))
	if err != nil || class.Service != "" {
		return answer{text: string(body), whole: err == nil}, err
	}
	var whole completion
	if err := json.Unmarshal(body, &whole); err != nil || len(whole.Choices) != 1 {
		return answer{}, errors.New("measure: not a completion")
	}
	return answer{text: whole.Choices[0].Message.Content, whole: true, firstAt: time.Now()}, nil
}

// readStream reads server-sent events up to [DONE].
func readStream(r io.Reader) (answer, error) {
	var got answer
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			got.text = text.String()
			return got, nil
		}
		var chunk completion
		err := json.Unmarshal([]byte(data), &chunk)
		if err == nil && chunk.Error != nil {
			return got, &errorEvent{code: chunk.Error.Code}
		}
		if err != nil || len(chunk.Choices) == 0 {
			return got, errors.New("measure: not a chunk")
		}
		if got.firstAt.IsZero() {
			got.firstAt = time.Now()
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		got.whole = got.whole || chunk.Choices[0].FinishReason != ""
	}
	return answer{firstAt: got.firstAt, reason: "no [DONE]"}, lines.Err()
}
