package model

import "time"

// BackendStatement is what a backend server has stated of the requests that it takes from all entry hosts together.
type BackendStatement struct {
	Backend   string
	PerSecond float64
	Stated    bool      // false if it states no limit
	At        time.Time // when it stated it, on the clock of the entry host
}
