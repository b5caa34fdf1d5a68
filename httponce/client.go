// Package httponce sends an HTTP request at most once and tells whether a byte of it was written.
package httponce

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	defaultDialTimeout = time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
)

// Client sends requests without any hidden replay.
type Client struct {
	DialTimeout     time.Duration
	IdlePerHost     int
	FreshConnection bool // dial for each request
	KeepAlive       net.KeepAliveConfig

	once      sync.Once
	transport *http.Transport
}

// Do sends the request at most once.
// The error is an *UnsentError or a *BrokenError.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	c.once.Do(c.init)
	var last *conn
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		last, _ = info.Conn.(*conn)
		reused = info.Reused
		last.begin()
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	// A body without GetBody is never replayed by the transport, whatever the method and headers,
	// and on a connection of its own nothing is replayed at all.
	request.GetBody = nil
	if !c.FreshConnection || request.ContentLength != 0 {
		request.Body = onceBody{request.Body}
	}
	begun := time.Now()
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if last == nil || !last.seal() {
		return nil, &UnsentError{Address: request.URL.Host, Err: err}
	}
	return nil, &BrokenError{Address: request.URL.Host, Reused: reused, Took: time.Since(begun), Err: err}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

func (c *Client) init() {
	dialer := &net.Dialer{Timeout: c.DialTimeout, KeepAliveConfig: c.KeepAlive}
	if dialer.Timeout == 0 {
		dialer.Timeout = defaultDialTimeout
	}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      c.FreshConnection,
		MaxIdleConnsPerHost:    c.IdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// onceBody hides the kind of the body from the transport, also when there is none.
type onceBody struct{ body io.ReadCloser }

func (b onceBody) Read(p []byte) (int, error) {
	if b.body == nil {
		return 0, io.EOF
	}
	return b.body.Read(p)
}

func (b onceBody) Close() error {
	if b.body == nil {
		return nil
	}
	return b.body.Close()
}
