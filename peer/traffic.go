package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and calls between entry hosts.
type Traffic struct {
	Received atomic.Int64 // bytes
	Sent     atomic.Int64 // bytes
	Calls    atomic.Int64 // calls made by this host
}

// countingListener counts the bytes of all accepted connections.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
