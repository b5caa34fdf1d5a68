package inbound

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestHeadScanner guards against heads whose end, lines or request ID are taken wrongly, however they are cut into reads.
func TestHeadScanner(t *testing.T) {
	tests := []struct {
		name, head, rest string
		lines            int64
		isEnded          bool
		id               string
	}{
		{"ordinary", "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: q-1\r\n\r\n", "body", 4, true, "q-1"},
		{"bare line feeds", "GET / HTTP/1.1\nrequest-ID:q-2\n\n", "\n\n", 3, true, "q-2"},
		{"empty lines before", "\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET", 5, true, ""},
		{"line of spaces", "GET / HTTP/1.1\r\n \r\n\r\n", "", 3, true, ""},
		{"no end", "GET / HTTP/1.1\r\nHost: a\r\n", "", 2, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				var s headScanner
				text := tt.head + tt.rest
				isWhole := true
				for len(text) > 0 {
					n := rapid.IntRange(1, len(text)).Draw(t, "n")
					isWhole = isWhole && n == len(text)
					s.scan([]byte(text[:n]))
					text = text[n:]
				}
				if s.size != int64(len(tt.head)) || s.lines != tt.lines || s.isEnded != tt.isEnded {
					t.Fatalf("got %+v, want %d bytes, %d lines and ended %t", s, len(tt.head), tt.lines, tt.isEnded)
				}
				if isWhole && s.id != tt.id {
					t.Fatalf("got ID %q, want %q", s.id, tt.id)
				}
			})
		})
	}
}

// TestHeadEstimate guards against heads that take more memory once they are parsed and copied than is reserved for them.
func TestHeadEstimate(t *testing.T) {
	const size = 16 << 10
	fill := func(line func(i int) string) string {
		head := []byte("GET /a/ HTTP/1.1\r\nHost: a\r\n")
		for i := 0; len(head) < size; i++ {
			head = append(head, line(i)...)
		}
		return string(append(head, "\r\n"...))
	}
	tests := []struct{ name, head string }{
		{"short lines", fill(func(i int) string { return fmt.Sprintf("%x:\r\n", i) })},
		{"short lines with values", fill(func(i int) string { return fmt.Sprintf("%x:%x\n", i, i) })},
		{"one odd line", fill(func(int) string { return "x-oDD: 1\r\n" })},
		{"one short line", fill(func(int) string { return "a:\n" })},
		{"continued lines", fill(func(int) string { return "a: b\r\n c\r\n" })},
		{"long lines", fill(func(i int) string { return fmt.Sprintf("x-%d: %s\r\n", i, strings.Repeat("l", 4000)) })},
		{"ordinary lines", fill(func(i int) string { return fmt.Sprintf("X-Ordinary-Name-%d: ordinary value %d\r\n", i, i) })},
		{"ordinary", "GET /a/ HTTP/1.1\r\nHost: a\r\nUser-Agent: b\r\nAccept: */*\r\nRequest-Id: 0123456789\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const heads = 50
			var s headScanner
			s.scan([]byte(tt.head))
			if !s.isEnded {
				t.Fatal("got no end of the head")
			}
			want := headBytes(s.size, s.lines)
			// What a host holds: the head that net/http parses, a copy without hop-by-hop fields, and one with those of the
			// backend server.
			held := make([][3]http.Header, heads)
			before := heapBytes()
			for i := range held {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(tt.head)))
				if err != nil {
					t.Fatal(err)
				}
				held[i] = [3]http.Header{r.Header, r.Header.Clone(), r.Header.Clone()}
			}
			got := (heapBytes() - before) / heads
			runtime.KeepAlive(held)
			t.Logf("%d bytes and %d lines take %d bytes, %d reserved", s.size, s.lines, got, want)
			if got > want {
				t.Errorf("got %d bytes, want at most %d", got, want)
			}
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
