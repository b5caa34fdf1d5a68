package measure

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const maxResponseBytes = 16 << 20

// completion holds the fields of a completion, a chunk or an error event that are checked.
type completion struct {
	Choices []choice  `json:"choices"`
	Error   *apiError `json:"error"`
}

type apiError struct {
	Code string `json:"code"`
}

type choice struct {
	Message      content `json:"message"`
	Delta        content `json:"delta"`
	FinishReason string  `json:"finish_reason"`
}

type content struct {
	Content string `json:"content"`
}

// errorEvent is an error sent as the last event of a stream.
type errorEvent struct {
	code string
}

func (e *errorEvent) Error() string { return "measure: stream ended with error event " + e.code }

// callerResponse is the response that a caller received.
type callerResponse struct {
	text     string
	complete bool
	firstAt  time.Time // time of the first token
	reason   string    // why the response is not complete
}

// readReason returns the code of an error response, or the HTTP status if the body holds none.
func readReason(response *http.Response) string {
	var got completion
	err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&got)
	if err != nil || got.Error == nil {
		return response.Status
	}
	return got.Error.Code
}

// readResponse reads the response to a request of a class.
func readResponse(r io.Reader, class Class) (callerResponse, error) {
	if class.Stream {
		return readStream(r)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil || class.Service != "" {
		return callerResponse{text: string(body), complete: err == nil}, err
	}
	var got completion
	if err := json.Unmarshal(body, &got); err != nil || len(got.Choices) != 1 {
		return callerResponse{}, errors.New("measure: not a completion")
	}
	return callerResponse{text: got.Choices[0].Message.Content, complete: true, firstAt: time.Now()}, nil
}

// readStream reads server-sent events up to [DONE]. The response is complete if a chunk had a finish reason and [DONE]
// followed.
func readStream(r io.Reader) (callerResponse, error) {
	var got callerResponse
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			got.text = text.String()
			return got, nil
		}
		var chunk completion
		err := json.Unmarshal([]byte(data), &chunk)
		if err == nil && chunk.Error != nil {
			return got, &errorEvent{code: chunk.Error.Code}
		}
		if err != nil || len(chunk.Choices) == 0 {
			return got, errors.New("measure: not a chunk")
		}
		if got.firstAt.IsZero() {
			got.firstAt = time.Now()
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		got.complete = got.complete || chunk.Choices[0].FinishReason != ""
	}
	return callerResponse{firstAt: got.firstAt, reason: "no [DONE]"}, lines.Err()
}
