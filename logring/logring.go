// Package logring writes log lines without ever blocking those who log. Lines that come faster than they can be
// written, or than their kind may, are dropped and counted; lines about failures are kept longest.
package logring

import (
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the ring.
const (
	maxLines = 4096 // waiting to be written; about a megabyte
	// perSecond bounds the lines of one kind of event, well above what a host's requests bring.
	perSecond = 400
	// flushInterval gathers lines for one write.
	flushInterval = 50 * time.Millisecond
)

// Ring holds the lines that wait to be written.
type Ring struct {
	out io.Writer

	mu      sync.Mutex
	lines   []line
	dropped map[string]int // by event, since the last summary
	total   int64
	second  int64
	count   map[string]int // by event, in the present second
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

type line struct {
	text   []byte
	event  string
	urgent bool
}

// New returns a ring that writes to out.
func New(out io.Writer) *Ring {
	r := &Ring{
		out: out, dropped: make(map[string]int), count: make(map[string]int),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go r.write()
	return r
}

// Core returns a zap core that logs to the ring.
func (r *Ring) Core(encoder zapcore.Encoder, level zapcore.LevelEnabler) zapcore.Core {
	return &core{ring: r, encoder: encoder, LevelEnabler: level}
}

// Dropped returns the number of lines that were dropped since the start.
func (r *Ring) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Close writes what waits and ends the ring, for at most the time given.
func (r *Ring) Close(most time.Duration) {
	r.once.Do(func() { close(r.stop) })
	select {
	case <-r.done:
	case <-time.After(most):
	}
}

// put adds a line, or drops one.
func (r *Ring) put(now time.Time, event string, urgent bool, text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := now.Unix(); second != r.second {
		r.second = second
		clear(r.count)
	}
	r.count[event]++
	if !urgent && r.count[event] > perSecond {
		r.drop(event)
		return
	}
	if len(r.lines) >= maxLines {
		at := slices.IndexFunc(r.lines, func(l line) bool { return !l.urgent })
		if at < 0 {
			r.drop(event)
			return
		}
		r.drop(r.lines[at].event)
		r.lines = slices.Delete(r.lines, at, at+1)
	}
	r.lines = append(r.lines, line{text: text, event: event, urgent: urgent})
	if len(r.lines) == 1 {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// drop counts a dropped line. The caller holds the mutex.
func (r *Ring) drop(event string) {
	r.dropped[event]++
	r.total++
}

// write writes the lines in batches until the ring is closed.
func (r *Ring) write() {
	defer close(r.done)
	for {
		closing := false
		select {
		case <-r.wake:
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
		// Standard output is gone for good when a write fails; there is nowhere else to tell.
		_, _ = r.out.Write(batch)
	}
}

// takeDropped returns the counts since the last call.
func (r *Ring) takeDropped() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.dropped
	r.dropped = make(map[string]int)
	return taken
}

// Summarize logs how many lines were dropped since the last call, one line for each event.
func (r *Ring) Summarize(log *zap.Logger) {
	for event, count := range r.takeDropped() {
		log.Warn("lines dropped", zap.String("Event", event), zap.Int("Count", count))
	}
}

// core is a zap core that logs to a ring.
type core struct {
	zapcore.LevelEnabler
	ring    *Ring
	encoder zapcore.Encoder
}

// With adds fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{LevelEnabler: c.LevelEnabler, ring: c.ring, encoder: encoder}
}

// Check adds the core to an entry that it logs.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write hands a line to the ring.
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

// Sync does nothing: the ring writes by itself.
func (c *core) Sync() error { return nil }
