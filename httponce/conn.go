package httponce

import (
	"bytes"
	"net"
	"strings"
	"sync"
)

// statusLineStart begins each response. The version that follows does not matter here.
const statusLineStart = "HTTP/1."

// conn records whether a write of the current request was started, and whether the connection was lost within the first
// line of the response. net/http reports such a line as malformed, like bytes that are no response.
type conn struct {
	net.Conn
	closed    func() // called by the first close, nil in tests
	closeOnce sync.Once

	mu           sync.Mutex
	writeStarted bool
	aborted      bool
	start        []byte // of the response, no longer than statusLineStart
	lineEnded    bool   // the first line of the response is complete
	lost         bool   // a read failed
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.lost || err != nil
	if !c.lineEnded {
		c.start = append(c.start, p[:min(n, len(statusLineStart)-len(c.start))]...)
		c.lineEnded = bytes.IndexByte(p[:n], '\n') >= 0
	}
	return n, err
}

// isTruncated reports whether the connection was lost within the first line of a response.
func (c *conn) isTruncated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost && !c.lineEnded && len(c.start) > 0 && strings.HasPrefix(statusLineStart, string(c.start))
}

// Write fails once the connection is aborted.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writeStarted = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// reset prepares the connection for the next request.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted, c.lineEnded, c.lost, c.start = false, false, false, c.start[:0]
}

// abort closes the connection, prevents further writes and reports whether a write was started.
func (c *conn) abort() bool {
	c.mu.Lock()
	writeStarted := c.writeStarted
	c.aborted = true
	c.mu.Unlock()
	c.Close()
	return writeStarted
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.closed != nil {
		c.closeOnce.Do(c.closed)
	}
	return err
}
