package httpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"citronspread/rawserver"
)

// sendTo sends a request to a server that writes the given bytes in response and closes the connection. If kept is true, the
// connection has carried a request before. The bytes are written one by one if single is true.
func sendTo(t *testing.T, written string, kept, single bool) (*http.Response, string, error) {
	t.Helper()
	address := rawserver.Start(t, func(conn *net.TCPConn, request *http.Request, number int) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		if kept && number == 1 {
			_, err := io.WriteString(conn, wholeResponse)
			return err == nil
		}
		for len(written) > 0 && single {
			_, _ = io.WriteString(conn, written[:1])
			written = written[1:]
		}
		_, _ = io.WriteString(conn, written)
		return false
	})
	transport := newTransport(t)
	if kept {
		if _, got, err := send(t, transport, address, "x"); got != "ok" || err != nil {
			t.Fatalf("got %q, %v for the request before, want ok", got, err)
		}
	}
	return send(t, transport, address, "x")
}

// checkMalformed checks that the bytes are not taken for a response, on new and kept connections.
func checkMalformed(t *testing.T, written string) {
	t.Helper()
	for _, kept := range []bool{false, true} {
		response, body, err := sendTo(t, written, kept, false)
		if err == nil {
			t.Errorf("kept connection %v: got status %d, header %v, body %q for %q, want an error", kept, response.StatusCode, response.Header, body, written)
		}
	}
}

// TestMalformedStatusLine guards against malformed status lines that net/http accepts.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 99 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK",
		"HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20x OK", "HTTP/1.1 2 0 OK", "HTTP/1.1 ", "HTTP/1.1", "",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r",
		"HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK",
		" HTTP/1.1 200 OK", "ICY 200 OK",
	} {
		checkMalformed(t, line+"\r\nContent-Length: 4\r\n\r\nspam")
		checkMalformed(t, "HTTP/1.1 100 Continue\r\n\r\n"+line+"\r\nContent-Length: 4\r\n\r\nspam")
	}
}

// TestMalformedField guards against malformed fields that net/http accepts. Some of them hide the length of the body.
func TestMalformedField(t *testing.T) {
	for _, line := range []string{
		"X Spam: 1", "X-Spam : 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X-Spam\t: 1", "X\tSpam: 1", " X-Spam: 1", "\tX-Spam: 1",
		": 1", " : 1", ":", "Spam", "X-\x00Spam: 1", "X-\x01Spam: 1", "X-\x7fSpam: 1", "X-\rSpam: 1", "X-Spam\r: 1", "X-Späm: 1", "X(Spam): 1",
		"X-Spam: 1\x00", "X-Spam: \r1", "X-Spam: 1\r", "X-Spam: 1\x0b", "X-Spam: \x7f", "X-Spam: 1\r\n 2", "X-Spam: 1\r\n\t2", "X-Spam: 1\r\n ",
		"X-Spam:\r\n Content-Length: 400",
	} {
		const status = "HTTP/1.1 200 OK\r\n"
		checkMalformed(t, status+line+"\r\nContent-Length: 4\r\n\r\nspam")
		checkMalformed(t, status+"Content-Length: 4\r\n"+line+"\r\n\r\nspam")
		checkMalformed(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+status+"Content-Length: 4\r\n\r\nspam")
	}
	checkMalformed(t, "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nspam\r\n0\r\n\r\n")
	checkMalformed(t, "HTTP/1.1 200 OK\r\nX-Spam: "+strings.Repeat("x", maxHeadBytes)+"\r\nContent-Length: 4\r\n\r\nspam")
}

// TestWellFormedHeads guards against valid heads that are rejected, received as a whole or in single bytes.
func TestWellFormedHeads(t *testing.T) {
	const body = "whole"
	tests := []struct {
		head   string
		body   string // as sent, that of the test if empty
		status int
	}{
		{head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", status: 200},
		{head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: "5\r\nwhole\r\n0\r\n\r\n", status: 200},
		{head: "HTTP/1.1 200 OK\r\n\r\n", status: 200},
		{head: "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n", status: 200},
		{head: "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\n", status: 200},
		{head: "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", status: 200},
		{head: "HTTP/1.1 200 OK\nContent-Length: 5\n\n", status: 200},
		{head: "HTTP/1.1 503 Service Unavailable, for now\r\ncontent-length:5\r\nX-EMPTY:\r\nX-Empty: \t \r\n\r\n", status: 503},
		{head: "HTTP/1.1 299 \xe4\tx\r\nContent-Length: 5 \r\nX-Value: a\tb c:\xe4 \"d\"\r\nX_1!#$%&'*+-.^`|~: 1\r\n\r\n", status: 299},
		{head: "HTTP/1.1 999 Odd\r\nContent-Length: 5\r\n\r\n", status: 999},
		{head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", status: 200},
	}
	for _, tt := range tests {
		sent := tt.body
		if sent == "" {
			sent = body
		}
		for _, kept := range []bool{false, true} {
			for _, single := range []bool{false, true} {
				response, got, err := sendTo(t, tt.head+sent, kept, single)
				if err != nil || response.StatusCode != tt.status || got != body {
					t.Errorf("got %q, %v for %q, want status %d and %q", got, err, tt.head, tt.status, body)
				}
			}
		}
	}
}

// TestResponseBeforeItsRequest guards against a head that a connection has received before the request, and that belongs to
// no request.
func TestResponseBeforeItsRequest(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	conn := New(client, nil)
	defer conn.Close()
	go func() { _, _ = io.WriteString(server, wholeResponse) }()
	if _, err := conn.Read(make([]byte, 2*len(wholeResponse))); err != nil {
		t.Fatal(err)
	}
	if err := conn.CheckHead("a", http.StatusOK); err != nil {
		t.Errorf("got %v for the response to the request, want none", err)
	}
	conn.Begin()
	var malformed *MalformedHeadError
	if err := conn.CheckHead("a", http.StatusOK); !errors.As(err, &malformed) {
		t.Errorf("got %v for a response that came before the request, want a *MalformedHeadError", err)
	}
}
