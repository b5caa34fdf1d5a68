package httponce

import (
	"fmt"
	"time"
)

// UnsentError means that no byte of the request was written to a connection, and none will be.
type UnsentError struct {
	Address string
	Err     error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("httponce: request not sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// NoResponseError means that a write of the request was started and no complete and well-formed head of a response came. The
// request may have run.
type NoResponseError struct {
	Address    string
	Reused     bool          // the connection had carried earlier requests
	BeganAfter time.Duration // from the start of the request to the first byte of a response, 0 if none came
	Truncated  bool          // the connection was lost within the first line of a response, which Err may not show
	Elapsed    time.Duration // from the start of the request to the error
	Err        error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("httponce: no response from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }
