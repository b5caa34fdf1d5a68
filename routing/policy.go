// Package routing decides which request goes to which backend server, and when.
package routing

import "time"

// Policy holds the limits of admission and routing on one entry host.
type Policy struct {
	QueueLimit      int           // requests that may wait
	LongTokens      int           // expected tokens from which a request counts as long
	LongCapShare    float64       // largest share of a replica's batch for long streams
	LongFloorShare  float64       // share of a replica's batch that long work is sure to get
	ShortRun        int           // short requests in a row while long work below its floor waits
	StaleAfter      time.Duration // age from which a replica's report is not trusted
	DefaultCapacity int           // batch size of a replica that reported none
	ColdStart       time.Duration // expected load time until one was measured
	AdapterStart    time.Duration // expected load time of an adapter whose model is loaded, 0 when it is like a model's
	WakeEvery       time.Duration // interval of repeated wakes
	OverloadPause   time.Duration // no new work for a backend server that said overloaded
	FailurePause    time.Duration // no new work for a backend server that could not be reached
	MoveFactor      float64       // how many times sooner another replica must finish an answer to take it over, 0 for never
	MoveGain        time.Duration // that it must finish sooner at least
	MoveSilence     time.Duration // silence of a stream before that is asked
	MaxMoves        int           // of one request
	SiteLimit       int           // calls at once to one host of a plain service
	AnyZone         bool          // replicas of other availability zones count as those of the own one
}

// DefaultPolicy returns the policy used when the settings state none.
func DefaultPolicy() Policy {
	return Policy{
		QueueLimit:      1024,
		LongTokens:      512,
		LongCapShare:    0.5,
		LongFloorShare:  0.125,
		ShortRun:        4,
		StaleAfter:      5 * time.Second,
		DefaultCapacity: 16,
		ColdStart:       5 * time.Second,
		WakeEvery:       500 * time.Millisecond,
		OverloadPause:   50 * time.Millisecond,
		FailurePause:    time.Second,
		MoveFactor:      2,
		MoveGain:        300 * time.Millisecond,
		MoveSilence:     150 * time.Millisecond,
		MaxMoves:        2,
		SiteLimit:       256,
	}
}

// longCap returns how many long streams this entry host may run at once on a replica.
func (p Policy) longCap(capacity, routers int) int {
	return shareOf(capacity, p.LongCapShare, routers)
}

// longFloor returns how many long streams this entry host is sure to run at once on a replica.
func (p Policy) longFloor(capacity, routers int) int {
	return min(shareOf(capacity, p.LongFloorShare, routers), p.longCap(capacity, routers))
}

// classOf returns the lane for a request of the expected length.
func (p Policy) classOf(expectedTokens int) Class {
	if expectedTokens >= p.LongTokens {
		return Long
	}
	return Short
}

func shareOf(capacity int, share float64, routers int) int {
	part := float64(capacity) * share / float64(max(routers, 1))
	return max(1, int(part+0.5))
}

// Class is the lane of a request.
type Class int

// Classes.
const (
	Short Class = iota
	Long
	classes
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Long {
		return "Long"
	}
	return "Short"
}
