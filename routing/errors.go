package routing

import (
	"fmt"
	"time"
)

// Reason is the cause of a refusal.
type Reason string

const (
	ReasonQueueFull  Reason = "queue_full"
	ReasonDisplaced  Reason = "displaced" // a request that is served before it took its place in the full queue
	ReasonLate       Reason = "deadline_exceeded"
	ReasonSuspect    Reason = "suspect_request"
	ReasonPromptPart Reason = "suspect_prompt" // a part of its prompt crashes backend servers
	ReasonUnknown    Reason = "model_not_found"
	ReasonAbandoned  Reason = "abandoned"
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonSoftware   Reason = "software_version"  // the stream may go on at one software version only, which is not known or not in service
	ReasonLimited    Reason = "backend_limit"     // the backend servers that could serve it have stated limits that are used up
	ReasonFull       Reason = "backends_full"     // the backend servers that could serve it have refused requests for lack of room
	ReasonBackOff    Reason = "backends_back_off" // the backend servers that could serve it want no requests of this host for some time
	ReasonMemory     Reason = "backend_memory"    // it has more tokens than the memory of a backend server holds
)

// RefusedError is returned for a request that was not run.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
	Part       string   // the blocked part of the prompt, for ReasonPromptPart
	Backends   []string // the backend servers whose limits are used up, for ReasonLimited, that are full, for ReasonFull, or in back-off, for ReasonBackOff
	Turn       *Turn    // of a request with a workspace that was queued
}

// Turn is what decided when a request of a workspace is served.
type Turn struct {
	Workspace string
	Counter   float64 // of the workspace, see fairshare.Counters
	Lowest    float64 // counter of the workspaces of the same priority that wait
	Ahead     int     // requests that were expected to be served before it
}

func (e *RefusedError) Error() string {
	if e.Part != "" {
		return fmt.Sprintf("routing: refused: %s, part %s, retry after %s", e.Reason, e.Part, e.RetryAfter)
	}
	if e.Turn != nil {
		return fmt.Sprintf("routing: refused: %s, retry after %s, workspace %s with counter %.0f, lowest %.0f", e.Reason, e.RetryAfter, e.Turn.Workspace, e.Turn.Counter, e.Turn.Lowest)
	}
	return fmt.Sprintf("routing: refused: %s, retry after %s", e.Reason, e.RetryAfter)
}
