package standin

import (
	"slices"
	"time"

	"citronspread/model"
)

// chunkKind distinguishes tokens from the ways in which a stream ends.
type chunkKind int

const (
	chunkToken    chunkKind = iota
	chunkFinish             // all tokens have been generated
	chunkCancel             // the stream was cancelled
	chunkTruncate           // the stream ends without a finish reason
	chunkAbort              // the connection is closed before the stream ends
)

// chunk is a token or the end of a stream. Its from field is the stream whose token it carries, which differs from the
// receiving stream under the CrossAnswers fault.
type chunk struct {
	kind  chunkKind
	from  *stream
	index int
}

// stream is a completion request that is running or queued in the engine.
type stream struct {
	id         string
	key        model.ModelKey
	adapter    string
	prompt     string
	seed       uint64
	priority   int
	next       int       // index of the next token
	finishAt   int       // token index at which the stream finishes
	truncateAt int       // token index at which the stream is truncated, -1 for never
	readyAt    time.Time // end of the prefill
	chunks     chan chunk
}

// send queues a chunk without blocking. The channel has capacity for all chunks of the stream, so a slow reader does
// not delay other streams.
func (s *stream) send(c chunk) {
	select {
	case s.chunks <- c:
	default:
	}
}

// end queues the last chunk.
func (s *stream) end(kind chunkKind) { s.send(chunk{kind: kind, from: s, index: s.next}) }

// batch holds the running streams and the queue of waiting streams, which is sorted by priority number.
type batch struct {
	running  []*stream
	waiting  []*stream
	stepping bool
}

// enqueue inserts a stream after all waiting streams with the same or a lower priority number.
func (b *batch) enqueue(s *stream) {
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority > s.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, s)
}

// admit moves the first waiting stream into the batch and returns it. It returns nil if no stream waits or the batch is
// full.
func (b *batch) admit(capacity int) *stream {
	if len(b.waiting) == 0 || len(b.running) >= capacity {
		return nil
	}
	s := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.running = append(b.running, s)
	return s
}

// remove removes the matching streams, running or waiting.
func (b *batch) remove(match func(*stream) bool) {
	b.running = slices.DeleteFunc(b.running, match)
	b.waiting = slices.DeleteFunc(b.waiting, match)
}

// abort closes the connections of all streams of a model version and returns their number.
func (b *batch) abort(key model.ModelKey) int {
	n := 0
	b.remove(func(s *stream) bool {
		if s.key != key {
			return false
		}
		s.end(chunkAbort)
		n++
		return true
	})
	return n
}

// cancel cancels all streams with a request ID and returns their number.
func (b *batch) cancel(id string) int {
	n := 0
	b.remove(func(s *stream) bool {
		if s.id != id {
			return false
		}
		s.end(chunkCancel)
		n++
		return true
	})
	return n
}
