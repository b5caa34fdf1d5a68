// Package rawserver provides servers for tests that send broken responses, which the server of net/http can't send.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Answer writes the response to a request whose head has been read. number counts the requests of the connection from 1. The
// connection is closed when it returns false.
type Answer func(conn *net.TCPConn, request *http.Request, number int) bool

// Start starts a server that ends with the test and returns its address, IP:port.
func Start(t testing.TB, answer Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), answer)
		}
	}()
	return listener.Addr().String()
}

func serve(conn *net.TCPConn, answer Answer) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil || !answer(conn, request, number) {
			return
		}
	}
}

// Reset closes a connection with a reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}

// Broken is a broken response.
type Broken struct {
	Name     string
	Bytes    string
	IsReset  bool // the connection is reset after the bytes
	IsSilent bool // nothing is sent after the bytes until the client closes the connection
}

// Write writes the response and closes the connection.
func (b Broken) Write(conn *net.TCPConn) {
	_, _ = io.WriteString(conn, b.Bytes) // the client may have closed the connection
	if b.IsSilent {
		_, _ = io.Copy(io.Discard, conn)
	}
	if b.IsReset {
		Reset(conn)
	}
	_ = conn.Close()
}

// BrokenResponses returns the malformed and the truncated forms of a response with a status such as "200 OK", fields that
// end in CRLF and a body.
func BrokenResponses(status, fields, body string) []Broken {
	return append(MalformedHeads(status, fields, body), TruncatedResponses(status, fields, body)...)
}

// MalformedHeads returns forms of a response with a malformed head and the whole body.
func MalformedHeads(status, fields, body string) []Broken {
	head := "HTTP/1.1 " + status + "\r\n" + fields
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return []Broken{
		{Name: "status 000", Bytes: "HTTP/1.1 000 OK\r\n" + fields + whole},
		{Name: "status of two digits", Bytes: "HTTP/1.1 +20 OK\r\n" + fields + whole},
		{Name: "two spaces before the status", Bytes: "HTTP/1.1  " + status + "\r\n" + fields + whole},
		{Name: "no response", Bytes: body + "\r\n\r\n"},
		{Name: "space in a name", Bytes: head + "X Spam: 1\r\n" + whole},
		{Name: "space before a colon", Bytes: head + "X-Spam : 1\r\n" + whole},
		{Name: "control byte in a name", Bytes: head + "X-\x01Spam: 1\r\n" + whole},
		{Name: "NUL in a value", Bytes: head + "X-Spam: \x00\r\n" + whole},
		{Name: "CR in a value", Bytes: head + "X-Spam: \r1\r\n" + whole},
		{Name: "no name", Bytes: head + ": 1\r\n" + whole},
		{Name: "no colon", Bytes: head + "X-Spam\r\n" + whole},
		{Name: "folded line", Bytes: head + "X-Spam: 1\r\n 2\r\n" + whole},
	}
}

// TruncatedResponses returns forms of a response that are truncated, by a graceful close and by a reset of the connection.
// Without a length or chunks a graceful close ends the response, so only a reset truncates it.
func TruncatedResponses(status, fields, body string) []Broken {
	head := "HTTP/1.1 " + status + "\r\n" + fields
	length, chunked := fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Transfer-Encoding: chunked\r\n"
	part := body[:len(body)/2]
	var responses []Broken
	for _, cut := range []Broken{
		{Name: "no byte"},
		{Name: "cut in the status line", Bytes: head[:len("HTTP/1.1 2")]},
		{Name: "cut in the head", Bytes: head + "X-Spam"},
		{Name: "cut after the head, with a length", Bytes: head + length + "\r\n"},
		{Name: "cut after the head, in chunks", Bytes: head + chunked + "\r\n"},
		{Name: "cut in the body, with a length", Bytes: head + length + "\r\n" + part},
		{Name: "cut in a chunk", Bytes: head + chunked + fmt.Sprintf("\r\n%x\r\n%s", len(body), part)},
		{Name: "cut between chunks", Bytes: head + chunked + fmt.Sprintf("\r\n%x\r\n%s\r\n", len(part), part)},
		{Name: "cut before the end of the chunks", Bytes: head + chunked + fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n", len(body), body)},
	} {
		reset := cut
		cut.Name, reset.Name = cut.Name+", closed", cut.Name+", reset"
		reset.IsReset = true
		responses = append(responses, cut, reset)
	}
	return append(responses,
		Broken{Name: "without a length, reset after the head", Bytes: head + "\r\n", IsReset: true},
		Broken{Name: "without a length, reset in the body", Bytes: head + "\r\n" + part, IsReset: true},
	)
}

// SilentResponses returns forms of a response whose server stops sending without closing the connection.
func SilentResponses(status, fields, body string) []Broken {
	head := "HTTP/1.1 " + status + "\r\n" + fields
	length, chunked := fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Transfer-Encoding: chunked\r\n"
	part := body[:len(body)/2]
	return []Broken{
		{Name: "silent before the response", IsSilent: true},
		{Name: "silent in the head", Bytes: head, IsSilent: true},
		{Name: "silent after the head, with a length", Bytes: head + length + "\r\n", IsSilent: true},
		{Name: "silent after the head, in chunks", Bytes: head + chunked + "\r\n", IsSilent: true},
		{Name: "silent after the head, without a length", Bytes: head + "\r\n", IsSilent: true},
		{Name: "silent in the body, with a length", Bytes: head + length + "\r\n" + part, IsSilent: true},
		{Name: "silent between chunks", Bytes: head + chunked + fmt.Sprintf("\r\n%x\r\n%s\r\n", len(part), part), IsSilent: true},
		{Name: "silent in the body, without a length", Bytes: head + "\r\n" + part, IsSilent: true},
		{Name: "silent after the body, in chunks", Bytes: head + chunked + fmt.Sprintf("\r\n%x\r\n%s\r\n", len(body), body), IsSilent: true},
		{Name: "silent after the body, without a length", Bytes: head + "\r\n" + body, IsSilent: true},
	}
}
