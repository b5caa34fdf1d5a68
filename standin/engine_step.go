package standin

import (
	"time"
)

// startStepping starts the step loop when it does not run. The caller holds the mutex.
func (e *Engine) startStepping(l *life) {
	if e.batch.stepping {
		return
	}
	e.batch.stepping = true
	go e.stepLoop(l)
}

// stepLoop generates one token of each running stream a step, until no stream is left.
func (e *Engine) stepLoop(l *life) {
	for {
		interval, ok := e.prepareStep(l, time.Now())
		if !ok {
			return
		}
		if !sleep(l.ctx, interval) || !e.waitWhileFrozen(l.ctx) {
			return
		}
		e.step(l, time.Now())
	}
}

// prepareStep admits waiting streams and returns the time that the step takes.
func (e *Engine) prepareStep(l *life, now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
		return 0, false
	}
	e.sampleLoad(now)
	for s := e.batch.admit(e.BatchCapacity); s != nil; s = e.batch.admit(e.BatchCapacity) {
		if e.crashes(s.prompt) {
			e.crash(now)
			return 0, false
		}
		cached := e.prefixes.use(s.key, s.prompt, now)
		s.readyAt = now.Add(time.Duration(len(s.prompt)-cached) * e.PrefillPerByte)
	}
	if len(e.batch.running) == 0 {
		e.batch.stepping = false
		return 0, false
	}
	slowdown := (1 + e.SlowPerStream*float64(len(e.batch.running)-1)) * e.slowFactor(now)
	return time.Duration(slowdown / e.TokensPerSecond * float64(time.Second)), true
}

func (e *Engine) step(l *life, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
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
	e.batch.remove(func(s *stream) bool { return s.next >= s.last || s.next == s.truncateAt })
}

// generate hands the next token to a stream. Neighbour is a stream to cross answers with.
func (e *Engine) generate(s, neighbour *stream) {
	c := chunk{kind: chunkToken, from: s, index: s.next}
	if s.next < s.last {
		e.counts.Tokens++
		e.deliver(s, neighbour, c)
		s.next++
	}
	switch {
	case s.next == s.truncateAt:
		s.end(chunkTruncate)
	case s.next >= s.last:
		s.end(chunkFinish)
	}
}

func (e *Engine) deliver(s, neighbour *stream, c chunk) {
	if takeOne(&e.fault.CrossAnswers) {
		s.send(chunk{kind: chunkToken, from: strangerOf(s, neighbour), index: c.index})
		return
	}
	s.send(c)
	if takeOne(&e.fault.Duplicate) {
		s.send(c)
	}
}

// strangerOf returns the neighbour, or an invented stream when there is none.
func strangerOf(s, neighbour *stream) *stream {
	if neighbour != s {
		return neighbour
	}
	return &stream{id: "crossed-" + s.id, key: s.key, seed: s.seed + 1}
}
