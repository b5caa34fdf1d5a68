package routing

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason string

// Reasons.
const (
	ReasonQueueFull  Reason = "queue_full"
	ReasonDisplaced  Reason = "displaced" // a request of higher priority took the place
	ReasonLate       Reason = "deadline_exceeded"
	ReasonSuspect    Reason = "suspect_request"
	ReasonUnknown    Reason = "model_not_found"
	ReasonAbandoned  Reason = "abandoned"
	ReasonNoEndpoint Reason = "no_endpoint"
)

// RefusedError means that a request was not run and why.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("routing: refused: %s, retry after %s", e.Reason, e.RetryAfter)
}
