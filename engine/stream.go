package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"citronspread/httponce"
)

const (
	maxEventBytes = 256 << 10
	maxErrorBytes = 16 << 10
	cancelTimeout = time.Second
	doneData      = "[DONE]"

	staleTime    = 20 * time.Millisecond // in which a closed idle connection shows
	probeTimeout = 200 * time.Millisecond

	codeModelNotLoaded   = "model_not_loaded"
	codeAdapterNotLoaded = "adapter_not_loaded"
	codeOverloaded       = "overloaded"

	finishCancelled = "cancelled"
)

var errCancelled = errors.New("engine: request cancelled")

// Document is a caller's JSON object, whose unknown fields are passed on.
type Document map[string]json.RawMessage

// Call is one completion to be opened at an engine.
type Call struct {
	Address  string // IP:port
	Backend  string
	Path     string
	ID       string
	Body     Document
	Model    string
	Adapter  string
	Priority int       // lower runs earlier
	Progress *Progress // what earlier streams of the same request delivered

	Patience time.Duration // silence after which GiveUp is asked
	GiveUp   func() bool   // whether to leave the answer to a faster replica; may be nil
}

// Progress counts the delivered tokens of one request over all its streams.
type Progress struct {
	Hashes   []uint64 // one for each delivered token
	Finished bool
}

// Chunk is one checked event of a stream.
type Chunk struct {
	Data   []byte // the JSON as received
	Index  int
	Text   string
	Finish string
	Token  bool // carries a token
	Usage  json.RawMessage
}

// Streamer opens streamed completions.
type Streamer struct {
	Client       *httponce.Client
	StallTimeout time.Duration // longest wait for the next chunk
}

// Stream is an open completion. Close must be called.
type Stream struct {
	call     Call
	response *http.Response
	cancel   context.CancelCauseFunc
	ctx      context.Context
	watchdog *watchdog
	body     cutReader
}

// cutReader remembers whether the other end cut the connection.
type cutReader struct {
	reader io.Reader
	cut    bool
}

func (r *cutReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.cut = r.cut || err != nil && err != io.EOF
	return n, err
}

type chunkWire struct {
	ID         string          `json:"id"`
	TokenIndex *int            `json:"token_index"`
	Choices    []choiceWire    `json:"choices"`
	Usage      json.RawMessage `json:"usage"`
	Error      *errorWire      `json:"error"`
}

