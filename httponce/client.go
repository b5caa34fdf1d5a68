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

	"citronspread/httpconn"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	// distrustFor is how long a server that closed a reused connection without a response gets a connection for each request
	// of a cautious client. Such a server closes idle connections sooner than the client.
	distrustFor  = 10 * time.Minute
	maxDistrusts = 1024
	// repeatPools is the number of pools of connections for repeats. The first has those of the second sends of requests, and so
	// on. Later sends open a connection each.
	repeatPools = 2
)

// Client sends HTTP requests that the transport never replays.
type Client struct {
	DialTimeout     time.Duration
	IdlePerHost     int
	IdleTotal       int           // idle connections to all servers, 0 for no limit
	IdleTimeout     time.Duration // age from which an idle connection is not used again, 0 for 30 s
	FreshConnection bool          // open a connection for each request
	// Cautious opens a connection for each request to a server that has closed a reused one without a response, for
	// distrustFor. Whether that request has run is not known, and it must not be sent again.
	Cautious     bool
	KeepAlive    net.KeepAliveConfig
	SocketBuffer int          // size of the receive and send buffers of connections, 0 for that of the system
	Admit        func() error // called before a connection is opened, which fails with its error; may be nil
	Closed       func()       // called once for each admitted connection, when it is closed or could not be opened

	once  sync.Once
	pools []*httpconn.Transport // by the number of earlier sends of a request
	fresh *httpconn.Transport   // without reuse, for servers that are distrusted and for the sends after those of the pools

	mu         sync.Mutex
	distrusted map[string]time.Time // by address: until when
}

// Do sends the first send of a request at most once.
// The error is an *UnsentError or a *NoResponseError.
func (c *Client) Do(request *http.Request) (*http.Response, error) { return c.Repeat(request, 0) }

// Repeat sends a request with an ID, of which there were earlier sends to any server, at most once. A connection carries one send of
// a request only: a server may send its response a second time, late, and the ID does not tell to which send it belongs.
// The error is an *UnsentError or a *NoResponseError.
func (c *Client) Repeat(request *http.Request, earlier int) (*http.Response, error) {
	c.once.Do(c.init)
	var lastConn *httpconn.Conn
	reused := false
	var beganAfter atomic.Int64
	start := time.Now()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			lastConn, _ = info.Conn.(*httpconn.Conn)
			reused = info.Reused
		},
		GotFirstResponseByte: func() { beganAfter.Store(int64(max(1, time.Since(start)))) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	transport, isFresh := c.fresh, true
	if earlier < len(c.pools) && !(c.Cautious && c.isDistrusted(start, request.URL.Host)) {
		transport, isFresh = c.pools[earlier], false
	}
	// The transport never replays a request that has a body but no GetBody, whatever its method and headers.
	// On a fresh connection it replays nothing, so a request without a body stays as it is.
	request.GetBody = nil
	if !isFresh || request.ContentLength != 0 {
		request.Body = opaqueBody{request.Body}
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if lastConn == nil || !lastConn.Abort() {
		return nil, &UnsentError{Address: request.URL.Host, Err: err}
	}
	if c.Cautious && reused && beganAfter.Load() == 0 && request.Context().Err() == nil {
		c.distrust(time.Now(), request.URL.Host)
	}
	return nil, &NoResponseError{
		Address: request.URL.Host, Reused: reused, BeganAfter: time.Duration(beganAfter.Load()), Truncated: lastConn.IsTruncated(), Elapsed: time.Since(start), Err: err,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	for _, pool := range c.pools {
		pool.CloseIdleConnections()
	}
}

// isDistrusted reports whether a server has closed a reused connection without a response.
func (c *Client) isDistrusted(now time.Time, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, found := c.distrusted[address]
	if found && now.After(until) {
		delete(c.distrusted, address)
	}
	return found && !now.After(until)
}

func (c *Client) distrust(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.distrusted == nil || len(c.distrusted) >= maxDistrusts {
		c.distrusted = make(map[string]time.Time)
	}
	c.distrusted[address] = now.Add(distrustFor)
}

func (c *Client) init() {
	c.fresh = c.newTransport(true, 0)
	if c.FreshConnection {
		return
	}
	// Repeats are few, so each of their pools gets an eighth of the idle connections.
	each := c.IdleTotal / 8
	c.pools = append(c.pools, c.newTransport(false, c.IdleTotal-repeatPools*each))
	for range repeatPools {
		if c.IdleTotal == 0 || each > 0 {
			c.pools = append(c.pools, c.newTransport(false, each))
		}
	}
}

// newTransport returns a transport that keeps up to idleTotal connections idle, any number if that is 0.
func (c *Client) newTransport(fresh bool, idleTotal int) *httpconn.Transport {
	dialer := &net.Dialer{Timeout: c.DialTimeout, KeepAliveConfig: c.KeepAlive}
	if dialer.Timeout == 0 {
		dialer.Timeout = defaultDialTimeout
	}
	idleTimeout := c.IdleTimeout
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	if c.SocketBuffer > 0 {
		dialer.Control = c.setBuffers
	}
	base := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if c.Admit != nil {
				if err := c.Admit(); err != nil {
					return nil, err
				}
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				c.countClosed()
			}
			return conn, err
		},
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConns:        idleTotal,
		MaxIdleConnsPerHost: c.IdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
	return httpconn.NewTransport(base, c.countClosed)
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
