package routing

import (
	"fmt"
	"time"
)

// Reason is the cause of a refusal.
type Reason string

const (
	ReasonQueueFull  Reason = "queue_full"
	ReasonDisplaced  Reason = "displaced" // a request of higher priority took its place in the full queue
	ReasonLate       Reason = "deadline_exceeded"
	ReasonSuspect    Reason = "suspect_request"
	ReasonPromptPart Reason = "suspect_prompt" // a part of its prompt crashes backend servers
	ReasonUnknown    Reason = "model_not_found"
	ReasonAbandoned  Reason = "abandoned"
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonSoftware   Reason = "software_version" // the stream may go on at one software version only, which is not known or not in service
	ReasonLimited    Reason = "backend_limit"    // the backend servers that could serve it have stated limits that are used up
	ReasonFull       Reason = "backends_full"    // the backend servers that could serve it have refused requests for lack of room
	ReasonMemory     Reason = "backend_memory"   // it has more tokens than the memory of a backend server holds
)

// RefusedError is returned for a request that was not run.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
	Part       string   // the blocked part of the prompt, for ReasonPromptPart
	Backends   []string // the backend servers whose limits are used up, for ReasonLimited, or that are full, for ReasonFull
}

func (e *RefusedError) Error() string {
	if e.Part != "" {
		return fmt.Sprintf("routing: refused: %s, part %s, retry after %s", e.Reason, e.Part, e.RetryAfter)
	}
	return fmt.Sprintf("routing: refused: %s, retry after %s", e.Reason, e.RetryAfter)
}
