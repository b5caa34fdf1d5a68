package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lingerTime is how long a backend server goes on serving after drainTime.
const lingerTime = 1500 * time.Millisecond

// runRelayDrain drains a backend server again and again. With the disruption, two of the three hosts of a zone stand still
// from just before that. Requests at the third host show when it has learned that the backend server is leaving.
func runRelayDrain(i *installation) (verdict, error) {
	i.configure([]route{{
		Name: "r-booking", Prefix: "/booking/", Kind: "unsafe", TimeoutMs: 1000, LatencyTargetMs: 100, Priority: 2, Service: "order-desk", MaxAttempts: 1,
	}}, nil, "order-desk")
	for _, zone := range []string{"sialkot-a", "sialkot-a", "sialkot-b", "sialkot-b", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
	}
	for _, zone := range []string{"sialkot-a", "sialkot-b", "sialkot-b", "gujranwala"} {
		if err := i.addBackend(newDesk(zone)); err != nil {
			return verdict{}, err
		}
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	zone := i.hosts[2:5]
	late, details := 0, []string{}
	for round := 1; round <= relayRounds; round++ {
		time.Sleep(relayCalm)
		count, longest, err := i.drainOne(zone, zone[round%len(zone)])
		if err != nil {
			return verdict{}, err
		}
		late += count
		details = append(details, fmt.Sprintf("round %d: %d, the last sent %s after the acknowledgement", round, count, longest.Round(time.Millisecond)))
	}
	return verdict{broken: late > 0, detail: fmt.Sprintf("%d requests sent later than %s after the acknowledgement reached the leaving backend server (%s)", late, drainTime, strings.Join(details, "; "))}, nil
}

func newDesk(zone string) *backendServer {
	return &backendServer{service: "order-desk", zone: zone, software: "v1", slots: 6, work: 5 * time.Millisecond}
}

// drainOne drains a backend server of the zone sialkot-b, replaces it by a new one, and returns how many requests that were
// sent to the observer later than drainTime after the acknowledgement reached it, and how late the last of them was sent.
func (i *installation) drainOne(zone []*entryHost, observer *entryHost) (late int, longest time.Duration, err error) {
	if err := i.addBackend(newDesk("sialkot-b")); err != nil {
		return 0, 0, err
	}
	time.Sleep(leavingSettle)
	var leaver *backendServer
	for _, b := range i.backends {
		if b.zone == "sialkot-b" && !b.isDraining() {
			leaver = b
			break
		}
	}
	i.freezeAllBut(zone, observer)
	id := leaver.currentID()
	leaver.drain()
	acknowledged := time.Now()
	i.log.printf("backend server %s is draining", id)
	time.AfterFunc(drainTime+lingerTime, leaver.leave)
	sentAt := i.probe(observer, acknowledged)
	for _, a := range i.log.list() {
		sent, isProbe := sentAt[a.id]
		if after := sent.Sub(acknowledged); isProbe && a.backend == id && after > drainTime {
			late++
			longest = max(longest, after)
		}
	}
	return late, longest, nil
}

// freezeAllBut stops the hosts but one for relayFreeze, with the disruption.
func (i *installation) freezeAllBut(hosts []*entryHost, observer *entryHost) {
	if !i.trouble {
		return
	}
	for _, h := range hosts {
		if h == observer {
			continue
		}
		h.signal(syscall.SIGSTOP)
		i.log.printf("%s stands still", h.name)
		time.AfterFunc(relayFreeze, func() { h.signal(syscall.SIGCONT) })
	}
}

// probe sends bookings to a host for relayProbeTime and returns when each was sent.
func (i *installation) probe(observer *entryHost, from time.Time) map[string]time.Time {
	var callers sync.WaitGroup
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	for time.Since(from) < relayProbeTime {
		callers.Go(func() {
			a := send(i.log, observer.callers.address, request{
				method: http.MethodPost, host: routeHost, path: "/booking/2f", body: "booking", timeout: time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			sentAt[a.id] = a.sentAt
		})
		time.Sleep(probeInterval)
	}
	callers.Wait()
	time.Sleep(relayFreeze - relayProbeTime)
	return sentAt
}
