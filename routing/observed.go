package routing

import (
	"math"
	"time"
)

const (
	latencyDecay = time.Second // time constant of the averages
	stallFactor  = 4           // multiple of the average gap from which silence counts as a stall
)

// peakAverage is an exponentially weighted average that rises to a higher sample at once and decays with latencyDecay.
type peakAverage struct {
	value float64 // seconds
	at    time.Time
}

func (a *peakAverage) add(now time.Time, sample time.Duration) {
	s := sample.Seconds()
	if a.at.IsZero() || s > a.value {
		a.value, a.at = s, now
		return
	}
	weight := math.Exp(-now.Sub(a.at).Seconds() / latencyDecay.Seconds())
	a.value = a.value*weight + s*(1-weight)
	a.at = now
}

// observed holds this router's own latency measurements of a backend server.
type observed struct {
	timeToFirstToken peakAverage
	tokenGap         peakAverage // time between tokens of one stream
	lastTokenAt      time.Time   // last token, or the start of the first request after an idle time
}

// recordStart records that a request was sent while none was running.
func (o *observed) recordStart(now time.Time) { o.lastTokenAt = now }

// recordFirstToken records the time from the start of the attempt to its first token.
func (o *observed) recordFirstToken(now time.Time, wait time.Duration) {
	o.timeToFirstToken.add(now, wait)
	o.lastTokenAt = now
}

// recordToken records the time between two tokens of a stream.
func (o *observed) recordToken(now time.Time, gap time.Duration) {
	o.tokenGap.add(now, gap)
	o.lastTokenAt = now
}

// latency estimates the time for a response of the given number of tokens. It also returns when the estimate was last
// updated by an observation. A stall counts as an observation: the silence so far then replaces the average gap.
func (o *observed) latency(now time.Time, outstanding, tokens int) (time.Duration, time.Time) {
	gap, at := o.tokenGap.value, o.lastTokenAt
	if outstanding > 0 && !o.lastTokenAt.IsZero() {
		silence := now.Sub(o.lastTokenAt).Seconds()
		if silence > stallFactor*gap && silence > o.timeToFirstToken.value {
			gap, at = silence, now
		}
	}
	return time.Duration((o.timeToFirstToken.value + float64(tokens)*gap) * float64(time.Second)), at
}

// remainingTime estimates the time to the end of a response that is moved to this backend server, or to its first token
// if untilFirst is set.
func (o *observed) remainingTime(now time.Time, outstanding, tokens int, untilFirst bool) time.Duration {
	if untilFirst {
		tokens = 0
	}
	latency, _ := o.latency(now, outstanding, tokens)
	return latency
}
