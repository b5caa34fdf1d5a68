package caller

import (
	"errors"
	"net/http"

	"citronspread/engine"
)

// errBarred means that the answer is left to another attempt.
var errBarred = errors.New("caller: the answer is left to another attempt")

// answer takes in the checked chunks of a completion and gives them to the caller.
type answer interface {
	admitted()              // a replica was granted; the wait may be shown from now on
	add(engine.Chunk) error // fails when the caller has gone
	finish() error          // the answer is whole
	fail(failure)           // the answer stays incomplete
	started() bool          // the caller has seen a part
	bar() bool              // takes in nothing until reset; fails when the caller has seen a part
	reset()                 // drops what the caller has not seen
	close()
}

func (s *Server) newAnswer(w http.ResponseWriter, c *completion) answer {
	if c.question.Stream {
		return newStreamAnswer(s, w)
	}
	return &wholeAnswer{server: s, writer: w, completion: c}
}
