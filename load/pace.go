package load

import "time"

const (
	// readShare is the part of its time in which a backend server may read prompts. While it reads, the streams of its other requests
	// stand still.
	readShare = 0.5
	// burstShare is the part of the longest pause of a stream that prompts may take one after another.
	burstShare = 1.0 / 3
)

// Pacer spaces the prompts that a backend server begins to read, so that the streams of its other requests do not pause for longer than
// their callers accept: prompts that begin at once are read one after another before any stream goes on. It answers bursts of prompts at
// a server that several hosts choose in the same moment. The owner of the backend server keeps it.
type Pacer struct {
	level time.Duration // reading time that may begin now, negative while the time of earlier prompts is to come
	at    time.Time
}

// Prompt is a prompt that a host wants to have read.
type Prompt struct {
	Reading time.Duration // expected time of reading it
	Gap     time.Duration // longest pause that callers accept between events of their streams
	MaxWait time.Duration // how long it may wait for its turn
	IsOnly  bool          // no other backend server can serve the request
}

// Begin returns how long the prompt must wait for its turn, and takes the turn. It reports false if that is too long and another backend
// server can serve the request. If none can, the prompt goes as late as it may: the server gets more than it can read in time, and
// refusing some prompts would not make it read the others any sooner than that.
func (p *Pacer) Begin(now time.Time, prompt Prompt) (wait time.Duration, taken bool) {
	capacity := time.Duration(burstShare * float64(prompt.Gap))
	level := min(p.level+time.Duration(readShare*float64(now.Sub(p.at))), capacity)
	if p.at.IsZero() {
		level = capacity
	}
	p.level, p.at = level, now
	if missing := min(prompt.Reading, capacity) - level; missing > 0 {
		wait = time.Duration(float64(missing) / readShare)
	}
	if wait > prompt.MaxWait {
		if !prompt.IsOnly {
			return wait, false
		}
		return prompt.MaxWait, true // without a debt, which would delay those behind it by more than they may wait
	}
	p.level -= prompt.Reading
	return wait, true
}
