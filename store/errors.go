package store

import "fmt"

// NotFoundError reports that a key or a lease does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %s not found", e.Key) }

// ConflictError reports that a key was not at the expected revision.
type ConflictError struct {
	Key     string
	Current Entry // its Revision is 0 if the key does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conflict: %s is at revision %d", e.Key, e.Current.Revision)
}

// UnavailableError reports that the service returned no usable response.
type UnavailableError struct {
	Key       string
	Ambiguous bool // the write may have taken effect
	Cause     error
}

func (e *UnavailableError) Error() string {
	if e.Ambiguous {
		return fmt.Sprintf("store: %s unavailable, the write may have taken effect: %v", e.Key, e.Cause)
	}
	return fmt.Sprintf("store: %s unavailable: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RateLimitedError reports that the service refused a request because of its rate limit. The request had no effect.
type RateLimitedError struct {
	Key string
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("store: rate limit exceeded for %s", e.Key)
}

// StatusError reports an unexpected HTTP status of a response.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("store: unexpected status %d", e.Status) }

// ValueTooLargeError reports that a value exceeds the size limit of the service. The write had no effect.
type ValueTooLargeError struct {
	Key   string
	Bytes int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("store: %s: value of %d bytes is too large", e.Key, e.Bytes)
}
