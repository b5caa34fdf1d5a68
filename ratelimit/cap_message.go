package ratelimit

import (
	"time"
)

// CapCall is what one host asks of another one.
type CapCall string

const (
	CapAllowance CapCall = "Allowance" // of an allotter, for the requests of a host
	CapAmount    CapCall = "Amount"    // of the leader of a pool, for a zone
	CapLend      CapCall = "Lend"      // of an allotter, the share of its zone for the pool of the sender
	CapConfirm   CapCall = "Confirm"   // whether the receiver takes the sender for the allotter, and its share with Take
)

// CapRequest is a request of one host to another one about the cap of a workspace.
type CapRequest struct {
	Call      CapCall
	Workspace string
	From      string // peer address of the sender
	Asker     string // name of the sender, or its zone in a CapAmount
	Count     int
	Least     int           // see Request
	Unused    int           // in a CapAllowance: amount of earlier allowances that has expired unused
	Refused   int           // in a CapAllowance: amount that the host has refused by itself since its last request
	Owed      int           // in a CapLend: part of this share in the debt of the pool
	Take      bool          // in a CapConfirm: the sender begins to divide the share, and the receiver gives it up if it has had it
	First     bool          // in a CapAllowance or CapAmount: see Request
	Patience  time.Duration // how long the reply may wait until there is enough
}

// CapReply is the reply to a CapRequest.
type CapReply struct {
	Allowance Reply
	Uncapped  bool // the receiver knows no cap of the workspace
	Loan      Loan
	Lent      bool
	First     bool // the sender is the allotter in the view of the receiver
	Given     *GivenShare
}

// GivenShare is the share of a zone that an allotter gives up, for the next one.
type GivenShare struct {
	Level   float64
	Owed    float64       // see Share.owed
	LentTo  string        // peer address of the leader whose pool has the share, empty if none has
	LentFor time.Duration // how long the pool may still use it
}

// CapMessage is a request that must be sent to another host. Desk.Receive gets the reply.
type CapMessage struct {
	To      string // peer address
	Request CapRequest
	zone    string    // of the receiver, in a CapLend
	former  bool      // in a CapConfirm: the receiver was the allotter before, and does not count among those that confirm
	sentAt  time.Time // tells a reply from that to an earlier request
}

func (r CapRequest) request() Request {
	return Request{Host: r.Asker, Count: r.Count, Least: r.Least, Queued: true, First: r.First}
}

func (r CapRequest) patience() time.Duration { return min(max(0, r.Patience), maxPatience) }
