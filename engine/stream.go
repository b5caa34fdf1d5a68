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

	staleConnectionWindow = 20 * time.Millisecond // a request on an idle connection that the engine has closed fails within this time
	probeTimeout          = 200 * time.Millisecond

	codeModelNotLoaded   = "model_not_loaded"
	codeAdapterNotLoaded = "adapter_not_loaded"
	codeOverloaded       = "overloaded"

	finishCancelled = "cancelled"
)

var errCancelled = errors.New("engine: request cancelled")

// Document is a caller's JSON object. Unknown fields are passed on to the engine.
type Document map[string]json.RawMessage

// Call is a request for a completion at an engine.
type Call struct {
	Address  string // IP:port
	Backend  string
	Path     string
	ID       string
	Body     Document
	Model    string
	Adapter  string
	Priority int       // lower runs earlier
	Earlier  int       // earlier sends of the request of which a byte may have reached an engine
	Progress *Progress // tokens delivered so far by all streams of the same request; this stream adds its own

	SilenceLimit time.Duration // silence after which ShouldMove is called
	ShouldMove   func() bool   // whether to cancel so that a faster replica takes over; may be nil

	OnHead func(status int, header http.Header) // called with the head of the response; may be nil
}

// Progress records the tokens delivered for one request by all its streams.
type Progress struct {
	Hashes   []uint64 // one for each delivered token
	Finished bool
}

// Chunk is one validated event of a stream.
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
	body     bodyReader
}

// bodyReader records whether reading failed other than by io.EOF, that is, whether the connection was lost.
type bodyReader struct {
	reader io.Reader
	failed bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.failed = r.failed || err != nil && err != io.EOF
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

// Open starts the completion. The error is an *httponce.UnsentError, *NotRunError, *RequestStatusError or
// *IncompleteResponseError.
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
	response, err := s.Client.Repeat(request, call.Earlier)
	if err != nil {
		watchdog.stop()
		err = call.openError(ctx, err)
		cancel(nil)
		return nil, err
	}
	if call.OnHead != nil {
		call.OnHead(response.StatusCode, response.Header)
	}
	stream := &Stream{call: call, response: response, cancel: cancel, ctx: ctx, watchdog: watchdog}
	stream.body.reader = response.Body
	if response.StatusCode != http.StatusOK {
		defer stream.Close()
		return nil, stream.responseError()
	}
	return stream, nil
}

// Cancel sends the engine a cancellation of a request whose stream was abandoned. Errors are ignored.
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

// Chunks yields the validated chunks, each once. It ends without an error only if the response is complete.
func (s *Stream) Chunks() iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		config := &sse.ReadConfig{MaxEventSize: maxEventBytes}
		for event, err := range sse.Read(&s.body, config) {
			s.watchdog.chunkReceived()
			if err != nil {
				yield(Chunk{}, s.interrupted(err))
				return
			}
			if event.Data == doneData {
				s.checkEnd(yield)
				return
			}
			chunk, isNew, err := s.call.validate([]byte(event.Data))
			if err != nil {
				yield(Chunk{}, err)
				return
			}
			if isNew && !yield(chunk, nil) {
				return
			}
		}
		yield(Chunk{}, s.interrupted(io.ErrUnexpectedEOF))
	}
}

// Close cancels the stream unless it has ended, and releases its resources.
func (s *Stream) Close() {
	s.watchdog.stop()
	s.cancel(nil)
	s.response.Body.Close()
}

// checkEnd checks that the response is complete and reads to the end, so that the connection can be reused.
func (s *Stream) checkEnd(yield func(Chunk, error) bool) {
	if !s.call.Progress.Finished {
		yield(Chunk{}, &MismatchError{Backend: s.call.Backend, Field: "finish_reason", Got: doneData, Want: "a reason"})
		return
	}
	io.CopyN(io.Discard, s.response.Body, maxErrorBytes)
}

