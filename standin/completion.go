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
	defaultMaxTokens  = 16
	maxResponseTokens = 32768
	codeNotLoaded     = "model_not_loaded"
	codeNoAdapter     = "adapter_not_loaded"
	codeOverloaded    = "overloaded"
	codeInvalid       = "invalid_request"
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of chat and text completion requests.
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

// apiError is the error object of the OpenAI-compatible API.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// apiErrorResponse is the body of an error response of the OpenAI-compatible API.
type apiErrorResponse struct {
	Error apiError `json:"error"`
}

// rejection is the status and error code for a request that the engine does not run. The zero value means accepted.
type rejection struct {
	status int
	code   string
}

// ChatPrompt returns the prompt of a chat: the contents of its messages, joined by newlines.
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
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, body completionRequest, chat bool) {
	inc := e.currentIncarnation()
	s, rejected := e.accept(inc, r.Header.Get(requestIDHeader), body)
	if rejected.status != 0 {
		writeAPIError(w, rejected)
		return
	}
	defer e.removeStream(s)
	e.writeStream(w, r, inc, streamResponse{stream: s, model: body.Model, chat: chat})
}

func writeAPIError(w http.ResponseWriter, rejected rejection) {
	writeJSON(w, rejected.status, apiErrorResponse{Error: apiError{
		Message: strings.ReplaceAll(rejected.code, "_", " "), Type: "invalid_request_error", Code: rejected.code,
	}})
}

// accept queues a request, or returns the reason for its rejection.
func (e *Engine) accept(inc *incarnation, id string, body completionRequest) (*stream, rejection) {
	if id == "" {
		id = uuid.NewString()
	}
	s, rejected := newStream(id, body)
	if rejected.status != 0 {
		return nil, rejected
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.findResident(inc, body.Model)
	switch {
	case m == nil || e.incarnation != inc:
		return nil, rejection{http.StatusNotFound, codeNotLoaded}
	case body.Adapter != "" && !m.adapters[body.Adapter]:
		return nil, rejection{http.StatusNotFound, codeNoAdapter}
	case len(e.batch.waiting) >= e.MaxWaiting:
		return nil, rejection{http.StatusTooManyRequests, codeOverloaded}
	}
	s.key = m.key
	s.seed = tokenSeed(tokenKey(m.key, body.Adapter), body.Prompt)
	if consumeOne(&e.fault.Truncate) {
		s.truncateAt = s.next + (s.finishAt-s.next+1)/2
	}
	e.countRun(s)
	e.batch.enqueue(s)
	e.startStepping(inc)
	return s, rejection{}
}

// countRun counts a run of a request and reports it to the run sink. e.mu must be held.
func (e *Engine) countRun(s *stream) {
	e.runs[s.id]++
	if e.RunSink != nil {
		e.RunSink.RecordRun(RequestRun{Backend: e.Backend, Request: s.id, Content: s.prompt, Incarnation: e.incarnation.id, At: time.Now()})
	}
}

func newStream(id string, body completionRequest) (*stream, rejection) {
	maxTokens := defaultMaxTokens
	if body.MaxTokens != nil {
		maxTokens = *body.MaxTokens
	}
	if !body.Stream || maxTokens < 0 || maxTokens > maxResponseTokens || body.ResumeFrom < 0 {
		return nil, rejection{http.StatusBadRequest, codeInvalid}
	}
	left := max(0, maxTokens-body.ResumeFrom)
	return &stream{
		id:         id,
		adapter:    body.Adapter,
		prompt:     body.Prompt,
		priority:   body.Priority,
		next:       body.ResumeFrom,
		finishAt:   body.ResumeFrom + left,
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

// findResident returns a ready resident by "model@version" or by "model", or nil. e.mu must be held.
func (e *Engine) findResident(inc *incarnation, name string) *resident {
	for key, m := range inc.residents {
		if m.ready && (key.String() == name || key.Model == name) {
			return m
		}
	}
	return nil
}

// removeStream removes a stream whose response has ended or whose client has disconnected.
func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(func(o *stream) bool { return o == s })
}

func (e *Engine) firstChunkDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.fault.LateMS) * time.Millisecond
}
