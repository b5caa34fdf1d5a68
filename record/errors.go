package record

import "fmt"

// NameError reports that a record is stored under a key or name that does not match its own name.
type NameError struct {
	Key  string // key of the entry, or name under which the record is stored
	Name string // in the record or its body
}

func (e *NameError) Error() string {
	return fmt.Sprintf("record: stored under %q, but its Name is %q", e.Key, e.Name)
}

// ConflictError reports that the record was not at the expected revision, because of another write.
type ConflictError struct {
	Name      string
	Current   StoredRecord // the record now in the store
	Ambiguous bool         // this write may have taken effect before Current replaced it
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("record: conflict: %s is at revision %d, generation %d", e.Name, e.Current.Revision, e.Current.Record.Generation)
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

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("record: outcome of the write of %s unknown, it took effect if the stored nonce is %s: %v", e.Name, e.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
