package standin

import (
	"slices"
	"time"

	"citronspread/model"
)

// chunkKind tells what a chunk means to its stream.
type chunkKind int

const (
	chunkToken    chunkKind = iota
	chunkFinish             // all tokens were sent
	chunkCancel             // the stream was cancelled
	chunkTruncate           // the stream ends without a finish
	chunkCut                // the connection is closed
)

// chunk is what the batch hands to a stream. From is another stream when answers are crossed.
type chunk struct {
	kind  chunkKind
	from  *stream
	index int
}

// stream is a request in the engine.
type stream struct {
	id         string
	key        model.ModelKey
	adapter    string
	prompt     string
	seed       uint64
	priority   int
	next       int // index of the next token
	last       int // index after the last token
	truncateAt int // -1: never
	readyAt    time.Time
	chunks     chan chunk
}

// send hands over a chunk. The channel holds all chunks of a stream, so that a slow reader delays no other stream.
func (s *stream) send(c chunk) {
	select {
	case s.chunks <- c:
	default:
	}
}

// end hands over the last chunk.
func (s *stream) end(kind chunkKind) { s.send(chunk{kind: kind, from: s, index: s.next}) }

// batch holds the streams that run and those that wait, the waiting ones by priority.
type batch struct {
	running  []*stream
	waiting  []*stream
	stepping bool
}

// enqueue adds a stream behind those of the same or a lower priority number.
func (b *batch) enqueue(s *stream) {
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority > s.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, s)
}

// admit moves a waiting stream into the batch, nil when there is none or no room.
func (b *batch) admit(capacity int) *stream {
	if len(b.waiting) == 0 || len(b.running) >= capacity {
		return nil
	}
	s := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.running = append(b.running, s)
	return s
}

// remove takes streams out.
func (b *batch) remove(drop func(*stream) bool) {
	b.running = slices.DeleteFunc(b.running, drop)
	b.waiting = slices.DeleteFunc(b.waiting, drop)
}

// cut ends all streams of a model version and returns their number.
func (b *batch) cut(key model.ModelKey) int {
	n := 0
	b.remove(func(s *stream) bool {
		if s.key != key {
			return false
		}
		s.end(chunkCut)
		n++
		return true
	})
	return n
}

// cancel ends all streams of a request ID and returns their number.
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
