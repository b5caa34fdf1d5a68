package model

import "time"

// BackendStatement is what a backend server has stated about itself in its responses: the requests that it takes from all entry
// hosts together, and that it is leaving. Times are on the clock of the entry host.
type BackendStatement struct {
	Backend   string
	PerSecond float64
	Stated    bool      // false if it states no limit
	At        time.Time // when it stated its limit or none, zero if that is not known

	LeavingAt time.Time `cbor:",omitempty"` // when an entry host first learned that the incarnation is leaving, zero if it is not
	StatedTo  string    `cbor:",omitempty"` // name of that entry host
	Born      int64     `cbor:",omitempty"` // start time of that incarnation as BackendIncarnation.Born, 0 if unknown
}
