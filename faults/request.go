package faults

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the caller API, and the value of runHeader for a request that was not run.
const (
	timeoutHeader     = "X-Timeout"
	runHeader         = "X-Citronspread-Run"
	idempotencyHeader = "Idempotency-Key"
	notRun            = "not-run"
)

const (
	maxResponseBytes = 4 << 20
	dialTimeout      = 2 * time.Second
)

// client opens a new connection for each request, so that no request fails on an idle connection that was closed, or is
// retried for that reason.
var client = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
}}

// response is the response to a request, or the error that it ended with.
type response struct {
	status int
	ran    string // value of runHeader
	body   []byte
	err    error
}

// send sends a request and reads the complete response. A nil GetBody keeps the transport from retrying it.
func send(ctx context.Context, req *http.Request) response {
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(timeoutHeader, requestTimeout.String())
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return response{status: resp.StatusCode, ran: resp.Header.Get(runHeader), body: body, err: err}
}

// failure returns the outcome of a failed request, or an empty outcome for a response with status 200.
func (r response) failure(ctx context.Context) outcome {
	var op *net.OpError
	switch {
	case r.err != nil && errors.As(r.err, &op) && op.Op == "dial":
		return outcomeNoConnection
	case r.err != nil && ctx.Err() != nil:
		return outcomeTimedOut
	case r.err != nil:
		return outcomeInterrupted
	case r.status == http.StatusOK:
		return ""
	case r.ran == notRun:
		return outcomeNotRun
	}
	return outcomeMaybeRun
}
