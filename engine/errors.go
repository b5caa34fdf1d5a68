package engine

import "fmt"

// NotRunError means that the engine refused the request before running it.
type NotRunError struct {
	Backend string
	Status  int
	Code    string
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("engine: %s did not run the request: status %d, code %s", e.Backend, e.Status, e.Code)
}

// BrokenError means that the request may have run and its answer is not whole.
type BrokenError struct {
	Backend string
	Tokens  int  // delivered before the cut
	Died    bool // the connection was cut by the other end
	Err     error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("engine: %s: answer cut after %d tokens: %v", e.Backend, e.Tokens, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// MismatchError means that a chunk does not belong to the request or its place in the answer.
type MismatchError struct {
	Backend string
	Field   string
	Got     string
	Want    string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("engine: %s: chunk with %s %q, want %q", e.Backend, e.Field, e.Got, e.Want)
}

// StatusError is an answer of the engine that is neither a stream nor a statement that nothing ran.
type StatusError struct {
	Backend string
	Status  int
	Code    string
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: %s: status %d, code %s: %s", e.Backend, e.Status, e.Code, e.Message)
}
