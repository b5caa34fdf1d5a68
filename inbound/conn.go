package inbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"citronspread/memory"
)

// Memory of a connection and of a request, and sizes of socket buffers. The kernel takes up to twice the size that is set.
const (
	// connectionBytes is for the buffers and the goroutine of an idle connection, and for what its caller may send before the
	// host can read it, or behind a request while that is served.
	connectionBytes = 24<<10 + unreadAllowance
	unreadAllowance = 32 << 10
	// requestBytes is the memory of goroutines and of the connection to the backend server.
	requestBytes = 32 << 10
	// receiveBuffer is the receive buffer outside of large bodies. With 16 KB, loopback connections wait for timers of 200 ms.
	receiveBuffer = 32 << 10
	sendBuffer    = 64 << 10
	// bodyReceiveBuffer is used while a large body is read. It carries 1.3 MB/s at a round trip of 100 ms.
	bodyReceiveBuffer = 128 << 10
	// queuedByteBytes is the memory that the kernel takes for a received byte at most.
	queuedByteBytes = 2
	// slowReaderBytes is how much a caller may leave unread before the receive buffer of the connection to the backend server
	// is taken to fill too, with backendUnreadBytes.
	slowReaderBytes    = 32 << 10
	backendUnreadBytes = 64 << 10
	// headStep is the unit in which memory for a head is reserved.
	headStep = 4 << 10
	// unreadInterval is the time between two looks at how much of a response an idle caller has not read.
	unreadInterval = 250 * time.Millisecond
	// writeStep is how much is written under one deadline.
	writeStep = 16 << 10
)

// BodyTimeout is how long a caller may take for the body of a request, also for one that is refused before it is read.
const BodyTimeout = 10 * time.Second

// Timeouts that apply where the desired state sets none.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// errRefused ends the read of a head that was refused. net/http sends no response of its own for errors of reads.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("inbound: head refused")}

// phase is what a connection does.
type phase int

const (
	idle    phase = iota // waits for a request
	heading              // reads a head
	serving              // serves a request, whose body may still have to be read
)

// Conn is a caller's connection. It reserves memory for a head before net/http gets its bytes, and bounds how long the caller
// may take for a head, stay idle or leave a response unread.
type Conn struct {
	net.Conn
	listener *Listener
	holder   *memory.Holder

	mu             sync.Mutex
	phase          phase
	head           headScanner
	headReserved   int64
	isRefused      bool      // a head was refused, and nothing more is read
	phaseDeadline  time.Time // for reads, by the phase
	serverDeadline time.Time // for reads, set by net/http
	isWaiting      bool      // for bytes from the caller, so that it may be dropped also after a write
	hasBehind      bool      // the caller has sent bytes behind its request
	headNeed       int64     // reserved for the head of the request that is served, without what is unread behind it
	unreadTimer    *time.Timer

	cancel atomic.Pointer[context.CancelFunc] // ends the requests of the connection, nil until net/http serves it

	// id is that of the request. It is read without the mutex, because another connection may hold its own while it has this
	// one dropped.
	id atomic.Pointer[string]
}

// Read reads from the caller.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.beginRead(time.Now()) {
		return 0, errRefused // net/http may read again after an error
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := c.listener.Now()
		c.holder.Progress(now, n)
		if len(p) == 1 {
			c.recordBehind(now)
		}
		if refusal := c.scan(now, p[:n]); refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

// beginRead sets the deadline of a read while the connection is idle. It reports whether the connection may be read.
func (c *Conn) beginRead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && c.phaseDeadline.IsZero() {
		c.phaseDeadline = now.Add(c.listener.idleTimeout())
		c.applyDeadline()
	}
	return !c.isRefused
}

// recordBehind records that the caller sends bytes behind its request: net/http reads a single byte only while it serves a
// request whose body is complete. The connection may be dropped from then on although its request is served.
func (c *Conn) recordBehind(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasBehind = true
	c.holder.Work() // the time that the connection was idle does not count
	c.wait(now)
}

// wait records that the host waits for bytes from the caller. c.mu must be held.
func (c *Conn) wait(now time.Time) {
	c.isWaiting = true
	c.holder.Wait(now)
}

// work records that the host does not wait for the caller, unless that has sent bytes behind its request. c.mu must be held.
func (c *Conn) work() {
	if !c.hasBehind {
		c.isWaiting = false
		c.holder.Work()
	}
}

