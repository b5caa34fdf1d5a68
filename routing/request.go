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
	StartBy     time.Time // the caller leaves when nothing has come by then, zero for no such time
	MaxTokens   int       // 0 when the caller stated none
	Delivered   int       // tokens of earlier attempts that the caller keeps
	Remaining   int       // tokens that a resumption still expects, 0 for a new request
	Moves       int       // how often a faster replica took the answer over
	Avoid       []string  // backend servers that failed this request
}

// avoids reports whether the request has failed on the backend server.
func (r *Request) avoids(backend string) bool {
	return slices.Contains(r.Avoid, backend)
}

// isLate reports whether an answer that starts and ends at these times comes too late.
func (r *Request) isLate(start, end time.Time) bool {
	return end.After(r.Deadline) || !r.StartBy.IsZero() && start.After(r.StartBy)
}

// giveUpAt is when waiting becomes pointless.
func (r *Request) giveUpAt() time.Time {
	if !r.StartBy.IsZero() && r.StartBy.Before(r.Deadline) {
		return r.StartBy
	}
	return r.Deadline
}
