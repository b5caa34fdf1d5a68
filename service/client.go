// Package service calls plain services: HTTP services other than model engines.
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

// hopByHopHeaders are the hop-by-hop headers, which concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IncompleteResponseError means that the call may have run and that its response is incomplete.
type IncompleteResponseError struct {
	Address string
	Err     error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("service: no complete response from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Err }

// ResponseTooLargeError means that the call ran and that its response exceeds the limit.
type ResponseTooLargeError struct {
	Address string
	Limit   int64 // bytes
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("service: response from %s exceeds %d bytes", e.Address, e.Limit)
}

// Call is one call of a plain service.
type Call struct {
	Address string // IP:port
	Method  string
	Path    string // escaped, with the query
	Header  http.Header
	Body    []byte
	Earlier int // earlier sends of the call of which a byte may have reached a host
}

// Response is the complete response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services. It sends each call at most once.
type Client struct {
	IdempotentClient    *httponce.Client // for idempotent methods
	NonIdempotentClient *httponce.Client // for all other methods; opens a connection for each call
	MaxResponseBytes    int64            // longest response, in bytes
}

// NewClient returns a client with its own connections.
func NewClient(idlePerHost int, maxResponseBytes int64) *Client {
	return &Client{
		IdempotentClient:    &httponce.Client{IdlePerHost: idlePerHost},
		NonIdempotentClient: &httponce.Client{FreshConnection: true},
		MaxResponseBytes:    maxResponseBytes,
	}
}

// Do sends the call once. The error is an *httponce.UnsentError, an *IncompleteResponseError or a
// *ResponseTooLargeError.
func (c *Client) Do(ctx context.Context, call Call, idempotent bool) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, &httponce.UnsentError{Address: call.Address, Err: err}
	}
	request.Header = ForwardedHeader(call.Header)
	client := c.NonIdempotentClient
	if idempotent {
		client = c.IdempotentClient
	}
	response, err := client.Repeat(request, call.Earlier)
	if err != nil {
		return Response{}, c.failure(call, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.MaxResponseBytes+1))
	if err != nil {
		return Response{}, &IncompleteResponseError{Address: call.Address, Err: err}
	}
	if int64(len(body)) > c.MaxResponseBytes {
		return Response{}, &ResponseTooLargeError{Address: call.Address, Limit: c.MaxResponseBytes}
	}
	return Response{Status: response.StatusCode, Header: ForwardedHeader(response.Header), Body: body}, nil
}

func (c *Client) failure(call Call, err error) error {
	if _, unsent := err.(*httponce.UnsentError); unsent {
		return err
	}
	return &IncompleteResponseError{Address: call.Address, Err: err}
}

// ForwardedHeader returns a copy of the headers without the hop-by-hop headers.
func ForwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
