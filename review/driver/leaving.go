package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Parameters of the case of a backend server that leaves while x
const (
	leavingSettle   = 3 * time.Second
	leavingLinger   = 6 * time.Second // from the report of draining until the backend server exits
	leavingTraffic  = 9 * time.Second // the store turns the host away for as long
	leavingInterval = 25 * time.Millisecond
	drainTime       = 2 * time.Second // drainMs
)

// runLeaving sends bookings to a host while one of the backend servers leaves and says so in all its answers. With the
// disruption, the host gets no response of the store.
func runLeaving(i *installation) (verdict, error) {
	i.configure([]route{{
		Name: "r-booking", Prefix: "/booking/", Kind: "unsafe", TimeoutMs: 1000, LatencyTargetMs: 100, Priority: 2, Service: "order-desk", MaxAttempts: 1,
	}}, nil, "order-desk")
	for _, zone := range []string{"sialkot-a", "sialkot-a", "sialkot-b", "sialkot-b", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
	}
	for _, zone := range []string{"sialkot-a", "sialkot-b", "gujranwala"} {
		b := &backendServer{service: "order-desk", zone: zone, software: "v1", slots: 6, work: 15 * time.Millisecond, head: stateLeaving}
		if err := i.addBackend(b); err != nil {
			return verdict{}, err
		}
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(leavingSettle)
	host, leaver := i.hosts[len(i.hosts)-1], i.backends[len(i.backends)-1] // the only ones of their zone
	id := leaver.currentID()
	if i.trouble {
		host.store.set(linkSilent)
		i.log.printf("%s gets no response of the store", host.name)
	}
	leaver.drain()
	i.log.printf("backend server %s is draining", id)
	time.AfterFunc(leavingLinger, leaver.leave)
	answers := i.sendBookings(host)
	return i.judgeLeaving(id, answers), nil
}

// stateLeaving adds to each answer of a backend server that is leaving the header that says so.
func stateLeaving(b *backendServer, header http.Header) {
	if b.isDraining() {
		header.Set("Server-Leaving", "1")
	}
}

// sendBookings sends bookings to a host and returns the answers.
func (i *installation) sendBookings(host *entryHost) []answer {
	var callers sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for end := time.Now().Add(leavingTraffic); time.Now().Before(end); time.Sleep(leavingInterval) {
		callers.Go(func() {
			a := send(i.log, host.callers.address, request{method: http.MethodPost, host: routeHost, path: "/booking/2f", body: "booking", timeout: time.Second})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	callers.Wait()
	return answers
}

// judgeLeaving counts the requests that callers sent later than drainTime after the host had passed on an answer with the
// header, and that reached the leaving backend server.
func (i *installation) judgeLeaving(leaver string, answers []answer) verdict {
	var passedOn time.Time
	sentAt, unanswered := make(map[string]time.Time), 0
	for _, a := range answers {
		sentAt[a.id] = a.sentAt
		if at := a.sentAt.Add(a.took); a.header.Get("Server-Leaving") != "" && (passedOn.IsZero() || at.Before(passedOn)) {
			passedOn = at
		}
		if a.status != http.StatusOK {
			unanswered++
		}
	}
	late, longest := 0, time.Duration(0)
	for _, a := range i.log.list() {
		after := sentAt[a.id].Sub(passedOn)
		if a.backend == leaver && !passedOn.IsZero() && after > drainTime {
			late++
			longest = max(longest, after)
		}
	}
	detail := fmt.Sprintf("%d requests sent later than %s after the host had passed on Server-Leaving reached the backend server, the last %s after it; %d of %d bookings without a success",
		late, drainTime, longest.Round(time.Millisecond), unanswered, len(answers))
	return verdict{broken: late > 0, detail: detail}
}
