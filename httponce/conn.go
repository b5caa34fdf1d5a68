package httponce

import (
	"net"
	"sync"
)

// conn remembers whether a write was begun for the present request.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	sealed  bool
}

// Write refuses once the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin starts to watch the writes of the next request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal forbids further writes and reports whether any was begun.
func (c *conn) seal() bool {
	c.mu.Lock()
	written := c.written
	c.sealed = true
	c.mu.Unlock()
	c.Conn.Close()
	return written
}
