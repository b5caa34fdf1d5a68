// Package logring writes log lines without blocking the goroutines that log them. It drops and counts lines that exceed
// the rate limit of their event or arrive faster than the output takes them. Lines of level Warn and above have no rate
// limit and are dropped last.
package logring

import (
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxLines limits the lines waiting to be written; they take about a megabyte.
	maxLines = 4096
	// maxPerSecond is the rate limit of one event, well above the rate that a host's requests cause.
	maxPerSecond = 400
	// flushInterval is how long lines are collected for one write.
	flushInterval = 50 * time.Millisecond
)

// Ring is a bounded buffer of log lines with a goroutine that writes them to the output.
type Ring struct {
	out io.Writer

	mu      sync.Mutex
	lines   []line
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

// New returns a ring that writes to out.
func New(out io.Writer) *Ring {
	r := &Ring{
		out: out, dropped: make(map[string]int), counts: make(map[string]int),
		pending: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go r.writeLoop()
	return r
}

// Core returns a zap core that logs to the ring.
func (r *Ring) Core(encoder zapcore.Encoder, level zapcore.LevelEnabler) zapcore.Core {
	return &core{ring: r, encoder: encoder, LevelEnabler: level}
}

// Dropped returns the number of lines dropped since the start.
func (r *Ring) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Close writes the remaining lines and stops the ring. It waits at most timeout for that, as the output may be blocked.
func (r *Ring) Close(timeout time.Duration) {
	r.once.Do(func() { close(r.stop) })
	select {
	case <-r.done:
	case <-time.After(timeout):
	}
}

// put adds a line if its event is within the rate limit. If the buffer is full, it drops the oldest line below level
// Warn instead, or the new line if there is none.
func (r *Ring) put(now time.Time, event string, warning bool, text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := now.Unix(); second != r.second {
		r.second = second
		clear(r.counts)
	}
	r.counts[event]++
	if !warning && r.counts[event] > maxPerSecond {
		r.drop(event)
		return
	}
	if len(r.lines) >= maxLines {
		i := slices.IndexFunc(r.lines, func(l line) bool { return !l.warning })
		if i < 0 {
			r.drop(event)
			return
		}
		r.drop(r.lines[i].event)
		r.lines = slices.Delete(r.lines, i, i+1)
	}
	r.lines = append(r.lines, line{text: text, event: event, warning: warning})
	if len(r.lines) == 1 {
		select {
		case r.pending <- struct{}{}:
		default:
		}
	}
}

// drop counts a dropped line. The caller must hold r.mu.
func (r *Ring) drop(event string) {
	r.dropped[event]++
	r.total++
}

// writeLoop writes the lines in batches until the ring is closed.
func (r *Ring) writeLoop() {
	defer close(r.done)
	for {
		closing := false
		select {
		case <-r.pending:
			select {
			case <-time.After(flushInterval):
			case <-r.stop:
			}
		case <-r.stop:
			closing = true
		}
		r.flush()
		if closing {
			return
		}
	}
}

// flush writes all waiting lines at once.
func (r *Ring) flush() {
	r.mu.Lock()
	lines := r.lines
	r.lines = nil
	r.mu.Unlock()
	var batch []byte
	for _, l := range lines {
		batch = append(batch, l.text...)
	}
	if len(batch) > 0 {
		// The error is ignored: standard output does not recover, and there is no other place to report it.
		_, _ = r.out.Write(batch)
	}
}

// takeDropped returns the dropped lines by event since the last call and resets the counts.
func (r *Ring) takeDropped() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.dropped
	r.dropped = make(map[string]int)
	return taken
}

// Summarize logs the number of lines dropped since the last call, one line per event.
func (r *Ring) Summarize(log *zap.Logger) {
	for event, count := range r.takeDropped() {
		log.Warn("lines dropped", zap.String("Event", event), zap.Int("Count", count))
	}
}

// core is a zapcore.Core that writes to a ring.
type core struct {
	zapcore.LevelEnabler
	ring    *Ring
	encoder zapcore.Encoder
}

// With returns a core that adds fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{LevelEnabler: c.LevelEnabler, ring: c.ring, encoder: encoder}
}

// Check adds the core to checked if the level of the entry is enabled.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write encodes an entry and adds the line to the ring.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buffer, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	text := slices.Clone(buffer.Bytes())
	buffer.Free()
	c.ring.put(e.Time, e.Message, e.Level >= zapcore.WarnLevel, text)
	return nil
}

// Sync does nothing, because the ring writes its lines in the background.
func (c *core) Sync() error { return nil }
