package inbound

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"citronspread/memory"
	"citronspread/model"
)

// newHandlerServer starts a server with a handler of its own that holds at most maxBytes.
func newHandlerServer(t *testing.T, maxBytes int64, limits model.ConnectionLimits, handler http.HandlerFunc) *testServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{account: &memory.Account{MaxBytes: maxBytes}, address: raw.Addr().String()}
	listener := &Listener{Listener: raw, Account: s.account, Limits: func() model.ConnectionLimits { return limits }, Log: zap.NewNop(), Now: time.Now}
	server := &http.Server{Handler: handler}
	listener.Prepare(server)
	go func() { _ = server.Serve(listener) }() // returns when the test closes the server
	t.Cleanup(func() { server.Close() })
	return s
}

// stallTime is the time after which the small holders of these tests are stalled, whatever they sent before.
const stallTime = 5 * time.Second

// fillWithSmall opens holders of the size of ordinary requests until there is no memory for another one.
func fillWithSmall(a *memory.Account) error {
	for {
		h, err := a.Open(time.Now(), 10<<10, func(memory.DropReason) {})
		if err != nil {
			return err
		}
		h.Work()
	}
}

// TestCallersThatKeepBodiesBackAreDropped guards against connections that can't be dropped although the host waits for the
// rest of a body, which net/http reads after the response too. They would take the whole account for good.
func TestCallersThatKeepBodiesBackAreDropped(t *testing.T) {
	const limit = 1 << 20
	refuse := func(w http.ResponseWriter, r *http.Request) {
		if _, err := Begin(r, "q-1"); err == nil {
			w.WriteHeader(http.StatusNotFound)
		}
	}
	read := func(w http.ResponseWriter, r *http.Request) {
		q, err := Begin(r, "q-1")
		if err == nil {
			_, err = q.ReadBody(w, r, limit)
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	const chunked = testHead + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, text string
		handler    http.HandlerFunc
	}{
		{"refused before the body", testHead + "Content-Length: 100\r\n\r\n", refuse},
		{"refused before the chunks", chunked, refuse},
		{"refused for memory within the chunks", chunked + fmt.Sprintf("%x\r\n%s\r\n", limit/2, strings.Repeat("c", limit/2)) + fmt.Sprintf("%x\r\n%s", limit, strings.Repeat("c", limit/2)), read},
		{"asked to go on", testHead + "Expect: 100-continue\r\nContent-Length: 100\r\n\r\n", read},
		{"without a handler", "OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n", refuse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newHandlerServer(t, limit, model.ConnectionLimits{IdleTimeout: time.Minute}, tt.handler)
			c := s.conn(t)
			go func() { _, _ = c.Write([]byte(tt.text)) }() // the server may close the connection
			time.Sleep(stallTime)
			if err := fillWithSmall(s.account); !IsRefused(err) {
				t.Errorf("got %v, want a refusal once all memory is used", err)
			}
			if got := s.account.Usage(); got.Held[memory.Heads] > 0 {
				t.Errorf("got %+v, want the caller dropped, as it sends nothing", got)
			}
		})
	}
}

// TestBodyKeptBackTimesOut guards against connections that are kept for good, without pressure too, while net/http waits for the
// rest of a body after the response.
func TestBodyKeptBackTimesOut(t *testing.T) {
	s := newHandlerServer(t, 0, model.ConnectionLimits{}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = Begin(r, "q-1") // there is no limit
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := s.conn(t)
	c.send(testHead + "Content-Length: 100\r\n\r\n")
	const bodyTime, margin = 10 * time.Second, 3 * time.Second
	for end := time.Now().Add(bodyTime + margin); s.account.Usage().Connections > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got an open connection, want it closed after the time for a body")
		}
	}
}

