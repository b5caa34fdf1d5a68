package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrGivenUp means that the stream was cancelled because Call.GiveUp returned true.
var ErrGivenUp = errors.New("engine: stream cancelled in favor of a faster replica")

var errStalled = errors.New("engine: no chunk within the stall timeout")

// watchdog cancels a stream that sends nothing for too long.
type watchdog struct {
	giveUpAfter time.Duration // silence after which giveUp is called
	timeout     time.Duration // silence after which the stream counts as stalled
	giveUp      func() bool
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	lastChunk   atomic.Int64 // time of the last chunk, in nanoseconds since clockStart
	stopped     atomic.Bool
}

// initialTimerDelay is longer than any stream, so that the timer does not fire before newWatchdog sets its real delay.
const initialTimerDelay = 365 * 24 * time.Hour

var clockStart = time.Now()

func newWatchdog(call *Call, timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{giveUpAfter: timeout, timeout: timeout, giveUp: call.GiveUp, cancel: cancel}
	if call.GiveUp != nil && call.Patience > 0 {
		w.giveUpAfter = min(call.Patience, timeout)
	}
	w.lastChunk.Store(int64(time.Since(clockStart)))
	w.timer = time.AfterFunc(initialTimerDelay, w.check)
	w.timer.Reset(w.giveUpAfter) // only after the assignment, because check uses d.timer
	return w
}

// chunkReceived records the time of a chunk.
func (w *watchdog) chunkReceived() { w.lastChunk.Store(int64(time.Since(clockStart))) }

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// check runs when the timer fires. The timer is not reset with each chunk; check computes the remaining time instead.
func (w *watchdog) check() {
	if w.stopped.Load() {
		return
	}
	silence := time.Since(clockStart) - time.Duration(w.lastChunk.Load())
	switch {
	case silence >= w.timeout:
		w.cancel(errStalled)
	case silence < w.giveUpAfter:
		w.timer.Reset(w.giveUpAfter - silence)
	case w.giveUp != nil && w.giveUp():
		w.cancel(ErrGivenUp)
	default:
		w.timer.Reset(min(w.giveUpAfter, w.timeout-silence))
	}
}
