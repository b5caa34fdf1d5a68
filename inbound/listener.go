// Package inbound bounds what callers make a host hold: a listener whose connections reserve memory for heads before net/http
// parses them, and bodies that are read into reserved memory. Package memory decides what is refused and who is dropped.
package inbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"citronspread/memory"
	"citronspread/model"
)

// Listener accepts callers' connections within an account. The exported fields must be set before use.
type Listener struct {
	net.Listener
	Account *memory.Account
	// Limits returns the limits of the desired state in force. Fields that are zero have defaults.
	Limits func() model.ConnectionLimits
	Log    *zap.Logger
	Now    func() time.Time
}

// Accept returns the next connection for which there is memory and a descriptor. It closes others at once, so that none waits
// in the kernel with what its caller has sent.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			// Errors mean that the connection is closed already, as the next read shows.
			_ = tcp.SetReadBuffer(receiveBuffer)
			_ = tcp.SetWriteBuffer(sendBuffer)
		}
		c := &Conn{Conn: raw, listener: l}
		holder, err := l.Account.Open(l.Now(), connectionBytes, c.onDrop)
		if err != nil {
			l.logRefusal(c, "", err)
			c.drop()
			continue
		}
		c.holder = holder
		return c, nil
	}
}

// LimitBacklog bounds the connections that are not accepted yet. The kernel answers no others until there is room. Without it,
// what their callers send is received although no holder accounts for it.
func (l *Listener) LimitBacklog(connections int) error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok || connections <= 0 {
		return nil
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("inbound: backlog: %w", err)
	}
	var listenErr error
	err = control.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), connections) }) // a second call changes the backlog
	if err := errors.Join(err, listenErr); err != nil {
		return fmt.Errorf("inbound: backlog: %w", err)
	}
	return nil
}

// logRefusal logs a refusal. The log buffer bounds the lines of one event per second.
func (l *Listener) logRefusal(c *Conn, id string, err error) {
	fields := []zap.Field{zap.String("Request", id), zap.Stringer("Remote", c.RemoteAddr())}
	var refused *memory.RefusedError
	if errors.As(err, &refused) {
		fields = append(fields, zap.Stringer("Kind", refused.Kind), zap.Int64("Bytes", refused.Bytes), zap.Int64("Held", refused.Held), zap.Int64("Limit", refused.Limit))
	}
	l.Log.Info("refused for memory", append(fields, zap.Error(err))...)
}

func (l *Listener) headerTimeout() time.Duration {
	if d := l.Limits().HeaderTimeout; d > 0 {
		return d
	}
	return defaultHeaderTimeout
}

func (l *Listener) idleTimeout() time.Duration {
	if d := l.Limits().IdleTimeout; d > 0 {
		return d
	}
	return defaultIdleTimeout
}

func (l *Listener) headerBytes() int64 {
	if n := l.Limits().HeaderBytes; n > 0 {
		return int64(n)
	}
	return defaultHeaderBytes
}

// Prepare sets up an HTTP server for connections of the listener. The timeouts and the limit of heads of the server are left
// to the connections, which know the desired state in force.
func (l *Listener) Prepare(server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, conn)
		c, ok := conn.(*Conn)
		if !ok {
			return ctx
		}
		ctx, cancel := context.WithCancel(ctx)
		c.cancel.Store(&cancel)
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
}

// maxHeaderBytes is above any limit that a desired state sets. net/http reads that much and 4 KB of a head at most.
const maxHeaderBytes = 1 << 20

type connKey struct{}

// connOf returns the connection of a request, nil if it does not come from a Listener.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
