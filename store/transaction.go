package store

import "fmt"

// Transaction changes several keys at once, or none.
type Transaction struct {
	Expected []Entry // Key and Revision; a revision of 0 means that the key does not exist
	Writes   []Write
	Remove   []string
}

// Write writes a key in a transaction.
type Write struct {
	Key   string
	Value []byte
	Lease int64 // the key is removed when this lease ends, 0 for none
}

// HistoryLostError tells that the changes after a revision are no longer available.
type HistoryLostError struct {
	Revision int64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store: no history after revision %d", e.Revision)
}
