package pathcheck

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronspread/standin"
)

const callTimeout = 20 * time.Second

// chatRequest is a chat request.
type chatRequest struct {
	model   string // model name in the request, with or without version
	key     string // model@version
	adapter string
	prompt  string
	tokens  int
}

// expectedText returns the text that a stand-in engine generates for the request.
func (r chatRequest) expectedText() string {
	key := r.key
	if r.adapter != "" {
		key += "+" + r.adapter
	}
	return standin.ExpectedText(key, r.prompt, r.tokens)
}

// body returns the JSON body of the request.
func (r chatRequest) body(stream bool) string {
	name := r.model
	if r.adapter != "" {
		name += ":" + r.adapter
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"temperature":0,"messages":[{"role":"user","content":%q}]}`,
		name, stream, r.tokens, r.prompt)
}

// completion holds the fields of a completion or a chunk that are checked.
type completion struct {
	Choices []struct {
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
}

func post(address, path, body, idempotencyKey string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := &http.Client{Timeout: callTimeout}
	return client.Do(request)
}

// checkResponse sends a request that is not streamed and checks that the response is complete.
func checkResponse(t *testing.T, address string, r chatRequest) {
	t.Helper()
	response, err := post(address, "/v1/chat/completions", r.body(false), "")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%s: got status %d, %v, want 200: %s", r.model, response.StatusCode, err, body)
	}
	var got completion
	if err := json.Unmarshal(body, &got); err != nil || len(got.Choices) != 1 {
		t.Fatalf("%s: got %s, %v, want one choice", r.model, body, err)
	}
	if got.Choices[0].Message.Content != r.expectedText() {
		t.Fatalf("%s: got %q, want %q", r.model, got.Choices[0].Message.Content, r.expectedText())
	}
}

// checkStreamedResponse sends a streamed request and checks that the response is complete. It closes started at the
// first token.
func checkStreamedResponse(address string, r chatRequest, started chan<- struct{}) error {
	response, err := post(address, "/v1/chat/completions", r.body(true), "")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return fmt.Errorf("got status %d: %s", response.StatusCode, body)
	}
	got, err := readStream(response.Body, started)
	if err != nil {
		return err
	}
	if got != r.expectedText() {
		return fmt.Errorf("got %q, want %q", got, r.expectedText())
	}
	return nil
}

// readStream returns the text of a stream. It returns an error unless the stream has a finish reason and ends with
// [DONE].
func readStream(r io.Reader, started chan<- struct{}) (string, error) {
	var text strings.Builder
	finished := false
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		data = strings.TrimSpace(data)
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if !finished {
				return "", fmt.Errorf("[DONE] without a finish_reason")
			}
			return text.String(), nil
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return "", fmt.Errorf("got event %q, want a chunk with choices", data)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		finished = finished || chunk.Choices[0].FinishReason != ""
		if started != nil && text.Len() > 0 {
			close(started)
			started = nil
		}
	}
	return "", fmt.Errorf("stream ended without [DONE]: %v", lines.Err())
}

func getJSON(t *testing.T, address, path string, into any) {
	t.Helper()
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatalf("%s%s: %v", address, path, err)
	}
}

// isServing reports whether a server responds to a GET request with status 200.
func isServing(address, path string) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
