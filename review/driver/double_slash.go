package main

import (
	"fmt"
	"net/http"
	"time"
)

// doubleSlashRequests is the number of requests of the case.
const doubleSlashRequests = 20

// runDoubleSlash sends bookings on a route with the prefix "/". With the disruption, their paths begin with two slashes.
func runDoubleSlash(i *installation) (verdict, error) {
	i.configure([]route{{
		Name: "r-booking", Prefix: "/", Kind: "unsafe", TimeoutMs: 1000, LatencyTargetMs: 100, Priority: 2, Service: "order-desk", MaxAttempts: 1,
	}}, nil, "order-desk")
	for _, zone := range []string{"sialkot-a", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
		if err := i.addBackend(&backendServer{service: "order-desk", zone: zone, software: "v1", slots: 6, work: 5 * time.Millisecond}); err != nil {
			return verdict{}, err
		}
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	path := "/plating/runs/2f?lot=7"
	if i.trouble {
		path = "/" + path
	}
	sent := make(map[string]bool)
	for n := range doubleSlashRequests {
		a := send(i.log, i.hosts[n%len(i.hosts)].callers.address, request{
			method: http.MethodPost, host: routeHost, path: path, body: "booking", timeout: time.Second,
		})
		sent[a.id] = true
	}
	changed, example := 0, ""
	for _, a := range i.log.list() {
		if sent[a.id] && a.uri != path {
			changed++
			example = a.uri
		}
	}
	return verdict{broken: changed > 0, detail: fmt.Sprintf("%d of %d requests for %q ran with another target, such as %q", changed, len(sent), path, example)}, nil
}
