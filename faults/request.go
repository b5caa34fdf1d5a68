package faults

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the callers' side.
const (
	timeoutHeader     = "X-Timeout"
	ranHeader         = "X-Citronspread-Run"
	idempotencyHeader = "Idempotency-Key"
	notRun            = "not-run"
)

const (
	maxAnswerBytes = 4 << 20
	dialTimeout    = 2 * time.Second
)

// client opens a connection for each request, so that no request is repeated or fails on a connection that was idle.
var client = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
}}

// answer is what came back.
type answer struct {
	status int
	ran    string
	body   []byte
	err    error
}

// send makes a request and reads the whole answer.
func send(ctx context.Context, req *http.Request) answer {
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(timeoutHeader, requestTimeout.String())
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return answer{status: resp.StatusCode, ran: resp.Header.Get(ranHeader), body: body, err: err}
}

// failure returns how a request failed, empty for an answer with status 200.
func (a answer) failure(ctx context.Context) outcome {
	var op *net.OpError
	switch {
	case a.err != nil && errors.As(a.err, &op) && op.Op == "dial":
		return outcomeNoConnection
	case a.err != nil && ctx.Err() != nil:
		return outcomeTimedOut
	case a.err != nil:
		return outcomeCut
	case a.status == http.StatusOK:
		return ""
	case a.ran == notRun:
		return outcomeNotRun
	}
	return outcomeMaybeRun
}
