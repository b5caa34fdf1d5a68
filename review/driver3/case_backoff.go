package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case and of the rule on back-offs.
const (
	reviewsPerS    = 12 // of all callers, all at one host at a time
	reviewsFor     = 6 * time.Second
	turnAwayAfter  = 4 * time.Second
	turnAwayFor    = 2 * time.Second
	reviewEvents   = 20
	reviewPause    = 60 * time.Millisecond
	reviewDeadline = 30 * time.Second
	statedWait     = 5 * time.Second // Retry-After of the server
	backOffGrace   = 500 * time.Millisecond
	maxInBackOff   = 2 // requests that may reach the server from a machine within a back-off
)

// playBackOff lets an engine turn requests away with 503 and Retry-After for a while. It counts what reaches it from a host from half a
// second after the first of these answers on.
func playBackOff(w *world) (broken bool, err error) {
	w.store.put(configurationID, map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r-review", "hostname": hostname, "prefix": "/pufi791/", "kind": "streaming", "timeoutMs": 30000, "latencyTargetMs": 4000, "priority": 1,
			"service": "assist-llm", "maxAttempts": 1, "sessionAffinity": true, "resumable": false, "gapTargetMs": 250,
		}},
		"services": []any{engineService("assist-llm")},
		"limits":   limits,
	})
	zones := []string{"muenchen", "rosenheim", "augsburg"}
	var isTurningAway atomic.Bool
	e := &engine{
		server: server{id: "i-assist", service: "assist-llm", zone: zones[0], slots: 64}, events: reviewEvents, pause: reviewPause,
		turnsAway: func() (time.Duration, bool) { return statedWait, isTurningAway.Load() },
	}
	if err := w.addEngine(e); err != nil {
		return false, err
	}
	for i := range 8 {
		if _, err := w.addHost(fmt.Sprintf("front-%s-%d", zones[i/3], i%3+1), zones[i/3]); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var calls []call
	for _, h := range w.hosts[:3] {
		c := newCaller(h.name + "-")
		w.note("callers send %d requests a second to %s", reviewsPerS, h.name)
		time.AfterFunc(turnAwayAfter, func() { isTurningAway.Store(w.trouble) })
		time.AfterFunc(turnAwayAfter+turnAwayFor, func() { isTurningAway.Store(false) })
		sent := sendReviews(c, h)
		calls = append(calls, sent...)
		broken = w.checkBackOff(e, h, sent) || broken
		time.Sleep(statedWait + 2*time.Second)
	}
	w.recordTraffic(calls)
	return broken, nil
}

// sendReviews sends requests to a host at a steady rate and waits for the answers.
func sendReviews(c *caller, h *host) []call {
	calls := make([]call, int(reviewsPerS*reviewsFor.Seconds()))
	ticker := time.NewTicker(time.Second / reviewsPerS)
	defer ticker.Stop()
	var ended sync.WaitGroup
	for i := range calls {
		<-ticker.C
		ended.Go(func() {
			part := strconv.Itoa(i)
			calls[i] = c.send(h, http.MethodPost, "/pufi791/2f", []byte("a warranty claim "+part), reviewDeadline, map[string]string{
				"Model": modelName, "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:350,9f" + part + ":1110",
			})
		})
	}
	ended.Wait()
	return calls
}

// checkBackOff applies the rule to the requests that a host has sent on.
func (w *world) checkBackOff(e *engine, h *host, calls []call) (broken bool) {
	isSent := make(map[string]bool)
	for _, c := range calls {
		isSent[c.id] = true
	}
	var turnedAwayAt time.Time
	late, total := 0, 0
	for _, a := range e.arrived() {
		if !isSent[a.id] {
			continue
		}
		total++
		if !a.ran && turnedAwayAt.IsZero() {
			turnedAwayAt = a.at
		}
		if since := a.at.Sub(turnedAwayAt); !turnedAwayAt.IsZero() && since > backOffGrace && since < statedWait {
			late++
			w.note("request %s reaches %s from %s %.3f s after it answered 503 with Retry-After %g", a.id, e.id, h.name, since.Seconds(), statedWait.Seconds())
		}
	}
	w.note("%s: %d of %d requests reached the server, %d of them in its back-off; allowed are %d", h.name, total, len(calls), late, maxInBackOff)
	return late > maxInBackOff
}
