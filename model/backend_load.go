package model

import "time"

// BackendLoad is what is known of the load of a backend server. Each of its parts has its own age and is replaced by a newer
// one, see load.Merge, so hosts that have received the same parts in any order know the same.
type BackendLoad struct {
	Backend string
	Stated  StatedLoad
	Held    HeldLoad
	FullAt  time.Time // when it last refused a request for lack of room, zero if never
}

// StatedLoad is the load that a backend server has stated in a response.
type StatedLoad struct {
	Running  int       // requests in the batch
	Waiting  int       // requests in the server's own queue
	Slots    int       // requests that the batch can hold
	Slowness int       // time of a step in per cent of the usual one
	At       time.Time // zero if nothing was stated
}

// HeldLoad is the sum of the requests that the entry hosts have reported to have on a backend server, running or waiting.
type HeldLoad struct {
	Requests int
	Tokens   int       // of their prompts and longest possible answers
	Rate     float64   // requests per second that were sent
	At       time.Time // zero if nothing was reported
}
