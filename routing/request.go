package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

// Target is the model version, with or without an adapter, that must be loaded to serve a request.
type Target struct {
	Key      model.ModelKey
	Adapter  string
	Software string // version of the backend server's software, empty for any
}

// Request describes a caller's request to the router.
type Request struct {
	ID           string
	Target       Target
	Service      string
	Workspace    string // empty if the request has none
	Fingerprint  model.Fingerprint
	PromptParts  []string // IDs of the parts of the prompt that other requests may share, in order
	Priority     int      // 0 (lowest) to 100
	Deadline     time.Time
	StartBy      time.Time // the caller disconnects if the response has not started by then; zero if there is no such limit
	PromptTokens int       // 0 if the caller stated none
	MaxTokens    int       // 0 if the caller set no limit
	Tokens       int       // of the prompt and of the longest possible answer, 0 if unknown
	Delivered    int       // tokens of earlier attempts that were delivered to the caller
	Remaining    int       // tokens that a resumption is expected to deliver, 0 for a new request
	Resumed      bool      // it continues after what earlier attempts have delivered
	Moves        int       // how often the response was moved to a faster replica
	Avoid        []string  // backend servers that failed this request

	askedAt    time.Time // when an allowance was first requested for it, zero before
	heldTokens int       // that it may take on its backend server, set when it is granted
	needsPlace bool      // the owner of the backend server must be asked for a place, set when it is granted
}

// unstatedPromptTokens is the length of a prompt whose caller stated none, so that it is not free.
const unstatedPromptTokens = 200

// promptTokens returns the tokens of the prompt for which the workspace is charged.
func (r *Request) promptTokens() int {
	if r.PromptTokens > 0 {
		return r.PromptTokens
	}
	return unstatedPromptTokens
}

// avoids reports whether the request has failed on the backend server.
func (r *Request) avoids(backend string) bool {
	return slices.Contains(r.Avoid, backend)
}

// isLate reports whether a response that starts and ends at the given times is too late for StartBy or Deadline.
func (r *Request) isLate(start, end time.Time) bool {
	return end.After(r.Deadline) || !r.StartBy.IsZero() && start.After(r.StartBy)
}

// expiresAt returns the time until which the request may wait: the earlier one of StartBy and Deadline.
func (r *Request) expiresAt() time.Time {
	if !r.StartBy.IsZero() && r.StartBy.Before(r.Deadline) {
		return r.StartBy
	}
	return r.Deadline
}
