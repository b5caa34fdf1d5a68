package caller

import (
	"errors"
	"net/http"

	"citronspread/engine"
)

// errAnswerSuspended means that the answer refuses the chunks of this attempt, because another attempt will give it.
var errAnswerSuspended = errors.New("caller: answer suspended, another attempt will give it")

// answer delivers the validated chunks of a completion to the caller.
type answer interface {
	startKeepAlive()        // called when a replica was granted: a stream may send keep-alive comments from then on
	add(engine.Chunk) error // fails when the caller has disconnected
	finish() error          // completes the answer
	fail(failure)           // reports that the answer stays incomplete
	started() bool          // whether the caller has received a part
	suspend() bool          // makes a stream refuse chunks until reset; false when the caller has received a part
	reset()                 // discards what the caller has not received
	close()
}

func (s *Server) newAnswer(w http.ResponseWriter, c *completion) answer {
	if c.params.Stream {
		return newStreamAnswer(s, w)
	}
	return &bufferedAnswer{server: s, writer: w, completion: c}
}
