// Package residency decides which orders a backend server gets, from an exact account of what it holds.
// It answers the load of many rarely used models and adapters that take turns on few backend servers.
package residency

import (
	"fmt"
	"time"
)

// Kind is what an order asks for.
type Kind int

// Kinds.
const (
	Load Kind = iota
	Unload
	LoadAdapter
	UnloadAdapter
)

var kindNames = [...]string{"Load", "Unload", "LoadAdapter", "UnloadAdapter"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Order asks a backend server to change what it holds.
type Order struct {
	Kind     Kind
	Model    string
	Adapter  string
	Expected int64  // orders accepted before it; the backend server checks this when it carries the order out
	Holder   string // the entry host that gives it
	Term     int64  // fencing number
}

// Answer is what became of an order that was sent.
type Answer int

// Answers.
const (
	Unsent       Answer = iota // no byte reached the backend server
	Unanswered                 // it may be carried out, now or later
	Accepted                   // it is being carried out
	AlreadyHolds               // nothing needed to be done, or it was done at once
	Conflict                   // another order is under way, or the sequence differs
	Fenced                     // a higher fencing number was seen
	OtherLife                  // another life of the backend server answered
	Invalid                    // the backend server does not know such an order
	Refused                    // any other refusal
)

var answerNames = [...]string{"Unsent", "Unanswered", "Accepted", "AlreadyHolds", "Conflict", "Fenced", "OtherLife", "Invalid", "Refused"}

// String returns the name of the answer.
func (a Answer) String() string { return answerNames[a] }

// InvariantError tells that an account breaks a rule that must always hold.
type InvariantError struct {
	Backend string
	Detail  string
}

// Error returns the text of the error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("residency: %s: %s", e.Backend, e.Detail)
}

// unresolved is an order without an answer. It may be carried out as long as the sequence has not passed it.
type unresolved struct {
	order Order
	mb    float64
	until time.Time
}
