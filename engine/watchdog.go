package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrGivenUp is the cause of a stream's end that Call.GiveUp asked for.
var ErrGivenUp = errors.New("engine: given up for a faster replica")

var errStalled = errors.New("engine: no chunk in time")

// watchdog ends a stream that is silent for too long.
type watchdog struct {
	patience time.Duration // silence after which giveUp is asked
	timeout  time.Duration // silence after which the stream counts as stalled
	giveUp   func() bool
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	heard    atomic.Int64 // nanoseconds since the epoch of the process's clock
	ended    atomic.Bool
}

// neverBarks is longer than any stream.
const neverBarks = 365 * 24 * time.Hour

var clockStart = time.Now()

func newWatchdog(call *Call, timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	d := &watchdog{patience: timeout, timeout: timeout, giveUp: call.GiveUp, cancel: cancel}
	if call.GiveUp != nil && call.Patience > 0 {
		d.patience = min(call.Patience, timeout)
	}
	d.heard.Store(int64(time.Since(clockStart)))
	d.timer = time.AfterFunc(neverBarks, d.bark)
	d.timer.Reset(d.patience) // only now, because bark reads the timer
	return d
}

// hear notes that a chunk came.
func (d *watchdog) hear() { d.heard.Store(int64(time.Since(clockStart))) }

func (d *watchdog) stop() {
	d.ended.Store(true)
	d.timer.Stop()
}

// bark runs when the timer fires; the timer is not set anew with each chunk.
func (d *watchdog) bark() {
	if d.ended.Load() {
		return
	}
	silence := time.Since(clockStart) - time.Duration(d.heard.Load())
	switch {
	case silence >= d.timeout:
		d.cancel(errStalled)
	case silence < d.patience:
		d.timer.Reset(d.patience - silence)
	case d.giveUp != nil && d.giveUp():
		d.cancel(ErrGivenUp)
	default:
		d.timer.Reset(min(d.patience, d.timeout-silence))
	}
}
