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

// question is one chat request and what its whole answer is.
type question struct {
	model   string // as the caller names it
	key     string // model@version
	adapter string
	prompt  string
	tokens  int
}

func (q question) want() string {
	key := q.key
	if q.adapter != "" {
		key += "+" + q.adapter
	}
	return standin.ExpectedText(key, q.prompt, q.tokens)
}

func (q question) body(stream bool) string {
	name := q.model
	if q.adapter != "" {
		name += ":" + q.adapter
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"temperature":0,"messages":[{"role":"user","content":%q}]}`,
		name, stream, q.tokens, q.prompt)
}

// answer is the part of a completion that the check reads.
type answer struct {
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

// ask sends a request without stream and checks that the answer is whole.
func ask(t *testing.T, address string, q question) {
	t.Helper()
	response, err := post(address, "/v1/chat/completions", q.body(false), "")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%s: got status %d, %v: %s", q.model, response.StatusCode, err, body)
	}
	var got answer
	if err := json.Unmarshal(body, &got); err != nil || len(got.Choices) != 1 {
		t.Fatalf("%s: got %s, %v", q.model, body, err)
	}
	if got.Choices[0].Message.Content != q.want() {
		t.Fatalf("%s: got %q, want %q", q.model, got.Choices[0].Message.Content, q.want())
	}
}

// askStream sends a streamed request and checks that the answer is whole. Started is closed at the first token.
func askStream(address string, q question, started chan<- struct{}) error {
	response, err := post(address, "/v1/chat/completions", q.body(true), "")
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
	if got != q.want() {
		return fmt.Errorf("got %q, want %q", got, q.want())
	}
	return nil
}

// readStream returns the text of a stream that ended as it must.
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
		var chunk answer
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return "", fmt.Errorf("got event %q", data)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		finished = finished || chunk.Choices[0].FinishReason != ""
		if started != nil && text.Len() > 0 {
			close(started)
			started = nil
		}
	}
	return "", fmt.Errorf("the stream ended without [DONE]: %v", lines.Err())
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

func answers(address, path string) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