// scan accounts for the bytes of a head. It returns an error if the head is refused.
func (c *Conn) scan(now time.Time, p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.phase, c.head, c.headReserved = heading, headScanner{}, 0
		c.phaseDeadline = time.Now().Add(c.listener.headerTimeout())
		c.applyDeadline()
		c.work() // the time that the connection was idle does not count for the head
		c.wait(now)
	}
	if c.phase != heading {
		return nil
	}
	c.head.scan(p)
	if c.head.size > c.listener.headerBytes()+headSlackBytes {
		c.listener.Log.Info("head over the limit", zap.String("Request", c.head.id), zap.Stringer("Remote", c.RemoteAddr()), zap.Int64("Bytes", c.head.size), zap.Int64("Limit", c.listener.headerBytes()))
		c.refuseHead(http.StatusRequestHeaderFieldsTooLarge)
		return errRefused
	}
	need := requestBytes + headBytes(c.head.size, c.head.lines)
	if need > c.headReserved {
		need = (need + headStep - 1) / headStep * headStep
		if err := c.holder.Set(now, memory.Heads, need); err != nil {
			c.listener.logRefusal(c, c.head.id, err)
			c.refuseHead(http.StatusServiceUnavailable)
			return errRefused
		}
		c.headReserved = need
	}
	if c.head.isEnded {
		// The connection waits for a body until beginRequest: net/http answers some requests itself, and reads their bodies.
		c.phase, c.phaseDeadline = serving, time.Now().Add(BodyTimeout)
		c.applyDeadline()
	}
	return nil
}

// refuseHead answers a head that was not passed on. c.mu must be held.
func (c *Conn) refuseHead(status int) {
	c.isRefused = true
	text := "HTTP/1.1 431 Request Header Fields Too Large\r\n"
	if status == http.StatusServiceUnavailable {
		text = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.00\r\n"
	}
	// The caller may have disconnected or be slow, which must not delay the close of the connection.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(text + "Connection: close\r\nContent-Length: 0\r\n\r\n"))
}

// refusalTimeout bounds the write of a refusal.
const refusalTimeout = 10 * time.Millisecond

// Write writes to the caller. It fails if the caller reads nothing for the idle timeout, or if there is no memory for what it
// leaves unread.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+writeStep)]
		now := c.listener.Now()
		unread := c.unread()
		if unread > slowReaderBytes {
			unread += backendUnreadBytes
		}
		if err := c.holder.Set(now, memory.Unread, unread+int64(len(part))); err != nil {
			c.listener.logRefusal(c, c.requestID(), err)
			c.drop()
			return written, err
		}
		c.holder.Wait(now)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.listener.idleTimeout())) // fails only on a closed connection, as does the write
		n, err := c.Conn.Write(part)
		c.holder.Progress(c.listener.Now(), n)
		c.endWrite()
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// endWrite records that the host no longer waits for the caller to read. It may still wait for a body, for which net/http has
// written that the caller may send it.
func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWaiting {
		c.holder.Work()
	}
}

// unread returns the bytes that were written and that the caller has not acknowledged.
func (c *Conn) unread() int64 { return c.queued(unix.TIOCOUTQ) }

// queued returns the length of a queue of the socket.
func (c *Conn) queued(request uint) int64 {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0 // closed
	}
	var n int
	// An error means that the connection is closed, and then nothing is queued.
	_ = control.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), request) })
	return int64(n)
}

// SetReadDeadline sets a deadline for reads. That of the phase remains.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.applyDeadline()
}

