package caller

import (
	"errors"
	"net/http"

	"citronspread/engine"
)

// errResponseSuspended means that the response refuses the chunks of this attempt, because another attempt will
// deliver it.
var errResponseSuspended = errors.New("caller: response suspended, another attempt will deliver it")

// response delivers the validated chunks of a completion to the caller.
type response interface {
	startKeepAlive()        // called when a replica was granted: a stream may send keep-alive comments from then on
	add(engine.Chunk) error // fails when the caller has disconnected
	finish() error          // completes the response
	fail(failure)           // reports that the response stays incomplete
	started() bool          // whether the caller has received a part
	suspend() bool          // makes a stream refuse chunks until reset; false when the caller has received a part
	reset()                 // discards what the caller has not received
	close()
}

func (s *Server) newResponse(w http.ResponseWriter, c *completion) response {
	if c.params.Stream {
		return newStreamResponse(s, w)
	}
	return &bufferedResponse{server: s, writer: w, completion: c}
}
