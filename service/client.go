// Package service is the adapter to plain services.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"citronspread/httponce"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// BrokenError means that the call may have run and its answer is not whole.
type BrokenError struct {
	Address string
	Err     error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("service: no whole answer from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// TooLargeError means that the call ran and its answer is over the limit.
type TooLargeError struct {
	Address string
	Limit   int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("service: answer from %s is over %d bytes", e.Address, e.Limit)
}

// Call is one call of a plain service.
type Call struct {
	Address string // IP:port
	Method  string
	Path    string // escaped, with the query
	Header  http.Header
	Body    []byte
}

// Answer is the whole answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services, each call at most once.
type Client struct {
	Repeatable  *httponce.Client // for idempotent methods
	Once        *httponce.Client // for all others, with fresh connections
	AnswerBytes int64            // longest answer
}

// NewClient returns a client with connections of its own.
func NewClient(idlePerHost int, answerBytes int64) *Client {
	return &Client{
		Repeatable:  &httponce.Client{IdlePerHost: idlePerHost},
		Once:        &httponce.Client{FreshConnection: true},
		AnswerBytes: answerBytes,
	}
}

// Do sends the call once. The error is an *httponce.UnsentError, a *BrokenError or a *TooLargeError.
func (c *Client) Do(ctx context.Context, call Call, idempotent bool) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, &httponce.UnsentError{Address: call.Address, Err: err}
	}
	request.Header = ForwardedHeader(call.Header)
	client := c.Once
	if idempotent {
		client = c.Repeatable
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, c.failure(call, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.AnswerBytes+1))
	if err != nil {
		return Answer{}, &BrokenError{Address: call.Address, Err: err}
	}
	if int64(len(body)) > c.AnswerBytes {
		return Answer{}, &TooLargeError{Address: call.Address, Limit: c.AnswerBytes}
	}
	return Answer{Status: response.StatusCode, Header: ForwardedHeader(response.Header), Body: body}, nil
}

func (c *Client) failure(call Call, err error) error {
	if _, unsent := err.(*httponce.UnsentError); unsent {
		return err
	}
	return &BrokenError{Address: call.Address, Err: err}
}

// ForwardedHeader returns the headers without those that concern one connection only.
func ForwardedHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}
