package standin

import (
	"encoding/json"
	"net/http"
)

// streamResponse is a stream with the model name and API (chat or text completion) of its response.
type streamResponse struct {
	*stream
	model string
	chat  bool
}

// delta is the content of a chat chunk.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chunkChoice is the choice of a chunk. Every chunk has exactly one.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// streamChunk is an event of a stream in the format of the OpenAI-compatible API.
type streamChunk struct {
	ID         string        `json:"id"`
	Object     string        `json:"object"`
	Model      string        `json:"model"`
	TokenIndex int           `json:"token_index"`
	Choices    []chunkChoice `json:"choices"`
}

const (
	finishLength    = "length"
	finishCancelled = "cancelled"
)

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, inc *incarnation, s streamResponse) {
	if !sleep(r.Context(), e.firstChunkDelay()) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(requestIDHeader, s.id)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-inc.ctx.Done():
			abortConnection()
		case c := <-s.chunks:
			if s.writeChunk(w, c) {
				return
			}
			if len(s.chunks) == 0 && flusher.Flush() != nil {
				return
			}
		}
	}
}

// writeChunk writes a chunk and reports whether it was the last.
func (s streamResponse) writeChunk(w http.ResponseWriter, c chunk) bool {
	switch c.kind {
	case chunkToken:
		writeEvent(w, s.event(c, tokenAt(c.from.seed, c.index), ""))
		return false
	case chunkFinish:
		writeEvent(w, s.event(c, "", finishLength))
	case chunkCancel:
		writeEvent(w, s.event(c, "", finishCancelled))
	case chunkTruncate:
		return true
	case chunkAbort:
		abortConnection()
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	return true
}

func (s streamResponse) event(c chunk, text, finish string) streamChunk {
	choice := chunkChoice{Text: text}
	object := "text_completion"
	if s.chat {
		choice = chunkChoice{Delta: &delta{Content: text}}
		object = "chat.completion.chunk"
	}
	if finish != "" {
		choice.FinishReason = &finish
	}
	return streamChunk{ID: c.from.id, Object: object, Model: s.model, TokenIndex: c.index, Choices: []chunkChoice{choice}}
}

func writeEvent(w http.ResponseWriter, event streamChunk) {
	payload, err := json.Marshal(event)
	if err != nil {
		abortConnection()
	}
	_, _ = w.Write(append(append([]byte("data: "), payload...), "\n\n"...))
}
