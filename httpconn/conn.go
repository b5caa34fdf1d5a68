// Package httpconn provides connections and transports for HTTP/1 clients. They reject responses that net/http accepts: those
// truncated by a connection reset and those with a malformed head.
package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection that carries one request at a time. It checks the head of each response, distinguishes a reset
// from a graceful close, and records whether a write of the current request was started.
type Conn struct {
	net.Conn
	closed    func()
	closeOnce sync.Once
	writing   sync.Mutex // held during each write

	mu           sync.Mutex
	writeStarted bool
	aborted      bool
	lost         bool  // a read failed
	readsEnded   bool  // a read has returned the end of the connection
	writeFailure error // of the connection, reported by a write; nil after a graceful close
	head         headScanner
}

// New returns a connection that uses raw. closed is called by the first Close and may be nil.
func New(raw net.Conn, closed func()) *Conn { return &Conn{Conn: raw, closed: closed} }

// Read returns io.EOF only if the server has closed the connection gracefully. The kernel reports a reset or another failure of
// the connection to one call only: if that is a write, a read sees the end of the connection, and returns the error of the write.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfReads()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.lost || err != nil
	c.head.scan(p[:n])
	return n, err
}

// endOfReads returns io.EOF after a graceful close, otherwise the error that a write got. It ends a write in progress and waits
// for it, because that write may have got the error just now. No response can follow any more.
func (c *Conn) endOfReads() error {
	c.mu.Lock()
	c.readsEnded, c.lost = true, true // before a write can fail because of it
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes fail anyway
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeFailure != nil {
		return c.writeFailure
	}
	return io.EOF
}

// IsTruncated reports whether the connection was lost within the status line of a response. net/http reports such a line as
// malformed, like bytes that are not a response.
func (c *Conn) IsTruncated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost && c.head.isInStatusLine()
}

// Write fails once the connection is aborted, and with io.ErrUnexpectedEOF once a read has returned the end of the connection.
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
	case c.readsEnded && errors.Is(err, os.ErrDeadlineExceeded):
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

// isConnectionFailure reports whether a write failed because of a reset or another failure of the connection. After a graceful
// close of the server, writes fail with EPIPE, also if a reset follows.
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
	c.writeStarted, c.lost = false, false
	c.head.reset()
}

// CheckHead returns a *MalformedHeadError unless a well-formed head with this status was received since Begin.
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
