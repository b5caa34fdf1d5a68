package caller

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"citronspread/engine"
)

const (
	doneEvent       = "data: [DONE]\n\n"
	waitingComment  = ": waiting\n\n"
	deadlineRenewal = time.Second
)

// streamAnswer passes the chunks on as server-sent events.
type streamAnswer struct {
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController

	mu       sync.Mutex
	timer    *time.Timer
	headers  bool // sent
	shown    bool // a chunk was sent
	barred   bool
	closed   bool
	deadline time.Time // of writes
	err      error
	buffer   []byte
}

func newStreamAnswer(s *Server, w http.ResponseWriter) *streamAnswer {
	return &streamAnswer{server: s, writer: w, control: http.NewResponseController(w)}
}

// admitted starts the comments that keep the connection alive during a long wait.
// Before it a refusal with its own status is still possible.
func (a *streamAnswer) admitted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer == nil {
		a.timer = time.AfterFunc(a.server.Limits.KeepAlive, a.comment)
	}
}

func (a *streamAnswer) add(chunk engine.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.barred {
		return errBarred
	}
	a.shown = true
	a.timer.Reset(a.server.Limits.KeepAlive)
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = append(a.buffer, chunk.Data...)
	a.buffer = append(a.buffer, "\n\n"...)
	return a.write(a.buffer)
}

func (a *streamAnswer) finish() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.write([]byte(doneEvent))
}

// fail ends the stream with an error event and without the mark of a whole answer.
func (a *streamAnswer) fail(f failure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.headers {
		a.server.writeError(a.writer, f)
		return
	}
	a.server.countFailure(f)
	a.server.Totals.CutShort.Add(1)
	payload, err := json.Marshal(f.body())
	if err != nil {
		return
	}
	// The caller may be gone; there is nobody else to tell.
	_ = a.write([]byte("event: error\ndata: " + string(payload) + "\n\n"))
}

func (a *streamAnswer) started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shown
}

func (a *streamAnswer) bar() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.barred = !a.shown
	return a.barred
}

func (a *streamAnswer) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.barred = false
}

func (a *streamAnswer) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *streamAnswer) comment() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.err != nil {
		return
	}
	if a.write([]byte(waitingComment)) == nil {
		a.timer.Reset(a.server.Limits.KeepAlive)
	}
}

// write sends bytes at once. The caller holds the mutex.
func (a *streamAnswer) write(p []byte) error {
	if a.err != nil {
		return a.err
	}
	now := time.Now()
	if now.Sub(a.deadline) >= deadlineRenewal {
		a.deadline = now
		// A writer without deadlines is bounded by the server's own timeouts.
		_ = a.control.SetWriteDeadline(now.Add(a.server.Limits.WriteTimeout))
	}
	if !a.headers {
		a.headers = true
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
