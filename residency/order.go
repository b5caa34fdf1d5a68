// Package residency decides which models and adapters a backend server loads and unloads, from an exact account of its
// memory and adapter slots. It is designed for many rarely used models and adapters that share few backend servers.
package residency

import (
	"fmt"
	"time"
)

// Kind is the kind of an order.
type Kind int

const (
	Load Kind = iota
	Unload
	LoadAdapter
	UnloadAdapter
)

var kindNames = [...]string{"Load", "Unload", "LoadAdapter", "UnloadAdapter"}

func (k Kind) String() string { return kindNames[k] }

// Order is a request to a backend server to load or unload a model or adapter.
type Order struct {
	Kind     Kind
	Model    string
	Adapter  string
	Expected int64  // number of orders accepted before this one; the backend server checks it when it carries the order out
	Owner    string // the entry host that sends it
	Term     int64  // fencing token of the owner
}

// Answer is the outcome of an order.
type Answer int

const (
	Unsent           Answer = iota // no byte reached the backend server
	Unanswered                     // the order may be carried out, now or later
	Accepted                       // the order is being carried out
	AlreadyDone                    // nothing had to be done, or the order was complete at once
	Conflict                       // another order is in progress, or the sequence number differs
	Fenced                         // the backend server has seen a higher fencing token
	OtherIncarnation               // another incarnation of the backend server responded
	Invalid                        // the backend server does not support the order
	Refused                        // any other refusal
)

var answerNames = [...]string{"Unsent", "Unanswered", "Accepted", "AlreadyHolds", "Conflict", "Fenced", "OtherLife", "Invalid", "Refused"}

func (a Answer) String() string { return answerNames[a] }

// InvariantError reports an account that violates an invariant.
type InvariantError struct {
	Backend string
	Detail  string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("residency: %s: %s", e.Backend, e.Detail)
}

// unresolvedOrder is an unanswered order. It may be carried out until the sequence number has passed the one it
// expects.
type unresolvedOrder struct {
	order Order
	mb    float64
	until time.Time
}