// TestDroppedCallerEndsItsRequest guards against requests that go on, with all that they hold, after their memory was released
// because their caller was dropped. net/http does not notice the end of a connection behind whose request a byte has come.
func TestDroppedCallerEndsItsRequest(t *testing.T) {
	ended := make(chan struct{})
	s := newHandlerServer(t, 1<<20, model.ConnectionLimits{}, func(w http.ResponseWriter, r *http.Request) {
		q, err := Begin(r, "q-1")
		if err == nil {
			_, err = q.ReadBody(w, r, 1<<20)
		}
		if err != nil {
			t.Errorf("got %v, want the body", err)
		}
		select {
		case <-r.Context().Done():
			close(ended)
		case <-time.After(testTimeout):
		}
	})
	c := s.conn(t)
	c.send(testHead + "Content-Length: 3\r\n\r\nabc")
	time.Sleep(200 * time.Millisecond) // until the body is read
	c.send("G")
	time.Sleep(stallTime)
	if err := fillWithSmall(s.account); !IsRefused(err) {
		t.Errorf("got %v, want a refusal once all memory is used", err)
	}
	if got, want := s.account.Usage().Dropped, int64(1); got != want {
		t.Errorf("got %d dropped, want %d", got, want)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("got a request that goes on after its caller was dropped, want its context done")
	}
}

// TestPipelinedRequestHasNoDeadline guards against requests that are cancelled by the deadline of their head, which is set again
// when its last bytes arrive behind the previous request.
func TestPipelinedRequestHasNoDeadline(t *testing.T) {
	const headerTimeout = 300 * time.Millisecond
	s := newHandlerServer(t, 0, model.ConnectionLimits{HeaderTimeout: headerTimeout}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = Begin(r, "q-1") // there is no limit
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		case <-time.After(3 * headerTimeout):
		}
	})
	c := s.conn(t)
	c.send(testGet + strings.TrimSuffix(testGet, "\r\n"))
	for i, rest := range []string{"\r\n", ""} {
		if got, want := c.response().StatusCode, http.StatusOK; got != want {
			t.Errorf("got status %d for request %d, want %d", got, i, want)
		}
		c.send(rest)
	}
}

// TestReadResponseIsReleased guards against idle connections that count with a response that their callers have read. They
// would be dropped, and ordinary callers refused, for memory that nobody holds.
func TestReadResponseIsReleased(t *testing.T) {
	s := newHandlerServer(t, 0, model.ConnectionLimits{}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = Begin(r, "q-1") // there is no limit
		_, _ = w.Write(make([]byte, 200<<10))
	})
	c := s.conn(t)
	c.send(testGet)
	time.Sleep(100 * time.Millisecond) // the response is written before it is read
	c.response()
	s.awaitUsage(t, connectionBytes)
}

// TestTrailerIsNotKept guards against trailers of many short lines that are held for as long as their request is served.
func TestTrailerIsNotKept(t *testing.T) {
	trailers := make(chan http.Header, 1)
	s := newHandlerServer(t, 0, model.ConnectionLimits{}, func(w http.ResponseWriter, r *http.Request) {
		q, _ := Begin(r, "q-1") // there is no limit
		if _, err := q.ReadBody(w, r, 1<<20); err != nil {
			t.Errorf("got %v, want the body", err)
		}
		trailers <- r.Trailer
	})
	c := s.conn(t)
	c.send(testHead + "Trailer: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\na: 1\r\nb: 2\r\n\r\n")
	if got, want := c.response().StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got := <-trailers; len(got) > 0 {
		t.Errorf("got trailer %v, want none kept", got)
	}
}

// TestBytesBehindBodyAreAccounted guards against bytes behind a body that are received while its larger receive buffer is used and
// that count as nothing afterwards.
func TestBytesBehindBodyAreAccounted(t *testing.T) {
	const bodyBytes = 128 << 10
	served := make(chan struct{})
	s := newHandlerServer(t, 0, model.ConnectionLimits{}, func(w http.ResponseWriter, r *http.Request) {
		q, _ := Begin(r, "q-1") // there is no limit
		c := q.conn
		time.Sleep(200 * time.Millisecond) // in which the usual receive buffer is filled
		if _, err := q.ReadBody(w, r, bodyBytes); err != nil {
			t.Errorf("got %v, want the body", err)
		}
		time.Sleep(200 * time.Millisecond)
		behind := c.queued(unix.TIOCINQ)
		usage := c.listener.Account.Usage().Total
		if got, want := usage-bodyBytes, connectionBytes+requestBytes+queuedByteBytes*behind; got < want {
			t.Errorf("got %d bytes without the body, want at least %d for %d bytes behind it", got, want, behind)
		}
		close(served)
	})
	c := s.conn(t)
	go func() {
		_, _ = c.Write([]byte(testHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("b", bodyBytes+1<<20))) // not all of it is read
	}()
	select {
	case <-served:
	case <-time.After(testTimeout):
		t.Error("got no request, want one")
	}
}
