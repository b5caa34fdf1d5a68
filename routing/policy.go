// Package routing queues the requests of an entry host and decides when each is sent and to which backend server.
package routing

import (
	"math"
	"time"
)

// Policy holds the limits of admission and routing on one entry host.
type Policy struct {
	QueueLimit       int           // maximum number of waiting requests
	LongTokens       int           // expected tokens from which a request is in class Long
	LongCapShare     float64       // maximum share of a replica's batch for long requests
	LongFloorShare   float64       // guaranteed share of a replica's batch for long requests
	MaxShortStreak   int           // maximum number of short grants in a row while long requests wait below their guaranteed share
	StaleAfter       time.Duration // age from which a replica's report counts as stale
	DefaultCapacity  int           // assumed batch size of a replica that reported none
	ColdStart        time.Duration // expected cold start of a model until one was measured
	AdapterStart     time.Duration // expected load time of an adapter whose model is loaded, 0 to expect the model's cold start
	DemandInterval   time.Duration // interval between load demands for a target
	FillFactor       float64       // known load from which a backend server gets no further request, as a multiple of its capacity; 0 if the replicas' reports state the load
	FailurePause     time.Duration // pause of a backend server that failed; multiplied by the number of failures in a row
	MoveFactor       float64       // minimum ratio of a response's remaining time to that on another replica for a move, 0 for no moves
	MoveGain         time.Duration // minimum time saved by moving a response
	MoveSilence      time.Duration // time without a token before a move is considered
	MaxMoves         int           // maximum number of moves of one request
	MaxEndpointCalls int           // maximum number of concurrent calls to one endpoint of a plain service
	AnyZone          bool          // treat replicas of other availability zones like those of the router's zone
}

// DefaultPolicy returns the limits that apply unless the settings set others.
func DefaultPolicy() Policy {
	return Policy{
		QueueLimit:       1024,
		LongTokens:       512,
		LongCapShare:     0.5,
		LongFloorShare:   0.125,
		MaxShortStreak:   4,
		StaleAfter:       5 * time.Second,
		DefaultCapacity:  16,
		ColdStart:        5 * time.Second,
		DemandInterval:   500 * time.Millisecond,
		FailurePause:     time.Second,
		MoveFactor:       2,
		MoveGain:         300 * time.Millisecond,
		MoveSilence:      150 * time.Millisecond,
		MaxMoves:         2,
		MaxEndpointCalls: 256,
	}
}

// fillLimit returns the known load from which a backend server gets no further request.
func (p Policy) fillLimit(capacity int) float64 {
	if p.FillFactor <= 0 {
		return math.Inf(1)
	}
	return p.FillFactor * float64(capacity)
}

// longCap returns how many long requests this entry host may run concurrently on a replica.
func (p Policy) longCap(capacity, routers int) int {
	return routerShare(capacity, p.LongCapShare, routers)
}

// longFloor returns how many long requests this entry host is guaranteed to run concurrently on a replica.
func (p Policy) longFloor(capacity, routers int) int {
	return min(routerShare(capacity, p.LongFloorShare, routers), p.longCap(capacity, routers))
}

// classOf returns the class of a request with the expected number of tokens.
func (p Policy) classOf(expectedTokens int) Class {
	if expectedTokens >= p.LongTokens {
		return Long
	}
	return Short
}

// routerShare returns one router's part of a share of the capacity, rounded to the nearest integer and at least 1.
func routerShare(capacity int, share float64, routers int) int {
	part := float64(capacity) * share / float64(max(routers, 1))
	return max(1, int(part+0.5))
}

// Class divides requests by their expected length.
type Class int

const (
	Short Class = iota
	Long
	classes
)

func (c Class) String() string {
	if c == Long {
		return "Long"
	}
	return "Short"
}
