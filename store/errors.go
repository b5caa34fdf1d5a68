package store

import "fmt"

// NotFoundError tells that a key or a lease is absent.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %s not found", e.Key) }

// ConflictError tells that the revision of a key was not the expected one.
type ConflictError struct {
	Key     string
	Current Entry // Revision is 0 when the key is absent
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at revision %d", e.Key, e.Current.Revision)
}

// UnavailableError tells that the service gave no usable answer.
type UnavailableError struct {
	Key       string
	Ambiguous bool // a write may have taken effect
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Ambiguous {
		return fmt.Sprintf("store: %s unavailable, the write may have taken effect: %v", e.Key, e.Cause)
	}
	return fmt.Sprintf("store: %s unavailable: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RateLimitedError tells that the service refused a call over its rate. The call had no effect.
type RateLimitedError struct {
	Key string
}

// Error implements error.
func (e *RateLimitedError) Error() string { return fmt.Sprintf("store: %s over the rate limit", e.Key) }

// StatusError tells that the service answered with an unexpected status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("store: status %d", e.Status) }

// ValueTooLargeError tells that a value is over the service's limit. The write had no effect.
type ValueTooLargeError struct {
	Key   string
	Bytes int
}

// Error implements error.
func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("store: %s: value of %d bytes is too large", e.Key, e.Bytes)
}
