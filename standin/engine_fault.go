package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"
)

// EngineFault configures the faults that an engine injects until the next POST /fault.
type EngineFault struct {
	CrashText        string   // the engine crashes when it admits a prompt that contains this text
	CrashNow         bool     // crash immediately, once
	SlowFactor       float64  // multiplies the time per token; 0 for none
	SlowMS           int64    // duration of SlowFactor; if 0, until the next fault
	FreezeMS         int64    // requests and token generation stop for this time
	LateMS           int64    // delay before a response starts
	CrossAnswers     int      // the next N tokens are replaced by tokens of another stream
	Truncate         int      // the next N streams end without a finish reason
	Duplicate        int      // the next N tokens are sent twice
	LoadFails        int      // the next N loads fail
	LoadSlowFactor   float64  // multiplies the time of a load; 0 for none
	OrderDelayMS     int64    // delay between the arrival of an order and its execution
	LoseOrderAnswers int      // the next N orders are executed without a response
	UnreachableZones []string // connections from these zones are closed
}

// activeEngineFault is the current fault with the times at which its temporary parts end.
type activeEngineFault struct {
	EngineFault
	slowUntil   time.Time // zero if SlowFactor lasts until the next fault
	frozenUntil time.Time
}

// SetFault replaces the current fault.
func (e *Engine) SetFault(fault EngineFault) {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = activeEngineFault{EngineFault: fault}
	e.activateFault(time.Now())
}

// EditFault modifies the current fault. A slowdown or freeze in progress keeps its end time unless edit sets a new
// duration.
func (e *Engine) EditFault(edit func(current *EngineFault)) {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.fault.EngineFault)
	e.activateFault(time.Now())
}

// activateFault converts the durations of the fault to end times and crashes the engine if CrashNow is set. e.mu must
// be held.
func (e *Engine) activateFault(now time.Time) {
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

// slowFactor returns the factor on the time per token. e.mu must be held.
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

// waitWhileFrozen waits until the engine is not frozen. It returns false if ctx ends first.
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

// isUnreachable reports whether the engine is unreachable from the zone that a request comes from.
func (e *Engine) isUnreachable(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.fault.UnreachableZones, r.Header.Get(zoneHeader))
}

// crashes reports whether running a prompt crashes the engine. e.mu must be held.
func (e *Engine) crashes(prompt string) bool {
	return e.fault.CrashText != "" && strings.Contains(prompt, e.fault.CrashText)
}

// consumeOne decrements the number of remaining faults of a kind. It returns false if none remain.
func consumeOne(n *int) bool {
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

// consumeLostResponse reports whether the response to the current order is lost.
func (e *Engine) consumeLostResponse() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return consumeOne(&e.fault.LoseOrderAnswers)
}
