package main

import (
	"net"
	"sync"
	"time"
)

// linkMode is what a link does with connections.
type linkMode int

const (
	linkOpen   linkMode = iota
	linkSilent          // nothing is forwarded, and nothing is closed
	linkReset           // connections are reset, and new ones too
)

// link forwards TCP connections from its own address to a target, and can be cut.
type link struct {
	address string
	target  string

	mu       sync.Mutex
	mode     linkMode
	open     map[net.Conn]bool
	listener net.Listener
}

// newLink listens on an address.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, open: make(map[net.Conn]bool), listener: listener}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	if l.currentMode() == linkReset {
		abort(conn)
		return
	}
	upstream, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		abort(conn)
		return
	}
	l.mu.Lock()
	l.open[conn], l.open[upstream] = true, true
	l.mu.Unlock()
	go l.forward(upstream, conn)
	l.forward(conn, upstream)
	l.mu.Lock()
	delete(l.open, conn)
	delete(l.open, upstream)
	l.mu.Unlock()
}

// forward copies bytes in one direction until a side ends.
func (l *link) forward(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for l.currentMode() == linkSilent {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) currentMode() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// set changes the mode. linkReset also resets the open connections.
func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode != linkReset {
		return
	}
	for conn := range l.open {
		abort(conn)
	}
	clear(l.open)
}

func (l *link) close() {
	l.listener.Close()
	l.set(linkReset)
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	conn.Close()
}
