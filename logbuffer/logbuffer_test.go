package logbuffer

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

func newTestLogger(w *blockedWriter) (*Buffer, *zap.Logger) {
	buffer := New(w)
	config := zap.NewProductionEncoderConfig()
	config.MessageKey = "event"
	return buffer, zap.New(buffer.Core(zaplogfmt.NewEncoder(config), zapcore.InfoLevel))
}

// TestBlockedOutput guards against log calls that block, or lose warnings, while the output is blocked. It logs three
// times as many lines as the buffer holds before the output accepts a write.
func TestBlockedOutput(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	buffer, log := newTestLogger(w)
	start := time.Now()
	for i := range 3 * maxLines {
		log.Info("sent", zap.Int("N", i))
		if i%100 == 0 {
			log.Warn("not served", zap.Int("N", i))
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("got %v for logging to a blocked output, want at most 2s", took)
	}
	if buffer.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	buffer.LogDropped(log)
	close(w.release)
	buffer.Close(5 * time.Second)
	if got, want := strings.Count(w.text(), `event="not served"`), (3*maxLines+99)/100; got != want {
		t.Errorf("got %d warnings, want %d", got, want)
	}
	if !strings.Contains(w.text(), "lines dropped") {
		t.Error("got no summary of the dropped lines")
	}
}

// TestLongLines guards against a buffer that long lines fill with more memory than is allowed while the output is blocked.
func TestLongLines(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	buffer, log := newTestLogger(w)
	long := strings.Repeat("l", 16<<10) // a path or ID that a caller chose
	for range 2 * maxBytes / len(long) {
		log.Info("no route", zap.String("Path", long))
		log.Warn("not served", zap.String("Request", long))
	}
	buffer.mu.Lock()
	held := 0
	for _, l := range buffer.lines {
		held += len(l.text)
	}
	if held != buffer.bytes || held > maxBytes {
		t.Errorf("got %d bytes held and %d counted, want the same and at most %d", held, buffer.bytes, maxBytes)
	}
	buffer.mu.Unlock()
	if buffer.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	close(w.release)
	buffer.Close(time.Second)
}

// TestWarningsAreLimited guards against callers that have a line written for each request, such as one that is not served.
func TestWarningsAreLimited(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	buffer, _ := newTestLogger(w)
	now := time.Unix(1_000_000, 0)
	for range 3 * maxPerSecond {
		buffer.put(now, "not served", true, []byte("line\n"))
	}
	buffer.put(now, "store lost", true, []byte("other\n"))
	buffer.put(now.Add(time.Second), "not served", true, []byte("later\n"))
	buffer.Close(time.Second)
	text := w.text()
	if got, want := strings.Count(text, "line\n"), maxPerSecond; got != want {
		t.Errorf("got %d lines of one event in a second, want %d", got, want)
	}
	if !strings.Contains(text, "other\n") || !strings.Contains(text, "later\n") {
		t.Error("got no line of another event or of the next second, want both")
	}
}

func TestLineFormat(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	buffer, log := newTestLogger(w)
	log.With(zap.String("Host", "h")).Info("started", zap.String("Zone", "a b"))
	buffer.Close(time.Second)
	if got := w.text(); !strings.Contains(got, `event=started Host=h Zone="a b"`) || !strings.HasSuffix(got, "\n") {
		t.Errorf("got %q, want a line with the event, Host and Zone that ends in a newline", got)
	}
}

func BenchmarkLine(b *testing.B) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	buffer, log := newTestLogger(w)
	defer buffer.Close(time.Second)
	for b.Loop() {
		log.Info("sent", zap.String("Request", "9c41d07be2a35f68"), zap.String("Backend", "i-7f3a91c2"), zap.Duration("Took", time.Millisecond), zap.Int("Status", 200))
	}
}
