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
	Current   StoredRecord // the record now in the store
	Ambiguous bool         // this write may have taken effect before Current replaced it
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("record: %s is at revision %d, generation %d", e.Name, e.Current.Revision, e.Current.Record.Generation)
	if e.Ambiguous {
		text += "; this write may have taken effect before and been replaced"
	}
	return text
}

// UnknownOutcomeError reports a write whose outcome is unknown. It took effect if the stored record has the nonce.
type UnknownOutcomeError struct {
	Name  string
	Nonce string
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("record: outcome of the write of %s unknown, it took effect if the stored nonce is %s: %v", e.Name, e.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
