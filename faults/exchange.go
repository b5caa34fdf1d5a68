package faults

import (
	"sync"
	"time"
)

// outcome is the outcome of a request for its caller.
type outcome string

const (
	outcomeComplete     outcome = "complete answer"
	outcomeWrong        outcome = "wrong answer"
	outcomeNotRun       outcome = "refused, not run"
	outcomeMaybeRun     outcome = "failed, may have run"
	outcomeErrorEvent   outcome = "error event in the stream"
	outcomeInterrupted  outcome = "connection interrupted"
	outcomeTimedOut     outcome = "timed out"
	outcomeNoConnection outcome = "no connection"
)

// exchangeKind is the kind of a request.
type exchangeKind string

const (
	kindStream       exchangeKind = "stream"
	kindBuffered     exchangeKind = "answer" // completion that is not streamed
	kindBooking      exchangeKind = "booking without key"
	kindKeyedBooking exchangeKind = "booking with key"
	kindRead         exchangeKind = "read"
)

// isBooking reports whether the request is a booking, which must run at most once.
func (k exchangeKind) isBooking() bool { return k == kindBooking || k == kindKeyedBooking }

// exchange is a request with its outcome, as its caller saw it.
type exchange struct {
	kind    exchangeKind
	content string // unique for each request, the same for retries of a booking
	host    string
	begin   time.Time
	end     time.Time
	outcome outcome
	detail  string
}

// exchangeLog records the requests of a run.
type exchangeLog struct {
	mu  sync.Mutex
	all []exchange
}

func (e *exchangeLog) add(x exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, x)
}

func (e *exchangeLog) list() []exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.all[:len(e.all):len(e.all)]
}

// countOutcomes returns the number of requests of a kind by outcome.
func (e *exchangeLog) countOutcomes(kind exchangeKind) map[outcome]int {
	counts := map[outcome]int{}
	for _, x := range e.list() {
		if x.kind == kind {
			counts[x.outcome]++
		}
	}
	return counts
}
