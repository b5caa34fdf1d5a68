package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrMoved means that the stream was cancelled because Call.ShouldMove returned true.
var ErrMoved = errors.New("engine: stream cancelled in favor of a faster replica")

var errStalled = errors.New("engine: no chunk within the stall timeout")

// watchdog cancels a stream that sends nothing for too long.
type watchdog struct {
	silenceLimit time.Duration // silence after which shouldMove is called
	timeout      time.Duration // silence after which the stream counts as stalled
	shouldMove   func() bool
	cancel       context.CancelCauseFunc
	timer        *time.Timer
	lastChunk    atomic.Int64 // time of the last chunk, in nanoseconds since clockStart
	stopped      atomic.Bool
}

// initialTimerDelay is longer than any stream, so that the timer does not fire before newWatchdog sets its real delay.
const initialTimerDelay = 365 * 24 * time.Hour

var clockStart = time.Now()

func newWatchdog(call *Call, timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{silenceLimit: timeout, timeout: timeout, shouldMove: call.ShouldMove, cancel: cancel}
	if call.ShouldMove != nil && call.SilenceLimit > 0 {
		w.silenceLimit = min(call.SilenceLimit, timeout)
	}
	w.lastChunk.Store(int64(time.Since(clockStart)))
	w.timer = time.AfterFunc(initialTimerDelay, w.check)
	w.timer.Reset(w.silenceLimit) // only after the assignment, because check uses w.timer
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
	case silence < w.silenceLimit:
		w.timer.Reset(w.silenceLimit - silence)
	case w.shouldMove != nil && w.shouldMove():
		w.cancel(ErrMoved)
	default:
		w.timer.Reset(min(w.silenceLimit, w.timeout-silence))
	}
}
