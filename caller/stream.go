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
func (a *streamResponse) startKeepAlive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer == nil {
		a.timer = time.AfterFunc(a.server.Limits.KeepAliveInterval, a.sendComment)
	}
}

func (a *streamResponse) add(chunk engine.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.suspended {
		return errResponseSuspended
	}
	a.chunkSent = true
	a.timer.Reset(a.server.Limits.KeepAliveInterval)
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = append(a.buffer, chunk.Data...)
	a.buffer = append(a.buffer, "\n\n"...)
	return a.write(a.buffer)
}

func (a *streamResponse) finish() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.write([]byte(doneEvent))
}

// fail ends the stream with an error event and without [DONE], which marks a complete response.
// If nothing was sent yet, it writes an error response instead.
func (a *streamResponse) fail(f failure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.headersSent {
		a.server.writeError(a.writer, f)
		return
	}
	a.server.countFailure(f)
	a.server.Totals.CutShort.Add(1)
	payload, err := json.Marshal(f.body())
	if err != nil {
		return
	}
	// A write error means that the caller has disconnected.
	_ = a.write([]byte("event: error\ndata: " + string(payload) + "\n\n"))
}

func (a *streamResponse) started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.chunkSent
}

func (a *streamResponse) suspend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspended = !a.chunkSent
	return a.suspended
}

func (a *streamResponse) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspended = false
}

func (a *streamResponse) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *streamResponse) sendComment() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.err != nil {
		return
	}
	if a.write([]byte(waitingComment)) == nil {
		a.timer.Reset(a.server.Limits.KeepAliveInterval)
	}
}

// write sends the bytes immediately. a.mu must be held.
func (a *streamResponse) write(p []byte) error {
	if a.err != nil {
		return a.err
	}
	now := time.Now()
	if now.Sub(a.deadlineSetAt) >= writeDeadlineInterval {
		a.deadlineSetAt = now
		// If the writer does not support deadlines, the timeouts of the HTTP server apply.
		_ = a.control.SetWriteDeadline(now.Add(a.server.Limits.WriteTimeout))
	}
	if !a.headersSent {
		a.headersSent = true
		a.writer.Header().Set("Content-Type", "text/event-stream")
		a.writer.Header().Set("Cache-Control", "no-store")
	}
	if _, err := a.writer.Write(p); err != nil {
		a.err = err
		return err
	}
	a.err = a.control.Flush()
	return a.err
}
