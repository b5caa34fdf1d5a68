package store

import "fmt"

// Transaction changes several keys atomically if all expected revisions match.
type Transaction struct {
	Expected []Entry // only Key and Revision are compared; revision 0 means that the key must not exist
	Writes   []Write
	Deletes  []string // keys to delete
}

// Write is the write of one key in a transaction.
type Write struct {
	Key   string
	Value []byte
	Lease int64 // lease whose expiry deletes the key; 0 for none
}

// HistoryLostError reports that the store no longer has the changes after a revision, so a watch cannot continue there.
type HistoryLostError struct {
	Revision int64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store: changes after revision %d are no longer available", e.Revision)
}
