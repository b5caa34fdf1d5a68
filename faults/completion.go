package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"citronspread/standin"
)

// message is a chat message of the OpenAI API.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model       string    `json:"model"`
	Messages    []message `json:"messages"`
	MaxTokens   int       `json:"max_tokens"`
	Temperature int       `json:"temperature"`
	Stream      bool      `json:"stream"`
}

// chatChoice is a choice of a response (Message) or of a chunk of a stream (Delta).
type chatChoice struct {
	Delta   message `json:"delta"`
	Message message `json:"message"`
}

// chatResponse is a response, a chunk of a stream or an error event.
type chatResponse struct {
	Choices []chatChoice    `json:"choices"`
	Error   json.RawMessage `json:"error"`
}

// complete sends a completion request for a random model.
func (c *caller) complete(ctx context.Context, h *entryHost, id string, kind exchangeKind) exchange {
	body := chatRequest{
		Model:     c.run.config.anyModel(c.random, time.Now()).String(),
		Messages:  []message{{Role: "user", Content: id}},
		MaxTokens: c.responseTokens(),
		Stream:    kind == kindStream,
	}
	return c.run.chat(ctx, h, body)
}

// chat sends a chat request and compares the response with the text that the stand-in engines generate for it.
func (r *Run) chat(ctx context.Context, h *entryHost, body chatRequest) exchange {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	x := exchange{kind: kindBuffered, content: body.Messages[0].Content, host: h.name, begin: time.Now()}
	if body.Stream {
		x.kind = kindStream
	}
	a := postJSON(ctx, "http://"+h.callerAddress+"/v1/chat/completions", body, "")
	x.end = time.Now()
	x.outcome = a.failure(ctx)
	if x.outcome != "" {
		x.detail = fmt.Sprintf("status %d, %v, %s", a.status, a.err, firstBytes(a.body))
		return x
	}
	want := standin.ExpectedText(body.Model, x.content, body.MaxTokens)
	if body.Stream {
		x.outcome, x.detail = checkStream(a.body, want)
		return x
	}
	x.outcome, x.detail = checkResponse(a.body, want)
	return x
}

// postJSON sends a JSON request, with an idempotency key unless key is empty.
func postJSON(ctx context.Context, url string, body any, key string) response {
	payload, err := json.Marshal(body)
	if err != nil {
		return response{err: err}
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set(idempotencyHeader, key)
	}
	return send(ctx, req)
}

func checkResponse(body []byte, want string) (outcome, string) {
	var a chatResponse
	if json.Unmarshal(body, &a) != nil || len(a.Choices) == 0 || a.Choices[0].Message.Content != want {
		return outcomeWrong, fmt.Sprintf("got %s, want %q", firstBytes(body), want)
	}
	return outcomeComplete, ""
}

// checkStream checks the events of a stream that ended without a connection error.
func checkStream(body []byte, want string) (outcome, string) {
	text, finished := "", false
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			finished = true
			continue
		}
		var a chatResponse
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return outcomeWrong, err.Error()
		}
		if a.Error != nil {
			return outcomeErrorEvent, string(a.Error)
		}
		if len(a.Choices) > 0 {
			text += a.Choices[0].Delta.Content
		}
	}
	if !finished || text != want {
		return outcomeWrong, fmt.Sprintf("finished %v, got %q, want %q", finished, text, want)
	}
	return outcomeComplete, ""
}

func firstBytes(body []byte) string {
	const shown = 200
	return string(body[:min(shown, len(body))])
}

// sendCrashRequests repeats a request that crashes engines until a deadline.
func (r *Run) sendCrashRequests(ctx context.Context, h *entryHost, text string, deadline time.Time) {
	const pause = 400 * time.Millisecond
	body := chatRequest{
		Model: r.config.records[0].key.String(), Messages: []message{{Role: "user", Content: text}}, MaxTokens: 4,
	}
	for ctx.Err() == nil && time.Now().Before(deadline) {
		r.chat(ctx, h, body)
		sleep(ctx, pause)
	}
}
