package standin

import (
	"encoding/json"
	"net/http"
)

// streamForm is a stream with the form of its chunks.
type streamForm struct {
	*stream
	model string
	chat  bool
}

// delta is the content of a chat chunk.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chunkChoice is the only choice of a chunk.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// streamChunk is one event of a stream in the published form.
type streamChunk struct {
	ID         string        `json:"id"`
	Object     string        `json:"object"`
	Model      string        `json:"model"`
	TokenIndex int           `json:"token_index"`
	Choices    []chunkChoice `json:"choices"`
}

// Finish reasons.
const (
	finishLength    = "length"
	finishCancelled = "cancelled"
)

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, l *life, f streamForm) {
	if !sleep(r.Context(), e.lateness()) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(requestIDHeader, f.id)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-l.ctx.Done():
			cutConnection()
		case c := <-f.chunks:
			if f.writeChunk(w, c) {
				return
			}
			if len(f.chunks) == 0 && flusher.Flush() != nil {
				return
			}
		}
	}
}

// writeChunk writes one event and reports whether it was the last.
func (f streamForm) writeChunk(w http.ResponseWriter, c chunk) bool {
	switch c.kind {
	case chunkToken:
		writeEvent(w, f.event(c, tokenAt(c.from.seed, c.index), ""))
		return false
	case chunkFinish:
		writeEvent(w, f.event(c, "", finishLength))
	case chunkCancel:
		writeEvent(w, f.event(c, "", finishCancelled))
	case chunkTruncate:
		return true
	case chunkCut:
		cutConnection()
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	return true
}

func (f streamForm) event(c chunk, text, finish string) streamChunk {
	choice := chunkChoice{Text: text}
	object := "text_completion"
	if f.chat {
		choice = chunkChoice{Delta: &delta{Content: text}}
		object = "chat.completion.chunk"
	}
	if finish != "" {
		choice.FinishReason = &finish
	}
	return streamChunk{ID: c.from.id, Object: object, Model: f.model, TokenIndex: c.index, Choices: []chunkChoice{choice}}
}

func writeEvent(w http.ResponseWriter, event streamChunk) {
	payload, err := json.Marshal(event)
	if err != nil {
		cutConnection()
	}
	_, _ = w.Write(append(append([]byte("data: "), payload...), "\n\n"...))
}
