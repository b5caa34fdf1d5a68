package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

// Target is what a request needs to be loaded.
type Target struct {
	Key     model.ModelKey
	Adapter string
}

// Request is what the router knows of a caller's request.
type Request struct {
	ID          string
	Target      Target
	Service     string
	Fingerprint model.Fingerprint
	Priority    int // 0 (lowest) to 100
	Deadline    time.Time
	MaxTokens   int      // 0 when the caller stated none
	Delivered   int      // tokens of earlier attempts that the caller keeps
	Remaining   int      // tokens that a resumption still expects, 0 for a new request
	Moves       int      // how often a faster replica took the answer over
	Avoid       []string // backend servers that failed this request
}

// avoids reports whether the request has failed on the backend server.
func (r *Request) avoids(backend string) bool {
	return slices.Contains(r.Avoid, backend)
}
