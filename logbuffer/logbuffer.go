// Package logbuffer writes log lines without blocking the goroutines that log them. It drops and counts lines that
// exceed the rate limit of their event or arrive faster than the output takes them. Lines of level Warn and above are
// dropped last when the output is too slow. They have the same rate limit, because callers cause some of them.
package logbuffer

import (
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxLines limits the lines waiting to be written; of the usual length they take about a megabyte.
	maxLines = 4096
	// maxBytes limits their length, since callers choose a part of it.
	maxBytes = 2 << 20
	// maxPerSecond is the rate limit of one event, well above the rate that a host's requests cause.
	maxPerSecond = 400
	// flushInterval is how long lines are collected for one write.
	flushInterval = 50 * time.Millisecond
)

// Buffer is a bounded buffer of log lines with a goroutine that writes them to the output.
type Buffer struct {
	out io.Writer

	mu      sync.Mutex
	lines   []line
	bytes   int            // length of lines
	dropped map[string]int // by event, since the last summary
	total   int64          // dropped lines since the start
	second  int64          // Unix time that counts is for
	counts  map[string]int // lines by event in that second
	pending chan struct{}  // signals that there are lines to write
	stop    chan struct{}  // closed by Close
	done    chan struct{}  // closed once the last lines are written
	once    sync.Once
}

type line struct {
	text    []byte
	event   string
	warning bool // level Warn or above
}

// New returns a buffer that writes to out.
func New(out io.Writer) *Buffer {
	b := &Buffer{
		out: out, dropped: make(map[string]int), counts: make(map[string]int),
		pending: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.writeLoop()
	return b
}

// Core returns a zap core that logs to the buffer.
func (b *Buffer) Core(encoder zapcore.Encoder, level zapcore.LevelEnabler) zapcore.Core {
	return &core{buffer: b, encoder: encoder, LevelEnabler: level}
}

// Dropped returns the number of lines dropped since the start.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Close writes the remaining lines and stops the buffer. It waits at most timeout for that, as the output may be
// blocked.
func (b *Buffer) Close(timeout time.Duration) {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}

// put adds a line if its event is within the rate limit. If the buffer is full, it drops the oldest line below level
// Warn instead, or the new line if there is none.
func (b *Buffer) put(now time.Time, event string, warning bool, text []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second = second
		clear(b.counts)
	}
	b.counts[event]++
	if b.counts[event] > maxPerSecond {
		b.drop(event)
		return
	}
	for len(b.lines) >= maxLines || b.bytes+len(text) > maxBytes {
		i := slices.IndexFunc(b.lines, func(l line) bool { return !l.warning })
		if i < 0 {
			b.drop(event)
			return
		}
		b.drop(b.lines[i].event)
		b.bytes -= len(b.lines[i].text)
		b.lines = slices.Delete(b.lines, i, i+1)
	}
	b.lines = append(b.lines, line{text: text, event: event, warning: warning})
	b.bytes += len(text)
	if len(b.lines) == 1 {
		select {
		case b.pending <- struct{}{}:
		default:
		}
	}
}

// drop counts a dropped line. b.mu must be held.
func (b *Buffer) drop(event string) {
	b.dropped[event]++
	b.total++
}

// writeLoop writes the lines in batches until the buffer is closed.
func (b *Buffer) writeLoop() {
	defer close(b.done)
	for {
		closing := false
		select {
		case <-b.pending:
			select {
			case <-time.After(flushInterval):
			case <-b.stop:
			}
		case <-b.stop:
			closing = true
		}
		b.flush()
		if closing {
			return
		}
	}
}

// flush writes all waiting lines at once.
func (b *Buffer) flush() {
	b.mu.Lock()
	lines := b.lines
	b.lines, b.bytes = nil, 0
	b.mu.Unlock()
	var batch []byte
	for _, l := range lines {
		batch = append(batch, l.text...)
	}
	if len(batch) > 0 {
		// The error is ignored: standard output does not recover, and there is no other place to report it.
		_, _ = b.out.Write(batch)
	}
}

// takeDropped returns the dropped lines by event since the last call and resets the counts.
func (b *Buffer) takeDropped() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.dropped
	b.dropped = make(map[string]int)
	return taken
}

// LogDropped logs the number of lines dropped since the last call, one line per event.
func (b *Buffer) LogDropped(log *zap.Logger) {
	for event, count := range b.takeDropped() {
		log.Warn("lines dropped", zap.String("Event", event), zap.Int("Count", count))
	}
}

// core is a zapcore.Core that writes to a buffer.
type core struct {
	zapcore.LevelEnabler
	buffer  *Buffer
	encoder zapcore.Encoder
}

// With returns a core that adds fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{LevelEnabler: c.LevelEnabler, buffer: c.buffer, encoder: encoder}
}

// Check adds the core to checked if the level of the entry is enabled.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write encodes an entry and adds the line to the buffer.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buffer, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	text := slices.Clone(buffer.Bytes())
	buffer.Free()
	c.buffer.put(e.Time, e.Message, e.Level >= zapcore.WarnLevel, text)
	return nil
}

// Sync does nothing, because the buffer writes its lines in the background.
func (c *core) Sync() error { return nil }
