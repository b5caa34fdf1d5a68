package faults

import (
	"sync"
	"time"
)

// outcome is how a request ended for its caller.
type outcome string

const (
	outcomeWhole        outcome = "whole answer"
	outcomeWrong        outcome = "wrong answer"
	outcomeNotRun       outcome = "refused, not run"
	outcomeMaybeRun     outcome = "failed, maybe run"
	outcomeErrorEvent   outcome = "explicit error in the stream"
	outcomeCut          outcome = "connection cut"
	outcomeTimedOut     outcome = "no end in time"
	outcomeNoConnection outcome = "no connection"
)

// exchangeKind tells what was asked for.
type exchangeKind string

const (
	kindStream       exchangeKind = "stream"
	kindAnswer       exchangeKind = "answer"
	kindBooking      exchangeKind = "booking without key"
	kindKeyedBooking exchangeKind = "booking with key"
	kindRead         exchangeKind = "read"
)

// isBooking reports whether the call may run at most once.
func (k exchangeKind) isBooking() bool { return k == kindBooking || k == kindKeyedBooking }

// exchange is one request as its caller saw it.
type exchange struct {
	kind    exchangeKind
	content string // unique for each request, the same for repeats of a booking
	host    string
	begin   time.Time
	end     time.Time
	outcome outcome
	detail  string
}

// exchanges keeps the requests of a run.
type exchanges struct {
	mu  sync.Mutex
	all []exchange
}

func (e *exchanges) add(x exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, x)
}

func (e *exchanges) list() []exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.all[:len(e.all):len(e.all)]
}

// countOutcomes returns how often each outcome came for a kind.
func (e *exchanges) countOutcomes(kind exchangeKind) map[outcome]int {
	counts := map[outcome]int{}
	for _, x := range e.list() {
		if x.kind == kind {
			counts[x.outcome]++
		}
	}
	return counts
}
