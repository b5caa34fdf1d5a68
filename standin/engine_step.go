package standin

import (
	"time"
)

// startStepping starts the step loop unless it is running. e.mu must be held.
func (e *Engine) startStepping(inc *incarnation) {
	if e.batch.stepping {
		return
	}
	e.batch.stepping = true
	go e.stepLoop(inc)
}

// stepLoop generates one token per step for each running stream, until no stream is left or the engine crashes.
func (e *Engine) stepLoop(inc *incarnation) {
	for {
		interval, ok := e.prepareStep(inc, time.Now())
		if !ok {
			return
		}
		if !sleep(inc.ctx, interval) || !e.waitWhileFrozen(inc.ctx) {
			return
		}
		e.step(inc, time.Now())
	}
}

// prepareStep admits waiting streams and returns the duration of the next step. It returns false if no stream is
// running or the engine has crashed.
func (e *Engine) prepareStep(inc *incarnation, now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != inc {
		return 0, false
	}
	e.sampleLoad(now)
	for s := e.batch.admit(e.BatchCapacity); s != nil; s = e.batch.admit(e.BatchCapacity) {
		if e.crashes(s.prompt) {
			e.crash(now)
			return 0, false
		}
		cached := e.prefixes.cachePrompt(s.key, s.prompt, now)
		s.readyAt = now.Add(time.Duration(len(s.prompt)-cached) * e.PrefillPerByte)
	}
	if len(e.batch.running) == 0 {
		e.batch.stepping = false
		return 0, false
	}
	slowdown := (1 + e.SlowdownPerStream*float64(len(e.batch.running)-1)) * e.slowFactor(now)
	return time.Duration(slowdown / e.TokensPerSecond * float64(time.Second)), true
}

func (e *Engine) step(inc *incarnation, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != inc {
		return
	}
	ready := make([]*stream, 0, len(e.batch.running))
	for _, s := range e.batch.running {
		if !now.Before(s.readyAt) {
			ready = append(ready, s)
		}
	}
	for i, s := range ready {
		e.generate(s, ready[(i+1)%len(ready)])
	}
	e.batch.remove(func(s *stream) bool { return s.next >= s.finishAt || s.next == s.truncateAt })
}

// generate sends the next token to a stream. The CrossAnswers fault takes the token of neighbor instead.
func (e *Engine) generate(s, neighbor *stream) {
	c := chunk{kind: chunkToken, from: s, index: s.next}
	if s.next < s.finishAt {
		e.counts.Tokens++
		e.deliver(s, neighbor, c)
		s.next++
	}
	switch {
	case s.next == s.truncateAt:
		s.end(chunkTruncate)
	case s.next >= s.finishAt:
		s.end(chunkFinish)
	}
}

func (e *Engine) deliver(s, neighbor *stream, c chunk) {
	if consumeOne(&e.fault.CrossAnswers) {
		s.send(chunk{kind: chunkToken, from: crossedStream(s, neighbor), index: c.index})
		return
	}
	s.send(c)
	if consumeOne(&e.fault.Duplicate) {
		s.send(c)
	}
}

// crossedStream returns the stream whose token s receives under the CrossAnswers fault: neighbor, or a made-up stream
// if s is the only one.
func crossedStream(s, neighbor *stream) *stream {
	if neighbor != s {
		return neighbor
	}
	return &stream{id: "crossed-" + s.id, key: s.key, seed: s.seed + 1}
}
