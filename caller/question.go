package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// question holds the fields of a request that the server itself looks at.
type question struct {
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

// check returns what is wrong with the question, empty when nothing is.
func (q *question) check(path string, maxTokens int) string {
	switch {
	case q.Model == "":
		return "model is missing"
	case q.Choices != nil && *q.Choices != 1:
		return "n other than 1 is not supported"
	case !inRange(q.MaxTokens, maxTokens) || !inRange(q.MaxCompletionTokens, maxTokens):
		return fmt.Sprintf("max_tokens is not from 1 to %d", maxTokens)
	case q.Temperature != nil && (*q.Temperature < 0 || *q.Temperature > 2):
		return "temperature is not from 0 to 2"
	case isSet(q.ResumeFrom):
		return "resume_from is not for callers"
	case !q.Stream && (isSet(q.Tools) || isSet(q.LogProbs) || q.Echo):
		return "tools, logprobs and echo are supported only with stream"
	case path == pathText:
		return q.checkPrompt()
	}
	return q.checkMessages()
}

func (q *question) checkMessages() string {
	var messages []messageWire
	if err := json.Unmarshal(q.Messages, &messages); err != nil || len(messages) == 0 {
		return "messages is no list with messages"
	}
	for _, m := range messages {
		if m.Role == "" {
			return "a message has no role"
		}
	}
	return ""
}

func (q *question) checkPrompt() string {
	var prompt string
	if err := json.Unmarshal(q.Prompt, &prompt); err != nil {
		return "prompt is no string"
	}
	return ""
}

// exact reports whether another replica would continue the answer with the same tokens.
func (q *question) exact() bool {
	return q.Seed != nil || q.Temperature != nil && *q.Temperature == 0
}

// maxTokens returns the longest answer that the caller wants, 0 when it stated none.
func (q *question) maxTokens() int {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	default:
		return 0
	}
}

func inRange(n *int, limit int) bool { return n == nil || *n >= 1 && *n <= limit }

func isSet(raw json.RawMessage) bool {
	text := bytes.TrimSpace(raw)
	return len(text) > 0 && !bytes.Equal(text, []byte("null")) && !bytes.Equal(text, []byte("false"))
}
