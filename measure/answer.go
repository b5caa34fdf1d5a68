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

const maxAnswer = 16 << 20 // bytes

// completion is the part of an answer that is checked.
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

// errorEvent is the explicit end of a stream that can't be completed.
type errorEvent struct {
	code string
}

func (e *errorEvent) Error() string { return "measure: error event " + e.code }

// answer is what a caller read.
type answer struct {
	text    string
	whole   bool
	firstAt time.Time
	reason  string // why there is no whole answer
}

// readReason returns the code of an error, or the status when there is none.
func readReason(response *http.Response) string {
	var got completion
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&got)
	if err != nil || got.Error == nil {
		return response.Status
	}
	return got.Error.Code
}

func readAnswer(r io.Reader, class Class) (answer, error) {
	if class.Stream {
		return readStream(r)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxAnswer))
	if err != nil || class.Service != "" {
		return answer{text: string(body), whole: err == nil}, err
	}
	var whole completion
	if err := json.Unmarshal(body, &whole); err != nil || len(whole.Choices) != 1 {
		return answer{}, errors.New("measure: not a completion")
	}
	return answer{text: whole.Choices[0].Message.Content, whole: true, firstAt: time.Now()}, nil
}

// readStream reads server-sent events up to [DONE].
func readStream(r io.Reader) (answer, error) {
	var got answer
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
		got.whole = got.whole || chunk.Choices[0].FinishReason != ""
	}
	return answer{firstAt: got.firstAt, reason: "no [DONE]"}, lines.Err()
}
