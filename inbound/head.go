package inbound

import (
	"bytes"
	"strings"
)

// Memory that the parsed head of a request takes: with its copies for backend servers a short line takes a map entry, strings
// and slices three times, whatever its length (TestHeadEstimate).
const (
	headLineBytes = 400
	headByteBytes = 4
	// headSlackBytes is accepted in addition to the limit of a head, as net/http does.
	headSlackBytes = 4 << 10
	maxIDLength    = 128
)

// headScanner counts the bytes and lines of a head while it arrives.
type headScanner struct {
	size      int64
	lines     int64
	lineBytes int    // of the current line, without line ends
	hasLine   bool   // a line that is not empty has arrived; empty ones before it are not the end of a head
	id        string // of the request, if its line came in one piece
	isEnded   bool
}

var requestIDField = []byte("request-id:")

// scan counts the bytes of a head in p. Bytes behind the end of the head are not counted.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.isEnded {
		line, rest, hasEnd := bytes.Cut(p, []byte("\n"))
		s.size += int64(len(line))
		if s.lineBytes == 0 && s.id == "" && len(line) > len(requestIDField) && bytes.EqualFold(line[:len(requestIDField)], requestIDField) {
			id := strings.TrimSpace(string(line[len(requestIDField):]))
			s.id = id[:min(len(id), maxIDLength)]
		}
		s.lineBytes += len(bytes.TrimRight(line, "\r"))
		if hasEnd {
			s.size++
			s.isEnded = s.lineBytes == 0 && s.hasLine
			s.hasLine = s.hasLine || s.lineBytes > 0
			s.lines++
			s.lineBytes = 0
		}
		p = rest
	}
}

// headBytes returns the estimated memory of a head once it is parsed.
func headBytes(size, lines int64) int64 { return size*headByteBytes + lines*headLineBytes }
