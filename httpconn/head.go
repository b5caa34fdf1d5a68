package httpconn

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// statusLineStart begins each response, followed by the minor version.
const statusLineStart = "HTTP/1."

const (
	// maxHeadBytes limits the head of a response, and that of each interim response before it.
	maxHeadBytes = 64 << 10
	// maxReportedBytes limits how much of a malformed line an error shows.
	maxReportedBytes = 80
	// statusLineLength is the length of a status line without its reason phrase.
	statusLineLength = len("HTTP/1.1 200")
)

// MalformedHeadError means that the bytes received for a request are not the head of an HTTP/1 response as defined by RFC 9112.
// The request may have run.
type MalformedHeadError struct {
	Address string // of the server
	Reason  string
	Line    string // beginning of the malformed line, empty if the error concerns no line
}

func (e *MalformedHeadError) Error() string {
	return fmt.Sprintf("httpconn: malformed response head from %s: %s: %q", e.Address, e.Reason, e.Line)
}

// headScanner checks the head of a response while it is received. It is stricter than net/http, which joins folded lines and
// accepts field names with spaces and any number of three characters as a status.
type headScanner struct {
	line      []byte // the current line as far as it is received
	size      int    // bytes of the head
	status    int    // 0 before the status line
	minor     byte   // minor version of HTTP/1, a digit
	isDone    bool   // the head is complete or malformed
	reason    string // why it is malformed, empty if it is well-formed
	malformed string // beginning of the malformed line
}

// reset prepares the scanner for the next response.
func (s *headScanner) reset() { *s = headScanner{} }

// isInStatusLine reports whether the beginning of a status line was received, but not its end.
func (s *headScanner) isInStatusLine() bool {
	start := s.line[:min(len(s.line), len(statusLineStart))]
	return !s.isDone && s.status == 0 && len(start) > 0 && strings.HasPrefix(statusLineStart, string(start))
}

// scan checks the next bytes that were received.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.isDone {
		end := bytes.IndexByte(p, '\n')
		rest := p[:0]
		if end >= 0 {
			p, rest = p[:end+1], p[end+1:]
		}
		s.size += len(p)
		switch {
		case s.size > maxHeadBytes:
			s.fail("longer than the limit", p)
		case end < 0:
			s.line = append(s.line, p...)
		case len(s.line) == 0:
			s.checkLine(p)
		default:
			s.checkLine(append(s.line, p...))
			s.line = nil
		}
		p = rest
	}
}

// checkLine checks a complete line, which includes its line feed.
func (s *headScanner) checkLine(line []byte) {
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	switch {
	case s.status == 0:
		s.checkStatusLine(line)
	case len(line) > 0:
		s.checkField(line)
	case s.status < http.StatusOK:
		s.status, s.size = 0, 0 // the final response follows an interim one
	default:
		s.isDone = true
	}
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK".
func (s *headScanner) checkStatusLine(line []byte) {
	if len(line) < statusLineLength || string(line[:len(statusLineStart)]) != statusLineStart || line[8] != ' ' {
		s.fail("not the status line of HTTP/1", line)
		return
	}
	minor, status, reason := line[7], line[9:statusLineLength], line[statusLineLength:]
	switch {
	case minor < '0' || minor > '9':
		s.fail("invalid version", line)
	case status[0] < '1' || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]):
		s.fail("status is not a number from 100 to 999", line)
	case len(reason) > 0 && reason[0] != ' ':
		s.fail("status is not a number from 100 to 999", line)
	case !httpguts.ValidHeaderFieldValue(string(reason)):
		s.fail("control byte in the reason phrase", line)
	default:
		s.minor = minor
		s.status = 100*int(status[0]-'0') + 10*int(status[1]-'0') + int(status[2]-'0')
		if s.status == http.StatusSwitchingProtocols {
			s.fail("protocol switch that was not requested", line)
		}
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// checkField checks a line such as "Name: value".
func (s *headScanner) checkField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.fail("folded line", line)
		return
	}
	name, value, hasColon := strings.Cut(string(line), ":")
	switch {
	case !hasColon:
		s.fail("field without colon", line)
	case !httpguts.ValidHeaderFieldName(name):
		s.fail("invalid field name", line)
	case !httpguts.ValidHeaderFieldValue(value):
		s.fail("control byte in a field value", line)
	case s.minor == '0' && strings.EqualFold(name, "Transfer-Encoding"):
		s.fail("transfer encoding in HTTP/1.0", line) // net/http ignores it and would return the chunks undecoded
	}
}

// fail records that the head is malformed.
func (s *headScanner) fail(reason string, line []byte) {
	s.isDone, s.reason, s.malformed = true, reason, string(line[:min(len(line), maxReportedBytes)])
}

// check returns a *MalformedHeadError unless a well-formed head of a final response with this status was received.
func (s *headScanner) check(address string, status int) error {
	switch {
	case s.reason != "":
		return &MalformedHeadError{Address: address, Reason: s.reason, Line: s.malformed}
	case !s.isDone || s.status != status:
		return &MalformedHeadError{Address: address, Reason: "received before the request"}
	}
	return nil
}
