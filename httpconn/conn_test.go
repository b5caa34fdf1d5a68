package httpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronspread/rawserver"
)

// largeBody is longer than what the socket buffers of both ends hold.
var largeBody = strings.Repeat("upload ", 2<<20)

// requestHead is the head of a request whose body is never complete.
const requestHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n"

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newTransport returns a transport whose idle connections are closed when the test ends.
func newTransport(t *testing.T) *Transport {
	transport := NewTransport(&http.Transport{}, nil)
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// send sends a request and reads the body of the response.
func send(t *testing.T, transport *Transport, address, body string) (response *http.Response, received string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.GetBody = nil // prevents http.Transport from sending the request again
	response, err = transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response, string(raw), err
}

// TestResetDuringWrite guards against a response without a length that is truncated by a reset and looks complete, because the
// reset was reported to the write of the request. The connection is new, or has carried a request before.
func TestResetDuringWrite(t *testing.T) {
	const rounds = 100
	for name, before := range map[string]int{"new connection": 0, "kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Start(t, func(conn *net.TCPConn, request *http.Request, number int) bool {
				if number <= before {
					_, _ = io.Copy(io.Discard, request.Body)
					_, err := io.WriteString(conn, wholeResponse)
					return err == nil
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(5 * time.Millisecond) // until the client has read it
				rawserver.Reset(conn)
				return false
			})
			transport, complete := newTransport(t), 0
			for range rounds {
				for range before {
					if _, got, err := send(t, transport, address, "x"); got != "ok" || err != nil {
						t.Fatalf("got %q, %v for the request before, want ok", got, err)
					}
				}
				if _, _, err := send(t, transport, address, largeBody); err == nil {
					complete++
				}
			}
			if complete != 0 {
				t.Errorf("got %d of %d truncated responses as complete, want 0", complete, rounds)
			}
		})
	}
}

// TestCloseDuringWrite guards against a response that is taken for truncated although its server has closed the connection
// gracefully, while the request is still being written.
func TestCloseDuringWrite(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		<-done // the rest of the request stays unread
		return false
	})
	for range 20 {
		if _, got, err := send(t, newTransport(t), address, largeBody); got != "whole" || err != nil {
			t.Fatalf("got %q, %v, want the whole response", got, err)
		}
	}
}

// TestResetAfterClose guards against a response that is taken for truncated although its server has closed the connection
// gracefully, because the write of the request got the reset that followed.
func TestResetAfterClose(t *testing.T) {
	reset := make(chan struct{})
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "whole")
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond) // until the client has received the close
		rawserver.Reset(conn)
		close(reset)
		return false
	})
	conn := dial(t, address)
	if _, err := io.WriteString(conn, requestHead); err != nil {
		t.Fatal(err)
	}
	<-reset
	time.Sleep(20 * time.Millisecond) // until the client has received the reset
	if _, err := io.WriteString(conn, "x"); !errors.Is(err, syscall.EPIPE) {
		t.Errorf("got %v from a write after the reset, want EPIPE", err)
	}
	if got, err := io.ReadAll(conn); string(got) != "whole" || err != nil {
		t.Errorf("got %q, %v, want the whole response", got, err)
	}
}

// failingConn is a connection whose writes fail and whose reads return its end.
type failingConn struct {
	net.Conn
	failure error
}

func (c failingConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c failingConn) Write([]byte) (int, error)        { return 0, c.failure }
func (c failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestReadAfterFailedWrite checks which errors of a write a read returns instead of the end of the connection.
func TestReadAfterFailedWrite(t *testing.T) {
	tests := []struct {
		failure, want error
	}{
		{failure: nil, want: io.EOF},
		{failure: syscall.EPIPE, want: io.EOF},
		{failure: net.ErrClosed, want: io.EOF},
		{failure: syscall.ECONNRESET, want: syscall.ECONNRESET},
		{failure: syscall.ETIMEDOUT, want: syscall.ETIMEDOUT},
		{failure: syscall.EHOSTUNREACH, want: syscall.EHOSTUNREACH},
	}
	for _, tt := range tests {
		conn := New(failingConn{failure: tt.failure}, nil)
		_, _ = conn.Write([]byte("x"))
		if _, got := conn.Read(make([]byte, 1)); !errors.Is(got, tt.want) {
			t.Errorf("got %v after a write that failed with %v, want %v", got, tt.failure, tt.want)
		}
	}
}

// TestWriteAfterClose guards against a write that fails with a timeout although the server has closed the connection.
func TestWriteAfterClose(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_ = conn.CloseWrite()
		<-done
		return false
	})
	conn := dial(t, address)
	if _, err := io.WriteString(conn, requestHead); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, largeBody)
		written <- err
	}()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v from a read, want EOF", err)
	}
	if err := <-written; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v from the write in progress, want an unexpected EOF", err)
	}
}

// dial returns a connection to a server.
func dial(t *testing.T, address string) *Conn {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn := New(raw, nil)
	t.Cleanup(func() { conn.Close() })
	return conn
}
