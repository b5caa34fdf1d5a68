package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case, and of the rule on stated limits.
const (
	limitPerSecond = 20.0
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	contactTime    = 3 * time.Second
	passedOnTime   = 500 * time.Millisecond
	turnedAwayFor  = 9 * time.Second
	callsPerSecond = 40 // to each host
	zoneTurnedAway = "sialkot-a"
)

// playLimit lets the store turn away the two hosts of one zone while the backend servers state limits. It counts what reaches each
// backend server in 4 s.
func playLimit(w *world) (broken bool, err error) {
	w.store.put(configurationID, map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r-stock", "hostname": hostname, "prefix": "/cufi504/", "kind": "safe", "timeoutMs": 1000, "latencyTargetMs": 100, "priority": 2,
			"service": "order-desk", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "order-desk", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   limits,
	})
	zones := []string{"sialkot-a", "sialkot-b", "gujranwala"}
	for _, zone := range zones {
		s := &server{id: "i-" + zone, service: "order-desk", zone: zone, slots: 6, queue: 24, work: 15 * time.Millisecond, limit: func() float64 { return limitPerSecond }}
		if err := w.addServer(s); err != nil {
			return false, err
		}
	}
	for i := range 6 {
		if _, err := w.addHost(fmt.Sprintf("front-%s-%d", zones[i/2], i%2+1), zones[i/2]); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	passed := newPassedOn()
	stop, ended := make(chan struct{}), sync.WaitGroup{}
	for _, h := range w.hosts {
		ended.Go(func() { sendSteadily(w, h, passed, stop) })
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		w.note("the store answers 503 to the hosts of %s", zoneTurnedAway)
		w.store.setGate(gateBusy, "front-sialkot-a-1", "front-sialkot-a-2")
		time.Sleep(turnedAwayFor)
		w.store.setGate(gateOpen, "front-sialkot-a-1", "front-sialkot-a-2")
		w.note("the store serves all hosts")
	} else {
		time.Sleep(turnedAwayFor)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	ended.Wait()
	w.recordTraffic(passed.calls)
	passed.summarize(w)
	for _, s := range w.servers {
		broken = passed.check(w, s, limitPerSecond) || broken
	}
	return broken, nil
}

// sendSteadily sends requests to a host at a steady rate.
func sendSteadily(w *world, h *host, passed *passedOn, stop <-chan struct{}) {
	c := newCaller(h.name + "-")
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		calls.Go(func() { passed.add(c.send(h, http.MethodGet, "/cufi504/2f", nil, time.Second, nil)) })
	}
}

// passedOn records which hosts have passed on answers that state a limit.
type passedOn struct {
	mu       sync.Mutex
	calls    []call
	hostOf   map[string]*host               // by request
	since    map[string]map[*host]time.Time // by backend server
	first    map[string]time.Time           // by backend server
	statuses map[string]map[int]int         // by host
}

func newPassedOn() *passedOn {
	return &passedOn{hostOf: make(map[string]*host), since: make(map[string]map[*host]time.Time), first: make(map[string]time.Time), statuses: make(map[string]map[int]int)}
}

func (p *passedOn) add(c call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
	p.hostOf[c.id] = c.host
	if p.statuses[c.host.name] == nil {
		p.statuses[c.host.name] = make(map[int]int)
	}
	p.statuses[c.host.name][c.status]++
	id, _, isSealed := strings.Cut(c.header.Get("Server-Seal"), ".")
	if !isSealed || c.header.Get("Server-Limit") == "" {
		return
	}
	if p.since[id] == nil {
		p.since[id], p.first[id] = make(map[*host]time.Time), c.doneAt
	}
	if _, known := p.since[id][c.host]; !known {
		p.since[id][c.host] = c.doneAt
	}
}

func (p *passedOn) summarize(w *world) {
	for _, h := range w.hosts {
		w.note("callers of %s got (status: number) %v", h.name, p.statuses[h.name])
	}
}

// check applies the rule to one backend server, which has stated its limit in requests per second.
func (p *passedOn) check(w *world, s *server, limit float64) (broken bool) {
	var counted []arrival
	for _, a := range s.arrived() {
		since, passed := p.since[s.id][p.hostOf[a.id]]
		if passed && a.at.Sub(since) >= passedOnTime && a.at.Sub(p.first[s.id]) >= contactTime {
			counted = append(counted, a)
		}
	}
	most, mostAt, allowed := 0, time.Time{}, limitFactor*limit*limitWindow.Seconds()+limitSlack
	for from, to := 0, 0; to < len(counted); to++ {
		for counted[to].at.Sub(counted[from].at) > limitWindow {
			from++
		}
		if n := to - from + 1; n > most {
			most, mostAt = n, counted[from].at
		}
	}
	w.note("%s: limit %g a second; %d requests at most within %s, from %.3f on; allowed are %g", s.id, limit, most, limitWindow, mostAt.Sub(w.started).Seconds(), allowed)
	return float64(most) > allowed
}
