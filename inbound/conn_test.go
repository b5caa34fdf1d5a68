package inbound

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/memory"
	"citronspread/model"
)

const testTimeout = 10 * time.Second

// testServer is an HTTP server behind a Listener.
type testServer struct {
	account *memory.Account
	address string

	mu      sync.Mutex
	bodies  [][]byte // of the requests that were served
	refused []error  // of the requests that were refused
}

// newTestServer starts a server that holds at most maxBytes and reads bodies of at most maxBody bytes.
func newTestServer(t *testing.T, maxBytes, maxBody int64, limits model.ConnectionLimits, respond func(w http.ResponseWriter)) *testServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{account: &memory.Account{MaxBytes: maxBytes}, address: raw.Addr().String()}
	listener := &Listener{Listener: raw, Account: s.account, Limits: func() model.ConnectionLimits { return limits }, Log: zap.NewNop(), Now: time.Now}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := Begin(r, r.Header.Get("Request-Id"))
		var body Body
		if err == nil {
			body, err = q.ReadBody(w, r, maxBody)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.refused = append(s.refused, err)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var read bytes.Buffer
		_, _ = body.WriteTo(&read) // never fails
		s.bodies = append(s.bodies, read.Bytes())
		if respond != nil {
			respond(w)
		}
	})}
	listener.Prepare(server)
	go func() { _ = server.Serve(listener) }() // returns when the test closes the server
	t.Cleanup(func() { server.Close() })
	return s
}

// conn opens a connection to the server.
func (s *testServer) conn(t *testing.T) *testConn {
	t.Helper()
	raw, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	if err := raw.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testConn{t: t, Conn: raw, reader: bufio.NewReader(raw)}
}

type testConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (c *testConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// response reads a response and returns it with its body read.
func (c *testConn) response() *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Fatal(err)
	}
	return response
}

// awaitClose checks that the server closes the connection without sending anything more.
func (c *testConn) awaitClose() {
	c.t.Helper()
	n, err := c.reader.Read(make([]byte, 1))
	var timeout net.Error
	if n > 0 || err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		c.t.Errorf("got %d bytes and %v, want a closed connection", n, err)
	}
}

const (
	testHead = "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: q-1\r\n"
	testGet  = "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: q-1\r\n\r\n"
)

// TestIdleTimeout guards against connections that are closed although their callers may still reuse them, and against ones
// that are kept for longer.
func TestIdleTimeout(t *testing.T) {
	const idleTimeout = 2 * time.Second
	s := newTestServer(t, 0, 0, model.ConnectionLimits{IdleTimeout: idleTimeout, HeaderTimeout: 100 * time.Millisecond}, nil)
	c := s.conn(t)
	for range 2 {
		time.Sleep(idleTimeout * 4 / 5) // longer than a head may take
		c.send(testGet)
		if got, want := c.response().StatusCode, http.StatusOK; got != want {
			t.Fatalf("got status %d, want %d", got, want)
		}
	}
	c.awaitClose()
}

// TestHeaderTimeout guards against heads that are sent so slowly that they never end.
func TestHeaderTimeout(t *testing.T) {
	s := newTestServer(t, 0, 0, model.ConnectionLimits{IdleTimeout: time.Minute, HeaderTimeout: 300 * time.Millisecond}, nil)
	for _, first := range []string{"", testGet} {
		c := s.conn(t)
		c.send(first)
		if first != "" {
			c.response()
		}
		c.send("GET / HTTP/1.1\r\n")
		go func() {
			for i := 0; ; i++ {
				if _, err := fmt.Fprintf(c, "X-%d: a\r\n", i); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		c.awaitClose()
	}
}

// TestHeadOverLimit guards against heads over the limit of the desired state, and against refusing those within it.
func TestHeadOverLimit(t *testing.T) {
	const limit = 16 << 10
	s := newTestServer(t, 0, 0, model.ConnectionLimits{HeaderBytes: limit}, nil)
	tests := []struct{ size, want int }{
		{limit, http.StatusOK},
		{limit + headSlackBytes + 1, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tt := range tests {
		c := s.conn(t)
		head := testGet[:len(testGet)-2] + "X-Long: "
		c.send(head + strings.Repeat("l", tt.size-len(head)-4) + "\r\n\r\n")
		if got := c.response().StatusCode; got != tt.want {
			t.Errorf("got status %d for a head of %d bytes, want %d", got, tt.size, tt.want)
		}
	}
}

// TestHeadRefused guards against heads for which memory is taken although there is none, and against several refusals of one.
func TestHeadRefused(t *testing.T) {
	s := newTestServer(t, 800<<10, 0, model.ConnectionLimits{}, nil)
	c := s.conn(t)
	c.send(testGet[:len(testGet)-2] + strings.Repeat("a:\r\n", 3000) + "\r\n") // refused in a later read than the first
	response := c.response()
	if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want || response.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want %d and a time", got, response.Header.Get("Retry-After"), want)
	}
	c.awaitClose()
	if got, want := s.account.Usage().Refused, int64(1); got != want {
		t.Errorf("got %d refusals, want %d", got, want)
	}
	s.awaitUsage(t, 0)
	c = s.conn(t)
	c.send(testGet)
	if got, want := c.response().StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d for an ordinary head, want %d", got, want)
	}
}

// awaitUsage waits until the account holds the bytes.
func (s *testServer) awaitUsage(t *testing.T, want int64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.account.Usage().Total == want {
			return
		}
	}
	t.Errorf("got %+v, want %d bytes held", s.account.Usage(), want)
}

// TestPipelinedHeads guards against heads that arrive together with the previous request and are not accounted for.
func TestPipelinedHeads(t *testing.T) {
	s := newTestServer(t, connectionBytes+requestBytes+unreadAllowance+20<<10, 0, model.ConnectionLimits{}, nil)
	c := s.conn(t)
	c.send(testGet + testGet[:len(testGet)-2] + strings.Repeat("a:\r\n", 500) + "\r\n")
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		if got := c.response().StatusCode; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	}
}

