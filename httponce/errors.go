package httponce

import (
	"fmt"
	"time"
)

// UnsentError means that no byte of the request was ever written to a connection.
type UnsentError struct {
	Address string
	Err     error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("httponce: nothing was sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// BrokenError means that a part of the request was written and no response came; it may have run.
type BrokenError struct {
	Address string
	Reused  bool // the connection had carried earlier requests
	Took    time.Duration
	Err     error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("httponce: no response from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
