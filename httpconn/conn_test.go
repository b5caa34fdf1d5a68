package httpconn

import (
	"context"
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

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newHTTPTransport returns a transport with connections of this package.
func newHTTPTransport(t *testing.T) *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return New(raw, nil), nil
		},
	}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// send sends a request and returns the body of the response.
func send(t *testing.T, transport http.RoundTripper, address, body string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.GetBody = nil
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return string(received), err
}

// TestResetDuringWrite guards against a response without a length that is cut off by a reset, and that looks complete because
// the write of the request has taken the reset. The connection is new, or has carried a request before.
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
				_ = conn.SetLinger(0)
				return false
			})
			transport, complete := newHTTPTransport(t), 0
			for range rounds {
				for range before {
					if got, err := send(t, transport, address, "x"); got != "ok" || err != nil {
						t.Fatalf("got %q, %v for the request before, want ok", got, err)
					}
				}
				if _, err := send(t, transport, address, largeBody); err == nil {
					complete++
				}
			}
			if complete != 0 {
				t.Errorf("got %d of %d truncated responses as complete, want 0", complete, rounds)
			}
		})
	}
}

// TestEndDuringWrite guards against a response that is taken for truncated although its server has ended the connection in
// order, while the request is still being written.
func TestEndDuringWrite(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		<-done // the server still reads, but has no time for it
		return false
	})
	for range 20 {
		if got, err := send(t, newHTTPTransport(t), address, largeBody); got != "whole" || err != nil {
			t.Fatalf("got %q, %v, want the whole response", got, err)
		}
	}
}

// failingConn is a connection whose write fails and whose reads see its end.
type failingConn struct {
	net.Conn
	failure error
}

func (c failingConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c failingConn) Write([]byte) (int, error)        { return 0, c.failure }
func (c failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestEndBehindFailedWrite checks which failures of a write a read returns in place of the end of the connection.
func TestEndBehindFailedWrite(t *testing.T) {
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
			t.Errorf("got %v behind a write that failed with %v, want %v", got, tt.failure, tt.want)
		}
	}
}

// TestWriteBehindEnd guards against a write that fails as one that took too long when the server has ended the connection.
func TestWriteBehindEnd(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_ = conn.CloseWrite()
		<-done
		return false
	})
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn := New(raw, nil)
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, largeBody)
		written <- err
	}()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v from a read at the end, want EOF", err)
	}
	if err := <-written; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v from the write in progress, want an unexpected EOF", err)
	}
}
