package standin

import (
	"net/http"
	"strings"
	"time"

	"citronspread/model"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

const (
	defaultMaxTokens = 16
	longestAnswer    = 32768 // tokens
	codeNotLoaded    = "model_not_loaded"
	codeNoAdapter    = "adapter_not_loaded"
	codeOverloaded   = "overloaded"
	codeInvalid      = "invalid_request"
)

// chatMessage is a message of the published API.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of both completion calls.
type completionRequest struct {
	Model      string        `json:"model"`
	Messages   []chatMessage `json:"messages"`
	Prompt     string        `json:"prompt"`
	MaxTokens  *int          `json:"max_tokens"`
	Stream     bool          `json:"stream"`
	Priority   int           `json:"priority"`
	ResumeFrom int           `json:"resume_from"`
	Adapter    string        `json:"adapter"`
}

// apiError is an error in the published form.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// apiFailure is the body of an answer with an error in the published form.
type apiFailure struct {
	Error apiError `json:"error"`
}

// rejection is the reason why a request is not run.
type rejection struct {
	status int
	code   string
}

// ChatPrompt returns the prompt of a chat, its messages' contents joined by line ends.
func ChatPrompt(contents ...string) string { return strings.Join(contents, "\n") }

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !readJSON(w, r, &body) {
		return
	}
	contents := make([]string, 0, len(body.Messages))
	for _, m := range body.Messages {
		contents = append(contents, m.Content)
	}
	body.Prompt = ChatPrompt(contents...)
	e.complete(w, r, body, true)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !readJSON(w, r, &body) {
		return
	}
	e.complete(w, r, body, false)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	n := e.batch.cancel(chi.URLParam(r, "id"))
	e.mu.Unlock()
	if n == 0 {
		writeFailure(w, http.StatusNotFound, "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, body completionRequest, chat bool) {
	l := e.currentLife()
	s, rejected := e.accept(l, r.Header.Get(requestIDHeader), body)
	if rejected.status != 0 {
		writeAPIError(w, rejected)
		return
	}
	defer e.drop(s)
	e.writeStream(w, r, l, streamForm{stream: s, model: body.Model, chat: chat})
}

func writeAPIError(w http.ResponseWriter, j rejection) {
	writeJSON(w, j.status, apiFailure{Error: apiError{
		Message: strings.ReplaceAll(j.code, "_", " "), Type: "invalid_request_error", Code: j.code,
	}})
}

// accept puts a request into the queue, or tells why not.
func (e *Engine) accept(l *life, id string, body completionRequest) (*stream, rejection) {
	if id == "" {
		id = uuid.NewString()
	}
	s, rejected := newStream(id, body)
	if rejected.status != 0 {
		return nil, rejected
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.findResident(l, body.Model)
	switch {
	case m == nil || e.life != l:
		return nil, rejection{http.StatusNotFound, codeNotLoaded}
	case body.Adapter != "" && !m.adapters[body.Adapter]:
		return nil, rejection{http.StatusNotFound, codeNoAdapter}
	case len(e.batch.waiting) >= e.MaxWaiting:
		return nil, rejection{http.StatusTooManyRequests, codeOverloaded}
	}
	s.key = m.key
	s.seed = tokenSeed(tokenKey(m.key, body.Adapter), body.Prompt)
	if takeOne(&e.fault.Truncate) {
		s.truncateAt = s.next + (s.last-s.next+1)/2
	}
	e.countRun(s)
	e.batch.enqueue(s)
	e.startStepping(l)
	return s, rejection{}
}

// countRun counts a run. The caller holds the mutex.
func (e *Engine) countRun(s *stream) {
	e.runs[s.id]++
	if e.Runs != nil {
		e.Runs.TakeRun(Run{Backend: e.Backend, Request: s.id, Content: s.prompt, Life: e.life.incarnation, At: time.Now()})
	}
}

func newStream(id string, body completionRequest) (*stream, rejection) {
	maxTokens := defaultMaxTokens
	if body.MaxTokens != nil {
		maxTokens = *body.MaxTokens
	}
	if !body.Stream || maxTokens < 0 || maxTokens > longestAnswer || body.ResumeFrom < 0 {
		return nil, rejection{http.StatusBadRequest, codeInvalid}
	}
	left := max(0, maxTokens-body.ResumeFrom)
	return &stream{
		id:         id,
		adapter:    body.Adapter,
		prompt:     body.Prompt,
		priority:   body.Priority,
		next:       body.ResumeFrom,
		last:       body.ResumeFrom + left,
		truncateAt: -1,
		chunks:     make(chan chunk, 2*left+2),
	}, rejection{}
}

func tokenKey(key model.ModelKey, adapter string) string {
	if adapter == "" {
		return key.String()
	}
	return key.String() + "+" + adapter
}

// findResident finds a ready resident by "model@version" or by "model". The caller holds the mutex.
func (e *Engine) findResident(l *life, name string) *resident {
	for key, m := range l.residents {
		if m.ready && (key.String() == name || key.Model == name) {
			return m
		}
	}
	return nil
}

// drop takes a stream out whose reader has gone.
func (e *Engine) drop(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(func(o *stream) bool { return o == s })
}

func (e *Engine) lateness() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.fault.LateMS) * time.Millisecond
}
