package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that pass between entry hosts.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
	Calls    atomic.Int64 // made by this host
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection, counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
