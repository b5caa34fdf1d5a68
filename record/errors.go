package record

import "fmt"

// NameError reports that a record is stored under a name other than the one in its body.
type NameError struct {
	Key  string
	Name string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("record: stored under %q, but its Name is %q", e.Key, e.Name)
}

// ConflictError reports that the record was not at the expected revision, because of another write.
type ConflictError struct {
	Name      string
	Winner    Stored // the record now in the store
	Ambiguous bool   // this write may have taken effect before the winner replaced it
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("record: %s is at revision %d, generation %d", e.Name, e.Winner.Revision, e.Winner.Record.Generation)
	if e.Ambiguous {
		text += "; this write may have taken effect before and been replaced"
	}
	return text
}

// UnsettledError reports a write whose outcome is unknown. It took effect if the stored record has the nonce.
type UnsettledError struct {
	Name  string
	Nonce string
	Cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("record: outcome of the write of %s unknown, it took effect if the stored nonce is %s: %v", e.Name, e.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }
