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

func (a *bufferedResponse) startKeepAlive() {}

func (a *bufferedResponse) add(chunk engine.Chunk) error {
	if chunk.Token {
		a.text.WriteString(chunk.Text)
		a.tokens++
	}
	if chunk.Finish != "" {
		a.reason = chunk.Finish
	}
	if len(chunk.Usage) > 0 {
		a.usage = chunk.Usage
	}
	return nil
}

func (a *bufferedResponse) finish() error {
	c := a.completion
	text := a.text.String()
	choice := choiceWire{FinishReason: a.reason}
	object := "text_completion"
	if c.path == pathChat {
		object = "chat.completion"
		choice.Message = &contentWire{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	if a.usage == nil {
		usage, err := json.Marshal(usageWire{CompletionTokens: a.tokens})
		if err != nil {
			return err
		}
		a.usage = usage
	}
	writeJSON(a.writer, http.StatusOK, completionWire{
		ID: c.id, Object: object, Created: c.created.Unix(), Model: c.params.Model,
		Choices: []choiceWire{choice}, Usage: a.usage,
	})
	return nil
}

func (a *bufferedResponse) fail(f failure) { a.server.writeError(a.writer, f) }

func (a *bufferedResponse) started() bool { return false }

func (a *bufferedResponse) suspend() bool { return true }

func (a *bufferedResponse) reset() {
	a.text.Reset()
	a.tokens, a.reason, a.usage = 0, "", nil
}

func (a *bufferedResponse) close() {}
