package httponce

import (
	"net"
	"sync"
)

// conn records whether a write of the current request was started.
type conn struct {
	net.Conn

	mu           sync.Mutex
	writeStarted bool
	aborted      bool
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
	c.writeStarted = false
}

// abort closes the connection, prevents further writes and reports whether a write was started.
func (c *conn) abort() bool {
	c.mu.Lock()
	writeStarted := c.writeStarted
	c.aborted = true
	c.mu.Unlock()
	c.Conn.Close()
	return writeStarted
}
