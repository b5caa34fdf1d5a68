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

// IncompleteResponseError means that the request may have run and that its response is incomplete.
type IncompleteResponseError struct {
	Backend        string
	Tokens         int  // delivered before the interruption
	ConnectionLost bool // the connection failed and the request was not cancelled on this side
	Err            error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("engine: %s: response interrupted after %d tokens: %v", e.Backend, e.Tokens, e.Err)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Err }

// MismatchError means that a chunk does not belong to the request or to its position in the response.
type MismatchError struct {
	Backend string
	Field   string
	Got     string
	Want    string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("engine: %s: chunk with %s %q, want %q", e.Backend, e.Field, e.Got, e.Want)
}

// RequestStatusError is an error that an engine reported without stating that it did not run the request.
type RequestStatusError struct {
	Backend string
	Status  int
	Code    string
	Message string
}

func (e *RequestStatusError) Error() string {
	return fmt.Sprintf("engine: %s: status %d, code %s: %s", e.Backend, e.Status, e.Code, e.Message)
}
