package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Parameters of the case of a limit that two hosts divide.
const (
	statedLimit    = 20              // Server-Limit, requests a second
	limitPerHost   = 25              // bookings a second that callers send to each host
	limitTurnAway  = 9 * time.Second // the store turns a host away for so long
	limitCalm      = 6 * time.Second // before each time
	limitWindow    = 4 * time.Second // of the rule
	limitFactor    = 1.5             // of the rule
	limitSlack     = 5               // of the rule, requests
	limitWarmUp    = 4 * time.Second
	limitTail      = 3 * time.Second
	passedOnBefore = 500 * time.Millisecond // of the rule
)

// runLimit sends more bookings than a backend server takes, which states its limit in all answers. With the disruption, the
// store turns away one host of the backend server's zone and then the other.
func runLimit(i *installation) (verdict, error) {
	i.configure([]route{{
		Name: "r-booking", Prefix: "/booking/", Kind: "unsafe", TimeoutMs: 1000, LatencyTargetMs: 100, Priority: 2, Service: "order-desk", MaxAttempts: 1,
	}}, nil, "order-desk")
	for _, zone := range []string{"sialkot-a", "sialkot-a", "sialkot-b", "sialkot-b", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
	}
	err := i.addBackend(&backendServer{service: "order-desk", zone: "sialkot-a", software: "v1", slots: 6, work: 15 * time.Millisecond, head: stateLimit})
	if err != nil {
		return verdict{}, err
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	passedOn := &firstPassed{at: make(map[*entryHost]time.Time)}
	var callers sync.WaitGroup
	for _, h := range i.hosts {
		callers.Go(func() { i.sendBeyondLimit(h, passedOn, stop) })
	}
	time.Sleep(limitWarmUp)
	for _, h := range i.hosts[:2] {
		time.Sleep(limitCalm)
		if i.trouble {
			h.gate.busy.Store(true)
			i.log.printf("the store turns %s away", h.name)
		}
		time.Sleep(limitTurnAway)
		h.gate.busy.Store(false)
	}
	time.Sleep(limitTail)
	close(stop)
	callers.Wait()
	return i.judgeLimit(passedOn), nil
}

// stateLimit adds the limit to each answer.
func stateLimit(_ *backendServer, header http.Header) {
	header.Set("Server-Limit", strconv.Itoa(statedLimit))
}

// firstPassed holds when each host first passed on an answer with the limit, and which host each request was sent to.
type firstPassed struct {
	mu   sync.Mutex
	at   map[*entryHost]time.Time
	sent sync.Map // hosts by request ID
}

func (p *firstPassed) add(h *entryHost, a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := a.sentAt.Add(a.took)
	if first, known := p.at[h]; a.header.Get("Server-Limit") != "" && (!known || at.Before(first)) {
		p.at[h] = at
	}
}

// counts reports whether the rule counts a request: its host had passed on the limit passedOnBefore earlier.
func (p *firstPassed) counts(a arrival) bool {
	h, known := p.sent.Load(a.id)
	if !known {
		return false
	}
	first, known := p.at[h.(*entryHost)]
	return known && a.at.Sub(first) > passedOnBefore
}

// sendBeyondLimit sends bookings to a host until stop is closed.
func (i *installation) sendBeyondLimit(h *entryHost, passedOn *firstPassed, stop chan struct{}) {
	var callers sync.WaitGroup
	defer callers.Wait()
	ticker := time.NewTicker(time.Second / limitPerHost)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		callers.Go(func() {
			r := request{method: http.MethodPost, host: routeHost, path: "/booking/2f", body: "booking", timeout: time.Second, id: newRequestID()}
			passedOn.sent.Store(r.id, h)
			passedOn.add(h, send(i.log, h.callers.address, r))
		})
	}
}

// judgeLimit returns the most requests that reached the backend server in a window of the rule.
func (i *installation) judgeLimit(passedOn *firstPassed) verdict {
	var counted []arrival
	for _, a := range i.log.list() {
		if passedOn.counts(a) {
			counted = append(counted, a)
		}
	}
	most, first := 0, 0
	var at time.Time
	for n, a := range counted {
		for a.at.Sub(counted[first].at) >= limitWindow {
			first++
		}
		if n-first+1 > most {
			most, at = n-first+1, counted[first].at
		}
	}
	allowed := int(statedLimit*limitWindow.Seconds()*limitFactor) + limitSlack
	return verdict{broken: most > allowed, detail: fmt.Sprintf("%d requests reached the backend server in the %s from %.1f s on, %d allowed at %d a second",
		most, limitWindow, at.Sub(i.log.startAt).Seconds(), allowed, statedLimit)}
}