// TestBodies guards against bodies that differ from what was sent, that are taken for complete although they were cut off, or
// whose memory is not released.
func TestBodies(t *testing.T) {
	const limit = 300 << 10
	body := bytes.Repeat([]byte("0123456789abcde\n"), limit/16)
	chunked := func(b []byte, end string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", len(b), b, end)
	}
	sized := func(size int, b []byte) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, b) }
	tests := []struct {
		name, rest string
		want       []byte // nil if the request is not served
		isCutOff   bool
	}{
		{"none", "\r\n", []byte{}, false},
		{"small", sized(3, body[:3]), body[:3], false},
		{"of one piece", sized(pieceBytes, body[:pieceBytes]), body[:pieceBytes], false},
		{"largest", sized(limit, body), body, false},
		{"too large", sized(limit+1, append(body[:limit:limit], 'a')), nil, false},
		{"cut off", sized(limit, body[:limit-1]), nil, true},
		{"small, in chunks", chunked(body[:3], "0\r\n\r\n"), body[:3], false},
		{"largest, in chunks", chunked(body, "0\r\n\r\n"), body, false},
		{"too large, in chunks", chunked(append(body[:limit:limit], 'a'), "0\r\n\r\n"), nil, false},
		{"cut off, in chunks", chunked(body, ""), nil, true},
		{"first piece alone, cut off, in chunks", chunked(body[:firstPiece], ""), nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestServer(t, 2<<20, limit, model.ConnectionLimits{}, nil)
			c := s.conn(t)
			go func() {
				_, _ = io.WriteString(c, testHead+tt.rest) // the server may close the connection
				if tt.isCutOff {
					_ = c.Conn.(*net.TCPConn).CloseWrite()
				}
			}()
			status := c.response().StatusCode
			s.mu.Lock()
			defer s.mu.Unlock()
			if served := status == http.StatusOK; served != (tt.want != nil) || served && !bytes.Equal(s.bodies[0], tt.want) {
				t.Errorf("got status %d and %v, want served %t with %d bytes", status, s.refused, tt.want != nil, len(tt.want))
			}
			if tt.want != nil {
				s.awaitUsage(t, connectionBytes)
			} else {
				s.awaitUsage(t, 0)
			}
		})
	}
}

// TestBodyRefused guards against a body that is read although there is no memory for all of it.
func TestBodyRefused(t *testing.T) {
	const limit = 1 << 20
	s := newTestServer(t, limit, limit, model.ConnectionLimits{}, nil)
	c := s.conn(t)
	c.send(testHead + fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n\r\n", limit))
	if got, want := c.response().StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d without a demand for the body", got, want)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refused) != 1 || !IsRefused(s.refused[0]) {
		t.Errorf("got %v, want a refusal for memory", s.refused)
	}
}

// TestCallerThatDoesNotRead guards against responses that are held for a caller that never reads them.
func TestCallerThatDoesNotRead(t *testing.T) {
	failed := make(chan error, 1)
	s := newTestServer(t, 0, 0, model.ConnectionLimits{IdleTimeout: 500 * time.Millisecond}, func(w http.ResponseWriter) {
		_, err := w.Write(make([]byte, 64<<20))
		failed <- err
	})
	c := s.conn(t)
	c.send(testGet)
	select {
	case err := <-failed:
		if err == nil {
			t.Error("got a response written that nobody reads, want an error")
		}
	case <-time.After(testTimeout):
		t.Error("got no error of the write, want one after the idle timeout")
	}
	s.awaitUsage(t, 0)
}

// TestSlowReadersAreDropped guards against callers that do not read and keep the memory from others.
func TestSlowReadersAreDropped(t *testing.T) {
	const limit = 2 << 20
	s := newTestServer(t, limit, limit, model.ConnectionLimits{IdleTimeout: time.Minute}, func(w http.ResponseWriter) {
		_, _ = w.Write(make([]byte, 64<<20)) // fails when the caller is dropped
	})
	c := s.conn(t)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	c.send(testGet)
	for end := time.Now().Add(testTimeout); time.Now().Before(end) && s.account.Usage().Held[memory.Unread] < sendBuffer; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(4 * time.Second) // until the caller counts as stalled
	if err := fillAccount(s.account); !IsRefused(err) {
		t.Errorf("got %v, want a refusal once all memory is used", err)
	}
	if got, want := s.account.Usage().Dropped, int64(1); got != want {
		t.Errorf("got %d dropped, want %d, the caller that does not read", got, want)
	}
}

// fillAccount reserves memory until there is none.
func fillAccount(a *memory.Account) error {
	h, err := a.Open(time.Now(), 1, func(memory.DropReason) {})
	for err == nil {
		h.Work()
		err = h.Reserve(time.Now(), memory.Bodies, 10<<10)
	}
	return err
}
