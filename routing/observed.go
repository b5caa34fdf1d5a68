package routing

import (
	"math"
	"time"
)

const (
	latencyDecay = time.Second // time constant of the peak-sensitive averages
	stallFactor  = 4           // multiple of the usual gap that counts as a stall
)

// average is an exponentially weighted average that follows peaks at once and decays slowly.
type average struct {
	value float64 // seconds
	at    time.Time
}

// add takes in a sample.
func (a *average) add(now time.Time, sample time.Duration) {
	s := sample.Seconds()
	if a.at.IsZero() || s > a.value {
		a.value, a.at = s, now
		return
	}
	weight := math.Exp(-now.Sub(a.at).Seconds() / latencyDecay.Seconds())
	a.value = a.value*weight + s*(1-weight)
	a.at = now
}

// observed is what this router itself saw of a backend server.
type observed struct {
	first average // time to the first token
	gap   average // time between tokens of one stream
	last  time.Time
}

// begin notes that a request was sent while none was running.
func (o *observed) begin(now time.Time) { o.last = now }

// firstToken notes the time from sending to the first token.
func (o *observed) firstToken(now time.Time, wait time.Duration) {
	o.first.add(now, wait)
	o.last = now
}

// token notes the time since the stream's token before.
func (o *observed) token(now time.Time, gap time.Duration) {
	o.gap.add(now, gap)
	o.last = now
}

// latency estimates the time for an answer of the expected length, and when it was last observed.
func (o *observed) latency(now time.Time, outstanding, tokens int) (time.Duration, time.Time) {
	gap, at := o.gap.value, o.last
	if outstanding > 0 && !o.last.IsZero() {
		silence := now.Sub(o.last).Seconds()
		if silence > stallFactor*gap && silence > o.first.value {
			gap, at = silence, now
		}
	}
	return time.Duration((o.first.value + float64(tokens)*gap) * float64(time.Second)), at
}

// rest estimates the time to the end of an answer that would be moved here,
// or to its first token when none was delivered.
func (o *observed) rest(now time.Time, outstanding, tokens int, untilFirst bool) time.Duration {
	if untilFirst {
		tokens = 0
	}
	latency, _ := o.latency(now, outstanding, tokens)
	return latency
}