// SetDeadline sets the deadlines for reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline has no effect: Write sets a deadline for each part.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// applyDeadline sets the earlier deadline. c.mu must be held.
func (c *Conn) applyDeadline() error {
	t := c.serverDeadline
	if t.IsZero() || !c.phaseDeadline.IsZero() && c.phaseDeadline.Before(t) {
		t = c.phaseDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// beginRequest records the request that net/http has parsed. It returns an error if there is no memory for its head, which can
// have arrived together with the end of the previous request. A request with a body waits for it until endBody, or until net/http
// has read it after a response that does not need it.
func (c *Conn) beginRequest(id string, lines, size int64, hasBody bool) error {
	now := c.listener.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id.Store(&id)
	c.phase, c.phaseDeadline = serving, time.Time{}
	c.work()
	if hasBody {
		c.phaseDeadline = time.Now().Add(BodyTimeout)
		c.wait(now)
	}
	c.applyDeadline()
	c.headNeed = max(c.headReserved, requestBytes+headBytes(size, lines))
	return c.holder.Set(now, memory.Heads, c.headNeed+c.behind())
}

// behind returns the memory of what is unread behind the request, or of what has arrived of its body, without unreadAllowance.
func (c *Conn) behind() int64 {
	return max(0, c.queued(unix.TIOCINQ)-unreadAllowance) * queuedByteBytes
}

// endBody records that the body of the request is complete. It returns an error if there is no memory for what has arrived behind
// it through the larger receive buffer.
func (c *Conn) endBody() error {
	now := c.listener.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phaseDeadline = time.Time{}
	c.applyDeadline()
	c.work()
	return c.holder.Set(now, memory.Heads, c.headNeed+c.behind())
}

// endRequest releases what the host held for the request, once its response is written.
func (c *Conn) endRequest() {
	now := c.listener.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id.Store(nil)
	c.phase, c.phaseDeadline, c.headReserved, c.hasBehind = idle, time.Time{}, 0, false
	for _, kind := range []memory.Kind{memory.Heads, memory.Bodies, memory.Responses} {
		_ = c.holder.Set(now, kind, 0) // never fails, since it reserves nothing
	}
	c.releaseRead(now)
	c.wait(now)
}

// releaseRead releases what the caller has read of the latest response, now and every unreadInterval until nothing is left or the
// next request is served. c.mu must be held.
func (c *Conn) releaseRead(now time.Time) {
	unread := c.unread()
	_ = c.holder.Set(now, memory.Unread, unread) // never fails: less than before the latest write
	if unread == 0 {
		return
	}
	if c.unreadTimer != nil {
		c.unreadTimer.Reset(unreadInterval)
		return
	}
	c.unreadTimer = time.AfterFunc(unreadInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.phase != serving {
			c.releaseRead(c.listener.Now()) // of a closed connection nothing is left
		}
	})
}

func (c *Conn) requestID() string {
	if id := c.id.Load(); id != nil {
		return *id
	}
	return ""
}

// CloseWrite ends the response. net/http calls it before it closes a connection on which bytes may still arrive.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases everything that was held for it.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.endContext()
	c.holder.Close()
	return err
}

// endContext cancels the context of the request. net/http does so only if it reads the end of the connection, not
// once a byte has come behind the request.
func (c *Conn) endContext() {
	if cancel := c.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// drop ends the connection at once, with what the caller has not read. net/http closes it after that.
func (c *Conn) drop() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // discards the unread bytes; fails only on a closed connection
	}
	_ = c.Conn.Close() // a second close fails
	c.endContext()
}

// onDrop ends a connection that the account has dropped.
func (c *Conn) onDrop(reason memory.DropReason) {
	c.drop()
	c.listener.Log.Info("caller dropped for memory", zap.String("Request", c.requestID()), zap.Stringer("Remote", c.RemoteAddr()),
		zap.Int64("Connection", reason.Held[memory.Connections]), zap.Int64("Head", reason.Held[memory.Heads]),
		zap.Int64("Body", reason.Held[memory.Bodies]), zap.Int64("Response", reason.Held[memory.Responses]), zap.Int64("Unread", reason.Held[memory.Unread]),
		zap.Float64("BytesPerSecond", reason.Rate), zap.Duration("Waited", reason.Waited),
		zap.Int64("Held", reason.AllHeld), zap.Int64("Limit", reason.Limit))
}

// enlargeReceiveBuffer enlarges the receive buffer for a large body if there is memory for it. It returns the function that
// restores the usual size.
func (c *Conn) enlargeReceiveBuffer() (restore func()) {
	if err := c.holder.Reserve(c.listener.Now(), memory.Bodies, bodyReceiveBuffer); err != nil {
		return func() {} // the body is read through the usual buffer
	}
	c.setReceiveBuffer(bodyReceiveBuffer)
	return func() {
		c.setReceiveBuffer(receiveBuffer)
		c.holder.Release(memory.Bodies, bodyReceiveBuffer)
	}
}

// setReceiveBuffer sets the size of the receive buffer.
func (c *Conn) setReceiveBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size) // fails only on a closed connection, as the next read shows
	}
}