func (s *Stream) interrupted(err error) error {
	connectionLost := s.body.failed
	if cause := context.Cause(s.ctx); cause != nil {
		err, connectionLost = cause, false
	}
	return &IncompleteResponseError{Backend: s.call.Backend, Tokens: len(s.call.Progress.Hashes), ConnectionLost: connectionLost, Err: err}
}

// responseError returns the error that the engine states, or an *IncompleteResponseError if its response is truncated.
func (s *Stream) responseError() error {
	raw, err := io.ReadAll(io.LimitReader(&s.body, maxErrorBytes))
	if err != nil {
		return s.interrupted(err)
	}
	var body errorBodyWire
	// If the body is not an error object, the code stays empty.
	_ = json.Unmarshal(raw, &body)
	status, code := s.response.StatusCode, body.Error.Code
	notLoaded := status == http.StatusNotFound && (code == codeModelNotLoaded || code == codeAdapterNotLoaded)
	overloaded := status == http.StatusTooManyRequests && code == codeOverloaded
	if notLoaded || overloaded {
		return &NotRunError{Backend: s.call.Backend, Status: status, Code: code}
	}
	return &RequestStatusError{Backend: s.call.Backend, Status: status, Code: code, Message: body.Error.Message}
}

func (c *Call) openError(ctx context.Context, err error) error {
	var unsent *httponce.UnsentError
	if errors.As(err, &unsent) {
		return err
	}
	connectionLost := false
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	} else {
		connectionLost = c.engineFailed(err)
	}
	return &IncompleteResponseError{Backend: c.Backend, Tokens: len(c.Progress.Hashes), ConnectionLost: connectionLost, Err: err}
}

// engineFailed distinguishes a failed engine from one that closed an idle connection just as the request was sent.
// The latter fails quickly, on a reused connection only, and still accepts new connections.
func (c *Call) engineFailed(err error) bool {
	var noResponse *httponce.NoResponseError
	if !errors.As(err, &noResponse) {
		return false
	}
	if !noResponse.Reused || noResponse.Elapsed > staleConnectionWindow {
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

// validate checks that a chunk belongs to the request and reports whether it is new.
func (c *Call) validate(data []byte) (Chunk, bool, error) {
	var wire chunkWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Chunk{}, false, c.mismatch("data", string(data[:min(len(data), 80)]), "a JSON chunk")
	}
	if wire.Error != nil {
		err := &RequestStatusError{Backend: c.Backend, Status: http.StatusOK, Code: wire.Error.Code, Message: wire.Error.Message}
		return Chunk{}, false, &IncompleteResponseError{Backend: c.Backend, Tokens: len(c.Progress.Hashes), Err: err}
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
	return c.accept(chunk, wire.TokenIndex)
}

// accept adds the chunk to the delivered ones. Duplicates are dropped, and gaps are errors.
func (c *Call) accept(chunk Chunk, index *int) (Chunk, bool, error) {
	if chunk.Finish == finishCancelled {
		return chunk, false, &IncompleteResponseError{Backend: c.Backend, Tokens: len(c.Progress.Hashes), Err: errCancelled}
	}
	if chunk.Text == "" && chunk.Finish != "" {
		return c.acceptFinish(chunk, index)
	}
	if chunk.Text == "" && index == nil || len(chunk.Usage) > 0 {
		return chunk, true, nil
	}
	return c.acceptToken(chunk, index)
}

// acceptToken adds a chunk with a token.
func (c *Call) acceptToken(chunk Chunk, index *int) (Chunk, bool, error) {
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

// acceptFinish adds the chunk with the finish reason, whose index must be the number of tokens.
func (c *Call) acceptFinish(chunk Chunk, index *int) (Chunk, bool, error) {
	p := c.Progress
	if index != nil && *index != len(p.Hashes) {
		return chunk, false, c.mismatch("token_index", strconv.Itoa(*index), strconv.Itoa(len(p.Hashes)))
	}
	isNew := !p.Finished
	p.Finished = true
	return chunk, isNew, nil
}

func (c *Call) mismatch(field, got, want string) error {
	return &MismatchError{Backend: c.Backend, Field: field, Got: got, Want: want}
}
