package store

import "fmt"

// eraShift is the number of low bits of a revision that hold the store's own revision.
const eraShift = 40

// RevisionInEra returns the revision that stands for one of a store that was restored from an older copy era times. A
// restored store gives out revisions again; with its era in the high bits they only rise. 0 stays 0, for no revision.
func RevisionInEra(era, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return era<<eraShift | revision
}

// Era returns how often the store had been restored when it gave out a revision.
func Era(revision int64) int64 { return revision >> eraShift }

// WithinEra returns the store's own revision of a revision.
func WithinEra(revision int64) int64 { return revision & (1<<eraShift - 1) }

// RestoredError reports that the store was restored from an older copy since the call was prepared or sent. What the
// caller knows of the store is void, and a write may have taken effect.
type RestoredError struct {
	Era int64 // as of Era
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("store: restored from an older copy, now in era %d", e.Era)
}
