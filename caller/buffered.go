package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"citronspread/engine"
)

// bufferedResponse collects the chunks for a caller that did not request a stream.
type bufferedResponse struct {
	server     *Server
	writer     http.ResponseWriter
	completion *completion

	text   strings.Builder
	tokens int
	reason string
	usage  json.RawMessage
}

type completionWire struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choiceWire    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choiceWire struct {
	Index        int          `json:"index"`
	Message      *contentWire `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type contentWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usageWire struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (r *bufferedResponse) startKeepAlive() {}

func (r *bufferedResponse) add(chunk engine.Chunk) error {
	if chunk.Token {
		r.text.WriteString(chunk.Text)
		r.tokens++
	}
	if chunk.Finish != "" {
		r.reason = chunk.Finish
	}
	if len(chunk.Usage) > 0 {
		r.usage = chunk.Usage
	}
	return nil
}

func (r *bufferedResponse) finish() error {
	c := r.completion
	text := r.text.String()
	choice := choiceWire{FinishReason: r.reason}
	object := "text_completion"
	if c.path == pathChat {
		object = "chat.completion"
		choice.Message = &contentWire{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	if r.usage == nil {
		usage, err := json.Marshal(usageWire{CompletionTokens: r.tokens})
		if err != nil {
			return err
		}
		r.usage = usage
	}
	writeJSON(r.writer, http.StatusOK, completionWire{
		ID: c.id, Object: object, Created: c.created.Unix(), Model: c.params.Model,
		Choices: []choiceWire{choice}, Usage: r.usage,
	})
	return nil
}

func (r *bufferedResponse) fail(f failure) { r.server.writeError(r.writer, f) }

func (r *bufferedResponse) started() bool { return false }

func (r *bufferedResponse) suspend() bool { return true }

func (r *bufferedResponse) reset() {
	r.text.Reset()
	r.tokens, r.reason, r.usage = 0, "", nil
}

func (r *bufferedResponse) close() {}
