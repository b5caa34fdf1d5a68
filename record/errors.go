package record

import "fmt"

// NameError tells that a record is stored under another name than its own.
type NameError struct {
	Key  string
	Name string
}

// Error returns both names.
func (e *NameError) Error() string {
	return fmt.Sprintf("record: stored as %q but its Name is %q", e.Key, e.Name)
}

// ConflictError tells that another write of the record won.
type ConflictError struct {
	Name      string
	Winner    Stored
	Ambiguous bool // this write may have been in force before the winner's
}

// Error returns the winner's revision and generation.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("record: %s is at revision %d, generation %d", e.Name, e.Winner.Revision, e.Winner.Record.Generation)
	if e.Ambiguous {
		text += "; this write may have been in force before that"
	}
	return text
}

// UnsettledError tells that nobody knows yet whether a write took effect.
type UnsettledError struct {
	Name  string
	Nonce string
	Cause error
}

// Error returns the name and the nonce to look for.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("record: the write of %s may have taken effect, compare the nonce %s: %v", e.Name, e.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }
