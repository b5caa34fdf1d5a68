package store

import "fmt"

// Transaction changes several keys at once, or none.
type Transaction struct {
	Expected []Entry // Key and Revision; a revision of 0 means that the key does not exist
	Writes   []Entry // Key and Value
	Lease    int64   // of all writes, 0 for none
	Remove   []string
}

// HistoryLostError tells that the changes after a revision are no longer available.
type HistoryLostError struct {
	Revision int64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store: no history after revision %d", e.Revision)
}
