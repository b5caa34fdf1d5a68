package main

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the case. The site has 8 hosts, and spells of spoilt answers of this share and length.
const (
	garbleShare    = 0.03 // of the answers
	garbleSpell    = 5 * time.Second
	garblePause    = time.Second
	bookingTimeout = 3 * time.Second
	bookingWork    = 60 * time.Millisecond
	bookingPause   = 20 * time.Millisecond // of a caller between two bookings, at most
	bookingsFor    = 60 * time.Second

	bookingsPerStatus = 20 // of a caller
)

// playTwice lets one of two backend servers, that of bookings, send some of its answers a second time, late: when the next request of the
// connection has been read. It counts how often each booking runs.
func playTwice(w *world) (broken bool, err error) {
	w.store.put(configurationID, map[string]any{
		"version": 2,
		"routes": []any{
			map[string]any{
				"name": "r-booking", "hostname": hostname, "prefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 3000, "latencyTargetMs": 300, "priority": 2,
				"service": "dispatch-app", "maxAttempts": 1,
			},
			map[string]any{
				"name": "r-status", "hostname": hostname, "prefix": "/cufi504/", "kind": "safe", "timeoutMs": 3000, "latencyTargetMs": 300, "priority": 2,
				"service": "status-app", "maxAttempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": "dispatch-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "status-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": limits,
	})
	zones := []string{"muenchen", "rosenheim", "augsburg"}
	s := &server{id: "i-dispatch", service: "dispatch-app", zone: zones[0], isSilent: true, slots: 4, queue: 2, work: bookingWork}
	if w.trouble {
		s.after = func(id string, status int, response []byte) []byte { return w.secondAnswer(s, id, status, response) }
	}
	if err := w.addServer(s); err != nil {
		return false, err
	}
	sound := &server{id: "i-status", service: "status-app", zone: zones[1], slots: 6, queue: 24, work: bookingWork}
	if err := w.addServer(sound); err != nil {
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
	time.Sleep(2 * time.Second)
	b := &bookings{calls: make(map[string]call), statuses: make(map[int]int)}
	var ended sync.WaitGroup
	for _, h := range w.hosts {
		ended.Go(func() { b.book(h) })
	}
	ended.Wait()
	w.recordTraffic(append(slices.Collect(maps.Values(b.calls)), b.checks...))
	return b.check(w, s), nil
}

// secondAnswer returns the bytes that follow an answer late, if it is one of those that are spoilt.
func (w *world) secondAnswer(s *server, id string, status int, response []byte) []byte {
	isSpell := time.Since(w.started)%(garbleSpell+garblePause) < garbleSpell
	if !isSpell || rand.Float64() >= garbleShare {
		return nil
	}
	w.note("%s answered %d to %s, and does so again when it has read the next request of the connection", s.id, status, id)
	return bytes.Clone(response)
}

// bookings holds what callers have sent and received.
type bookings struct {
	mu       sync.Mutex
	calls    map[string]call // by request
	checks   []call          // of the status
	statuses map[int]int
}

// book sends one booking after another to a host, and now and then a status check, which another server answers.
func (b *bookings) book(h *host) {
	c := newCaller(h.name + "-")
	for end, n := time.Now().Add(bookingsFor), 1; time.Now().Before(end); n++ {
		time.Sleep(rand.N(bookingPause))
		if n%bookingsPerStatus == 0 {
			check := c.send(h, http.MethodGet, "/cufi504/2f", nil, bookingTimeout, nil)
			b.mu.Lock()
			b.checks = append(b.checks, check)
			b.mu.Unlock()
		}
		result := c.send(h, http.MethodPost, "/puxa403/2f", []byte("a van"), bookingTimeout, nil)
		b.mu.Lock()
		b.calls[result.id] = result
		b.statuses[result.status]++
		b.mu.Unlock()
	}
}

// check reports whether a booking ran twice, or ran although its caller got an answer that says it has not run.
func (b *bookings) check(w *world, s *server) (broken bool) {
	w.note("%d bookings, callers got (status: number) %v", len(b.calls), b.statuses)
	turnedAway := 0
	for _, a := range s.arrived() {
		if !a.ran {
			turnedAway++
		}
	}
	w.note("the full server turned away %d requests", turnedAway)
	for id, runs := range s.runs {
		status := b.calls[id].status
		if runs > 1 {
			w.note("TWICE: booking %s ran %d times, its caller got %d", id, runs, status)
			broken = true
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			w.note("REFUSED: booking %s ran %d times, its caller got %d", id, runs, status)
			broken = true
		}
	}
	return broken
}
