// Package httponce sends an HTTP request at most once and reports whether any byte of it may have been written.
package httponce

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	defaultDialTimeout = time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
)

// Client sends HTTP requests that the transport never replays.
type Client struct {
	DialTimeout     time.Duration
	IdlePerHost     int
	FreshConnection bool // open a connection for each request
	KeepAlive       net.KeepAliveConfig
	MaxIdle         int          // idle connections to all hosts together, 0 for no limit
	SocketBuffer    int          // size of the receive and send buffers of connections, 0 for that of the system
	Admit           func() error // called before a connection is opened, which fails with its error; may be nil
	Closed          func()       // called once for each admitted connection, when it is closed or could not be opened

	once      sync.Once
	transport *http.Transport
}

// Do sends the request at most once.
// The error is an *UnsentError or a *NoResponseError.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	c.once.Do(c.init)
	var lastConn *conn
	reused := false
	var beganAfter atomic.Int64
	start := time.Now()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			lastConn, _ = info.Conn.(*conn)
			reused = info.Reused
			lastConn.reset()
		},
		GotFirstResponseByte: func() { beganAfter.Store(int64(max(1, time.Since(start)))) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	// The transport never replays a request that has a body but no GetBody, whatever its method and headers.
	// On a fresh connection it replays nothing, so a request without a body stays as it is.
	request.GetBody = nil
	if !c.FreshConnection || request.ContentLength != 0 {
		request.Body = opaqueBody{request.Body}
	}
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if lastConn == nil || !lastConn.abort() {
		return nil, &UnsentError{Address: request.URL.Host, Err: err}
	}
	return nil, &NoResponseError{
		Address: request.URL.Host, Reused: reused, BeganAfter: time.Duration(beganAfter.Load()), Truncated: lastConn.isTruncated(), Elapsed: time.Since(start), Err: err,
	}
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
	if c.SocketBuffer > 0 {
		dialer.Control = c.setBuffers
	}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if c.Admit != nil {
				if err := c.Admit(); err != nil {
					return nil, err
				}
			}
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				c.countClosed()
				return nil, err
			}
			return &conn{Conn: raw, closed: c.countClosed}, nil
		},
		MaxIdleConns:           c.MaxIdle,
		DisableCompression:     true,
		DisableKeepAlives:      c.FreshConnection,
		MaxIdleConnsPerHost:    c.IdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// countClosed reports that an admitted connection is closed.
func (c *Client) countClosed() {
	if c.Closed != nil {
		c.Closed()
	}
}

// setBuffers sets the sizes of the socket buffers of a connection before it is opened.
func (c *Client) setBuffers(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, c.SocketBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, c.SocketBuffer),
		)
	})
	return errors.Join(err, optionErr)
}

// opaqueBody hides from the transport whether the body is empty or missing.
// The transport would replay some requests without a body.
type opaqueBody struct{ body io.ReadCloser }

func (b opaqueBody) Read(p []byte) (int, error) {
	if b.body == nil {
		return 0, io.EOF
	}
	return b.body.Read(p)
}

func (b opaqueBody) Close() error {
	if b.body == nil {
		return nil
	}
	return b.body.Close()
}