type choiceWire struct {
	Text         string    `json:"text"`
	Delta        deltaWire `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type deltaWire struct {
	Content string `json:"content"`
}

type errorWire struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

type errorBodyWire struct {
	Error errorWire `json:"error"`
}

// Open starts the completion. The error is an *httponce.UnsentError, *NotRunError, *StatusError or *BrokenError.
func (s *Streamer) Open(ctx context.Context, call Call) (*Stream, error) {
	body, err := call.encode()
	if err != nil {
		return nil, &httponce.UnsentError{Address: call.Address, Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+call.Path, bytes.NewReader(body))
	if err != nil {
		cancel(nil)
		return nil, &httponce.UnsentError{Address: call.Address, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("X-Request-Id", call.ID)
	watchdog := newWatchdog(&call, s.StallTimeout, cancel)
	response, err := s.Client.Do(request)
	if err != nil {
		watchdog.stop()
		err = call.openError(ctx, err)
		cancel(nil)
		return nil, err
	}
	stream := &Stream{call: call, response: response, cancel: cancel, ctx: ctx, watchdog: watchdog}
	stream.body.reader = response.Body
	if response.StatusCode != http.StatusOK {
		defer stream.Close()
		return nil, stream.refusal()
	}
	return stream, nil
}

// Cancel asks the engine to give up a request whose stream was abandoned.
func (s *Streamer) Cancel(ctx context.Context, address, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/requests/"+id+"/cancel", nil)
	if err != nil {
		return
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return
	}
	response.Body.Close()
}

// Chunks yields the checked chunks. It ends without an error only when the answer is whole.
func (s *Stream) Chunks() iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		config := &sse.ReadConfig{MaxEventSize: maxEventBytes}
		for event, err := range sse.Read(&s.body, config) {
			s.watchdog.hear()
			if err != nil {
				yield(Chunk{}, s.broken(err))
				return
			}
			if event.Data == doneData {
				s.end(yield)
				return
			}
			chunk, fresh, err := s.call.check([]byte(event.Data))
			if err != nil {
				yield(Chunk{}, err)
				return
			}
			if fresh && !yield(chunk, nil) {
				return
			}
		}
		yield(Chunk{}, s.broken(io.ErrUnexpectedEOF))
	}
}

// Close gives the stream up or releases it after its end.
func (s *Stream) Close() {
	s.watchdog.stop()
	s.cancel(nil)
	s.response.Body.Close()
}

// end checks that the answer was whole and reads to the end, so that the connection can be used again.
func (s *Stream) end(yield func(Chunk, error) bool) {
	if !s.call.Progress.Finished {
		yield(Chunk{}, &MismatchError{Backend: s.call.Backend, Field: "finish_reason", Got: doneData, Want: "a reason"})
		return
	}
	io.CopyN(io.Discard, s.response.Body, maxErrorBytes)
}

func (s *Stream) broken(err error) error {
	died := s.body.cut
	if cause := context.Cause(s.ctx); cause != nil {
		err, died = cause, false
	}
	return &BrokenError{Backend: s.call.Backend, Tokens: len(s.call.Progress.Hashes), Died: died, Err: err}
}

func (s *Stream) refusal() error {
	raw, _ := io.ReadAll(io.LimitReader(s.response.Body, maxErrorBytes))
	var body errorBodyWire
	// A body that is not of the published form leaves the code empty.
	_ = json.Unmarshal(raw, &body)
	status, code := s.response.StatusCode, body.Error.Code
	notLoaded := status == http.StatusNotFound && (code == codeModelNotLoaded || code == codeAdapterNotLoaded)
	overloaded := status == http.StatusTooManyRequests && code == codeOverloaded
	if notLoaded || overloaded {
		return &NotRunError{Backend: s.call.Backend, Status: status, Code: code}
	}
	return &StatusError{Backend: s.call.Backend, Status: status, Code: code, Message: body.Error.Message}
}

func (c *Call) openError(ctx context.Context, err error) error {
	var unsent *httponce.UnsentError
	if errors.As(err, &unsent) {
		return err
	}
	died := false
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	} else {
		died = c.hasDied(err)
	}
	return &BrokenError{Backend: c.Backend, Tokens: len(c.Progress.Hashes), Died: died, Err: err}
}

// hasDied tells a dead engine from one that closed an idle connection just as the request was sent.
func (c *Call) hasDied(err error) bool {
	var cut *httponce.BrokenError
	if !errors.As(err, &cut) {
		return false
	}
	if !cut.Reused || cut.Took > staleTime {
		return true
	}
	connection, err := net.DialTimeout("tcp", c.Address, probeTimeout)
	if err != nil {
		return true
	}
	connection.Close()
	return false
}

func (c *Call) encode() ([]byte, error) {
	body := make(Document, len(c.Body)+5)
	for k, v := range c.Body {
		body[k] = v
	}
	model, err := json.Marshal(c.Model)
	if err != nil {
		return nil, err
	}
	body["model"] = model
	body["stream"] = json.RawMessage("true")
	body["priority"] = json.RawMessage(strconv.Itoa(c.Priority))
	if c.Adapter != "" {
		adapter, err := json.Marshal(c.Adapter)
		if err != nil {
			return nil, err
		}
		body["adapter"] = adapter
	}
	if delivered := len(c.Progress.Hashes); delivered > 0 {
		body["resume_from"] = json.RawMessage(strconv.Itoa(delivered))
	}
	return json.Marshal(body)
}

// check ties a chunk to the request and reports whether it brings something new.
func (c *Call) check(data []byte) (Chunk, bool, error) {
	var wire chunkWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Chunk{}, false, c.mismatch("data", string(data[:min(len(data), 80)]), "a JSON chunk")
	}
	if wire.Error != nil {
		err := &StatusError{Backend: c.Backend, Status: http.StatusOK, Code: wire.Error.Code, Message: wire.Error.Message}
		return Chunk{}, false, &BrokenError{Backend: c.Backend, Tokens: len(c.Progress.Hashes), Err: err}
	}
	if wire.ID != c.ID {
		return Chunk{}, false, c.mismatch("id", wire.ID, c.ID)
	}
	chunk := Chunk{Data: data, Usage: wire.Usage}
	if len(wire.Choices) > 0 {
		chunk.Text = wire.Choices[0].Text + wire.Choices[0].Delta.Content
		if reason := wire.Choices[0].FinishReason; reason != nil {
			chunk.Finish = *reason
		}
	}
	return c.place(chunk, wire.TokenIndex)
}

// place puts the chunk after the delivered ones: duplicates are dropped, gaps are errors.
func (c *Call) place(chunk Chunk, index *int) (Chunk, bool, error) {
	if chunk.Finish == finishCancelled {
		return chunk, false, &BrokenError{Backend: c.Backend, Tokens: len(c.Progress.Hashes), Err: errCancelled}
	}
	if chunk.Text == "" && chunk.Finish != "" {
		return c.finish(chunk, index)
	}
	if chunk.Text == "" && index == nil || len(chunk.Usage) > 0 {
		return chunk, true, nil
	}
	return c.token(chunk, index)
}

// token takes in a chunk with a token.
func (c *Call) token(chunk Chunk, index *int) (Chunk, bool, error) {
	p := c.Progress
	next := len(p.Hashes)
	if index == nil {
		return chunk, false, c.mismatch("token_index", "none", strconv.Itoa(next))
	}
	hash := xxhash.Sum64String(chunk.Text)
	if *index >= 0 && *index < next {
		if p.Hashes[*index] != hash {
			return chunk, false, c.mismatch("token", chunk.Text, "the token delivered at index "+strconv.Itoa(*index))
		}
		return chunk, false, nil
	}
	if *index != next || p.Finished {
		return chunk, false, c.mismatch("token_index", strconv.Itoa(*index), strconv.Itoa(next))
	}
	chunk.Index, chunk.Token = *index, true
	p.Hashes = append(p.Hashes, hash)
	p.Finished = chunk.Finish != ""
	return chunk, true, nil
}

// finish takes in the chunk with the finish reason, whose index is the number of tokens.
func (c *Call) finish(chunk Chunk, index *int) (Chunk, bool, error) {
	p := c.Progress
	if index != nil && *index != len(p.Hashes) {
		return chunk, false, c.mismatch("token_index", strconv.Itoa(*index), strconv.Itoa(len(p.Hashes)))
	}
	fresh := !p.Finished
	p.Finished = true
	return chunk, fresh, nil
}

func (c *Call) mismatch(field, got, want string) error {
	return &MismatchError{Backend: c.Backend, Field: field, Got: got, Want: want}
}
