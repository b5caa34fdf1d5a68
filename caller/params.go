package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// completionParams are the fields of a completion request that the server evaluates.
type completionParams struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	Choices             *int            `json:"n"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	Seed                *int64          `json:"seed"`
	Tools               json.RawMessage `json:"tools"`
	LogProbs            json.RawMessage `json:"logprobs"`
	Echo                bool            `json:"echo"`
	ResumeFrom          json.RawMessage `json:"resume_from"`
}

type messageWire struct {
	Role string `json:"role"`
}

// validate returns a description of the first invalid field, or an empty string.
func (p *completionParams) validate(path string, maxTokens int) string {
	switch {
	case p.Model == "":
		return "model is missing"
	case p.Choices != nil && *p.Choices != 1:
		return "n other than 1 is not supported"
	case !inRange(p.MaxTokens, maxTokens) || !inRange(p.MaxCompletionTokens, maxTokens):
		return fmt.Sprintf("max_tokens is not from 1 to %d", maxTokens)
	case p.Temperature != nil && (*p.Temperature < 0 || *p.Temperature > 2):
		return "temperature is not from 0 to 2"
	case isSet(p.ResumeFrom):
		return "resume_from is not for callers"
	case !p.Stream && (isSet(p.Tools) || isSet(p.LogProbs) || p.Echo):
		return "tools, logprobs and echo are supported only with stream"
	case path == pathText:
		return p.validatePrompt()
	}
	return p.validateMessages()
}

func (p *completionParams) validateMessages() string {
	var messages []messageWire
	if err := json.Unmarshal(p.Messages, &messages); err != nil || len(messages) == 0 {
		return "messages is no list with messages"
	}
	for _, m := range messages {
		if m.Role == "" {
			return "a message has no role"
		}
	}
	return ""
}

func (p *completionParams) validatePrompt() string {
	var prompt string
	if err := json.Unmarshal(p.Prompt, &prompt); err != nil {
		return "prompt is no string"
	}
	return ""
}

// deterministic reports whether all replicas generate the same tokens, so that another one can continue the response.
func (p *completionParams) deterministic() bool {
	return p.Seed != nil || p.Temperature != nil && *p.Temperature == 0
}

// maxTokens returns the token limit that the caller set, or 0.
func (p *completionParams) maxTokens() int {
	switch {
	case p.MaxCompletionTokens != nil:
		return *p.MaxCompletionTokens
	case p.MaxTokens != nil:
		return *p.MaxTokens
	default:
		return 0
	}
}

func inRange(n *int, limit int) bool { return n == nil || *n >= 1 && *n <= limit }

// isSet reports whether the value is present and neither null nor false.
func isSet(raw json.RawMessage) bool {
	text := bytes.TrimSpace(raw)
	return len(text) > 0 && !bytes.Equal(text, []byte("null")) && !bytes.Equal(text, []byte("false"))
}
