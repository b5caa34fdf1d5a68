package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"
)

// EngineFault is what an engine does wrong until the next POST /fault.
type EngineFault struct {
	CrashText        string // the engine crashes when it runs a prompt with this text
	CrashNow         bool
	SlowFactor       float64 // of the time of a token
	SlowMS           int64   // how long SlowFactor lasts, until the next fault when 0
	FreezeMS         int64
	LateMS           int64 // before the first chunk of a stream
	CrossAnswers     int   // the next chunks are swapped between two streams
	Truncate         int   // the next streams end without a finish
	Duplicate        int   // the next chunks are sent twice
	LoadFails        int   // the next loads fail
	LoadSlowFactor   float64
	OrderDelayMS     int64    // from the arrival of an order until it is carried out
	LoseOrderAnswers int      // the next orders are carried out without an answer
	UnreachableZones []string // connections from these zones are closed
}

// engineFault is the present fault with its ends.
type engineFault struct {
	EngineFault
	slowUntil   time.Time
	frozenUntil time.Time
}

// SetFault replaces the present fault.
func (e *Engine) SetFault(fault EngineFault) {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = engineFault{EngineFault: fault}
	e.beginFault(time.Now())
}

// EditFault changes the present fault. What lasts for a time goes on unless it is set anew.
func (e *Engine) EditFault(edit func(present *EngineFault)) {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.fault.EngineFault)
	e.beginFault(time.Now())
}

// beginFault turns durations into ends. The caller holds the mutex.
func (e *Engine) beginFault(now time.Time) {
	f := &e.fault
	if f.SlowMS > 0 {
		f.slowUntil = now.Add(time.Duration(f.SlowMS) * time.Millisecond)
	}
	if f.FreezeMS > 0 {
		f.frozenUntil = now.Add(time.Duration(f.FreezeMS) * time.Millisecond)
	}
	f.SlowMS, f.FreezeMS = 0, 0
	if f.CrashNow {
		f.CrashNow = false
		e.crash(now)
	}
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault EngineFault
	if !readJSON(w, r, &fault) {
		return
	}
	e.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}

// slowFactor returns the factor on the time of a token. The caller holds the mutex.
func (e *Engine) slowFactor(now time.Time) float64 {
	ended := !e.fault.slowUntil.IsZero() && now.After(e.fault.slowUntil)
	if e.fault.SlowFactor == 0 || ended {
		return 1
	}
	return e.fault.SlowFactor
}

func (e *Engine) loadSlowFactor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.LoadSlowFactor == 0 {
		return 1
	}
	return e.fault.LoadSlowFactor
}

func (e *Engine) frozenFor(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.frozenUntil.Sub(now)
}

// waitWhileFrozen reports whether ctx outlasted the freeze.
func (e *Engine) waitWhileFrozen(ctx context.Context) bool {
	for {
		d := e.frozenFor(time.Now())
		if d <= 0 {
			return ctx.Err() == nil
		}
		if !sleep(ctx, d) {
			return false
		}
	}
}

// isCut reports whether the engine can't be reached from the caller's zone.
func (e *Engine) isCut(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.fault.UnreachableZones, r.Header.Get(zoneHeader))
}

// crashes reports whether running a prompt crashes the engine. The caller holds the mutex.
func (e *Engine) crashes(prompt string) bool {
	return e.fault.CrashText != "" && strings.Contains(prompt, e.fault.CrashText)
}

// takeOne takes one off a number of faults to come.
func takeOne(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) orderDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.fault.OrderDelayMS) * time.Millisecond
}

func (e *Engine) losesAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return takeOne(&e.fault.LoseOrderAnswers)
}
