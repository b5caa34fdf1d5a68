// Package httpconn has connections and transports of HTTP/1 clients that detect what net/http passes on as a response
// although it is none: one that was cut off by a reset, and one with a malformed head.
package httpconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// statusLineStart begins each response. The version that follows does not matter here.
const statusLineStart = "HTTP/1."

// Conn is a client's connection that carries one request at a time. It checks the head of each response, tells a reset from an
// end in order, and records whether a write of the current request was started and whether the connection was lost within the
// first line of the response, which net/http reports as malformed, like bytes that are no response.
type Conn struct {
	net.Conn
	closed    func()
	closeOnce sync.Once
	writing   sync.Mutex // held during each write

	mu           sync.Mutex
	writeStarted bool
	aborted      bool
	start        []byte // of the response, no longer than statusLineStart
	lineEnded    bool   // the first line of the response is complete
	lost         bool   // a read failed
	isEnded      bool   // reads have seen the end of the connection
	writeFailure error  // shows that the connection was not ended in order, nil if no write has met one
	head         headScanner
}

// New returns a connection that uses raw. closed is called by the first Close and may be nil.
func New(raw net.Conn, closed func()) *Conn { return &Conn{Conn: raw, closed: closed} }

// Read returns io.EOF only if the other side has ended the connection. If a write has met a reset or another failure of the
// connection, the kernel reports the failure to that write alone, and reads see the end of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfReads()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.lost || err != nil
	c.head.scan(p[:n])
	if !c.lineEnded {
		c.start = append(c.start, p[:min(n, len(statusLineStart)-len(c.start))]...)
		c.lineEnded = bytes.IndexByte(p[:n], '\n') >= 0
	}
	return n, err
}

// endOfReads returns io.EOF if the other side has ended the connection in order, otherwise the failure that a write has met.
// Nothing can be received on the connection any more, so a write in progress is ended.
func (c *Conn) endOfReads() error {
	c.mu.Lock()
	c.isEnded = true
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes end as well
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeFailure != nil {
		return c.writeFailure
	}
	return io.EOF
}

// IsTruncated reports whether the connection was lost within the first line of a response.
func (c *Conn) IsTruncated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost && !c.lineEnded && len(c.start) > 0 && strings.HasPrefix(statusLineStart, string(c.start))
}

// Write fails once the connection is aborted, and with io.ErrUnexpectedEOF once the other side has ended it.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if !c.startWrite() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isConnectionFailure(err):
		c.writeFailure = err
	case c.isEnded && errors.Is(err, os.ErrDeadlineExceeded):
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// startWrite records that a write starts, unless the connection is aborted.
func (c *Conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = c.writeStarted || !c.aborted
	return !c.aborted
}

// isConnectionFailure reports whether a write failed because the other side did not end the connection in order. After an
// end in order, writes fail with EPIPE.
func isConnectionFailure(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	}
	return true
}

// Begin prepares the connection for the next request.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted, c.lineEnded, c.lost, c.start = false, false, false, c.start[:0]
	c.head.reset()
}

// CheckHead returns a *MalformedHeadError unless the response to the current request has a well-formed head with this status.
func (c *Conn) CheckHead(address string, status int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.check(address, status)
}

// Abort closes the connection, prevents further writes and reports whether a write of the current request was started.
func (c *Conn) Abort() bool {
	c.mu.Lock()
	writeStarted := c.writeStarted
	c.aborted = true
	c.mu.Unlock()
	c.Close()
	return writeStarted
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if c.closed != nil {
		c.closeOnce.Do(c.closed)
	}
	return err
}
