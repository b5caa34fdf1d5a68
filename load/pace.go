package load

import "time"

const (
	// readShare is the part of its time in which a backend server may read prompts. While it reads, the streams of its other requests
	// stand still.
	readShare = 0.5
	// burstShare is the part of the longest pause of a stream that prompts may take one after another.
	burstShare = 1.0 / 3
	// usualPerToken is the usual time in microseconds until the first event, for each token of the prompt.
	usualPerToken = 40.0
	// learnFactor is the step by which the estimate of a backend server's own time follows what hosts observe, and maxPaceFactor bounds
	// how far it may be from the usual one.
	learnFactor   = 1.03
	maxPaceFactor = 4.0
	// maxReading bounds the time of one prompt, whatever its host states.
	maxReading = 2 * time.Second
)

// Pacer spaces the prompts that a backend server begins to read, so that the streams of its other requests do not pause for longer than
// their callers accept: prompts that begin at once are read one after another before any stream goes on. It answers bursts of prompts at
// a server that several hosts choose in the same moment. The owner of the backend server keeps it.
type Pacer struct {
	level    time.Duration // reading time that may begin now, negative while the time of earlier prompts is to come
	at       time.Time
	perToken float64 // reading time in microseconds, 0 for the usual one
}

// Prompt is a prompt that a host wants to have read.
type Prompt struct {
	Tokens  int
	Gap     time.Duration // longest pause that callers accept between events of their streams
	MaxWait time.Duration // how long it may wait for its turn
}

// Learn records how long a host waited for the first events of responses to prompts with a number of tokens. That takes the longer the
// more the backend server has to do, so the estimate follows the shorter times: a quarter of them are below it.
func (p *Pacer) Learn(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	pace := p.pace()
	if float64(took.Microseconds()) < pace*float64(tokens) {
		pace /= learnFactor * learnFactor * learnFactor
	} else {
		pace *= learnFactor
	}
	p.perToken = min(max(pace, usualPerToken/maxPaceFactor), usualPerToken*maxPaceFactor)
}

func (p *Pacer) pace() float64 {
	if p.perToken == 0 {
		return usualPerToken
	}
	return p.perToken
}

// Slowness returns how much longer than usual the backend server takes to read a prompt.
func (p *Pacer) Slowness() float64 { return p.pace() / usualPerToken }

// Begin returns how long the prompt must wait for its turn, and takes the turn. It reports false if that is too long.
func (p *Pacer) Begin(now time.Time, prompt Prompt) (wait time.Duration, taken bool) {
	capacity := time.Duration(burstShare * float64(prompt.Gap))
	reading := min(time.Duration(p.pace()*float64(prompt.Tokens))*time.Microsecond, maxReading)
	level := min(p.level+time.Duration(readShare*float64(now.Sub(p.at))), capacity)
	if p.at.IsZero() {
		level = capacity
	}
	p.level, p.at = level, now
	if missing := min(reading, capacity) - level; missing > 0 {
		wait = time.Duration(float64(missing) / readShare)
	}
	if wait > prompt.MaxWait {
		return wait, false
	}
	p.level -= reading
	return wait, true
}
