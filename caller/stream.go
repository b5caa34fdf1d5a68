package caller

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"citronspread/engine"
)

const (
	doneEvent             = "data: [DONE]\n\n"
	waitingComment        = ": waiting\n\n"
	writeDeadlineInterval = time.Second
)

// streamResponse sends the chunks to the caller as server-sent events.
type streamResponse struct {
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController

	mu            sync.Mutex
	timer         *time.Timer
	headersSent   bool
	chunkSent     bool
	suspended     bool
	closed        bool
	deadlineSetAt time.Time // when the write deadline was last set
	err           error
	buffer        []byte
}

func newStreamResponse(s *Server, w http.ResponseWriter) *streamResponse {
	return &streamResponse{server: s, writer: w, control: http.NewResponseController(w)}
}

// startKeepAlive starts the comments that keep the connection alive during a long wait.
// They begin only now because a refusal with its own status is possible until the first write.
func (r *streamResponse) startKeepAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timer == nil {
		r.timer = time.AfterFunc(r.server.Limits.KeepAliveInterval, r.sendComment)
	}
}

func (r *streamResponse) add(chunk engine.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspended {
		return errResponseSuspended
	}
	r.chunkSent = true
	r.timer.Reset(r.server.Limits.KeepAliveInterval)
	r.buffer = append(r.buffer[:0], "data: "...)
	r.buffer = append(r.buffer, chunk.Data...)
	r.buffer = append(r.buffer, "\n\n"...)
	return r.write(r.buffer)
}

func (r *streamResponse) finish() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.write([]byte(doneEvent))
}

// fail ends the stream with an error event and without [DONE], which marks a complete response.
// If nothing was sent yet, it writes an error response instead.
func (r *streamResponse) fail(f failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.headersSent {
		r.server.writeError(r.writer, f)
		return
	}
	r.server.countFailure(f)
	r.server.Totals.CutShort.Add(1)
	payload, err := json.Marshal(f.body())
	if err != nil {
		return
	}
	// A write error means that the caller has disconnected.
	_ = r.write([]byte("event: error\ndata: " + string(payload) + "\n\n"))
}

func (r *streamResponse) started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chunkSent
}

func (r *streamResponse) suspend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspended = !r.chunkSent
	return r.suspended
}

func (r *streamResponse) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspended = false
}

func (r *streamResponse) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

func (r *streamResponse) sendComment() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.err != nil {
		return
	}
	if r.write([]byte(waitingComment)) == nil {
		r.timer.Reset(r.server.Limits.KeepAliveInterval)
	}
}

// write sends the bytes immediately. r.mu must be held.
func (r *streamResponse) write(p []byte) error {
	if r.err != nil {
		return r.err
	}
	now := time.Now()
	if now.Sub(r.deadlineSetAt) >= writeDeadlineInterval {
		r.deadlineSetAt = now
		// If the writer does not support deadlines, the timeouts of the HTTP server apply.
		_ = r.control.SetWriteDeadline(now.Add(r.server.Limits.WriteTimeout))
	}
	if !r.headersSent {
		r.headersSent = true
		r.writer.Header().Set("Content-Type", "text/event-stream")
		r.writer.Header().Set("Cache-Control", "no-store")
	}
	if _, err := r.writer.Write(p); err != nil {
		r.err = err
		return err
	}
	r.err = r.control.Flush()
	return r.err
}
