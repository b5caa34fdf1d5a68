package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parameters of the case of a change of the desired state while two hosts of a zone stand still.
const (
	relayRounds    = 6
	relayFreeze    = 4 * time.Second // node_freeze, for_s
	relayCalm      = 6 * time.Second // between two rounds
	probeInterval  = 40 * time.Millisecond
	configApply    = 2 * time.Second // configApplyMs
	relayProbeTime = 3500 * time.Millisecond
)

// runRelayConfig moves a route to another service again and again. With the disruption, two of the three hosts of a zone stand
// still from just before the change. Requests at the third host show which desired state is in force there.
func runRelayConfig(i *installation) (verdict, error) {
	services := []string{"order-desk", "order-desk-2"}
	move := func(round int) time.Time {
		return i.configure([]route{{
			Name: "r-booking", Prefix: "/booking/", Kind: "unsafe", TimeoutMs: 1000, LatencyTargetMs: 100, Priority: 2,
			Service: services[round%len(services)], MaxAttempts: 1,
		}}, nil, services...)
	}
	move(0)
	for _, zone := range []string{"sialkot-a", "sialkot-a", "sialkot-b", "sialkot-b", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
	}
	for n := range 6 {
		b := &backendServer{service: services[n%2], zone: []string{"sialkot-a", "sialkot-b", "gujranwala"}[n/2], software: "v1", slots: 6, work: 5 * time.Millisecond}
		if err := i.addBackend(b); err != nil {
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
		count, longest := i.moveRoute(zone, zone[round%len(zone)], func() time.Time { return move(round) }, services[(round+1)%2])
		late += count
		details = append(details, fmt.Sprintf("round %d: %d, the last sent %s after the acknowledgement", round, count, longest.Round(time.Millisecond)))
	}
	return verdict{broken: late > 0, detail: fmt.Sprintf("%d requests sent later than %s after the acknowledgement ran at the old service (%s)", late, configApply, strings.Join(details, "; "))}, nil
}

// moveRoute makes one change and returns how many requests that were sent to the observer later than configApply after its
// acknowledgement ran at the old service, and how late the last of them was sent.
func (i *installation) moveRoute(zone []*entryHost, observer *entryHost, change func() time.Time, old string) (late int, longest time.Duration) {
	i.freezeAllBut(zone, observer)
	acknowledged := change()
	var callers sync.WaitGroup
	var mu sync.Mutex
	for time.Since(acknowledged) < relayProbeTime {
		callers.Go(func() {
			a := send(i.log, observer.callers.address, request{
				method: http.MethodPost, host: routeHost, path: "/booking/2f", body: "booking", timeout: time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			after := a.sentAt.Sub(acknowledged)
			if after > configApply && strings.HasPrefix(a.body, "service="+old+" ") {
				late++
				longest = max(longest, after)
			}
		})
		time.Sleep(probeInterval)
	}
	callers.Wait()
	time.Sleep(relayFreeze - relayProbeTime)
	return late, longest
}
