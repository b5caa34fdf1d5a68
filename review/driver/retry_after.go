package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Parameters of the case of a backend server that turns requests away.
const (
	wantsNothingFor   = 10 // seconds, in Retry-After
	retryAfterGrace   = 500 * time.Millisecond
	maxTurnedAway     = 2 // requests that the rule allows from a host in this time
	turnedAwayTraffic = 9 * time.Second
)

// runRetryAfter sends bookings to a host while, with the disruption, one of three backend servers turns all requests away
// with 503 and Retry-After.
func runRetryAfter(i *installation) (verdict, error) {
	i.configure([]route{{
		Name: "r-booking", Prefix: "/booking/", Kind: "unsafe", TimeoutMs: 1000, LatencyTargetMs: 100, Priority: 2, Service: "order-desk", MaxAttempts: 1,
	}}, nil, "order-desk")
	for _, zone := range []string{"sialkot-a", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
		b := &backendServer{service: "order-desk", zone: zone, software: "v1", slots: 6, work: 15 * time.Millisecond}
		if i.trouble && zone == "sialkot-a" {
			b.fault = turnAwayWithRetryAfter
		}
		if err := i.addBackend(b); err != nil {
			return verdict{}, err
		}
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	host, busy := i.hosts[0], i.backends[0].currentID()
	for end := time.Now().Add(turnedAwayTraffic); time.Now().Before(end); time.Sleep(leavingInterval) {
		send(i.log, host.callers.address, request{method: http.MethodPost, host: routeHost, path: "/booking/2f", body: "booking", timeout: time.Second})
	}
	var first time.Time
	late := 0
	for _, a := range i.log.list() {
		switch {
		case a.backend != busy:
		case first.IsZero():
			first = a.at
		case i.trouble && a.at.Sub(first) > retryAfterGrace:
			late++
		}
	}
	return verdict{broken: late > maxTurnedAway, detail: fmt.Sprintf("%d requests reached the backend server later than %s after it had turned one away for %d s, %d allowed",
		late, retryAfterGrace, wantsNothingFor, maxTurnedAway)}, nil
}

func turnAwayWithRetryAfter(_ *backendServer, w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.Itoa(wantsNothingFor))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
