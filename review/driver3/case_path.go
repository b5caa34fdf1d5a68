package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Figures of the case.
const (
	requestsPerHost  = 10 // of each kind
	pathPause        = 50 * time.Millisecond
	recordingTimeout = 3 * time.Second
	recordingWork    = 60 * time.Millisecond
	tenantKey        = "asnm0000000000000000000000000001"
	unknownKey       = "zzzz0000000000000000000000000009"
)

// playPath publishes recordings whose name holds a slash, which is percent-encoded in the path of the request, with the key of a tenant
// and with a key that no desired state holds. It checks where the requests run. Without the disruption the names hold no slash.
func playPath(w *world) (broken bool, err error) {
	w.store.put(configurationID, map[string]any{
		"version": 2,
		"routes": []any{
			map[string]any{
				"name": "r-publish", "hostname": hostname, "prefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 3000, "latencyTargetMs": 300, "priority": 2,
				"service": "portal-app", "maxAttempts": 1, "anonymous": false,
			},
			map[string]any{
				"name": "r-catalogue", "hostname": hostname, "prefix": "/puxa403/shelf/", "kind": "safe", "timeoutMs": 3000, "latencyTargetMs": 300, "priority": 2,
				"service": "catalogue-app", "maxAttempts": 2, "anonymous": true,
			},
		},
		"services": []any{
			map[string]any{"name": "portal-app", "healthPath": "/health", "maxConns": 530, "protocol": "h1", "tls": false},
			map[string]any{"name": "catalogue-app", "healthPath": "/health", "maxConns": 530, "protocol": "h1", "tls": false},
		},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []any{tenantKey}}},
		"limits":  limits,
	})
	zones := []string{"akl-a", "akl-b", "hlz-c"}
	portal := &server{id: "i-portal", service: "portal-app", zone: zones[0], slots: 6, queue: 24, work: recordingWork}
	catalogue := &server{id: "i-catalogue", service: "catalogue-app", zone: zones[1], slots: 6, queue: 24, work: recordingWork}
	for _, s := range []*server{portal, catalogue} {
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
	recording := "/puxa403/shelf-%d"
	if w.trouble {
		recording = "/puxa403/shelf%%2F%d"
	}
	var published, unknown, read []call
	for _, h := range w.hosts {
		c := newCaller(h.name + "-")
		send := func(method, target, key string) call {
			header := map[string]string{}
			if key != "" {
				header["Authorization"] = "Bearer " + key
			}
			var body []byte
			if method == http.MethodPost {
				body = []byte("a recording")
			}
			result := c.send(h, method, target, body, recordingTimeout, header)
			w.note("%s %s %s with the key %q: %d", result.id, method, target, key, result.status)
			return result
		}
		for n := range requestsPerHost {
			published = append(published, send(http.MethodPost, fmt.Sprintf(recording, n), tenantKey))
			unknown = append(unknown, send(http.MethodPost, fmt.Sprintf(recording, n), unknownKey))
			read = append(read, send(http.MethodGet, fmt.Sprintf("/puxa403/shelf/%d", n), ""))
			time.Sleep(pathPause)
		}
	}
	w.recordTraffic(slices.Concat(published, unknown, read))
	foreign := w.checkService("published with the tenant's key", published, portal)
	foreign += w.checkService("published with an unknown key", unknown, nil)
	foreign += w.checkService("read without a key", read, catalogue)
	return foreign > 0, nil
}

// checkService returns how many of the requests have run at other backend servers than the one to which the desired state allows them
// to go, nil if they may not run.
func (w *world) checkService(kind string, calls []call, allowed *server) (foreign int) {
	statuses, ran := make(map[int]int), 0
	for _, c := range calls {
		statuses[c.status]++
		for _, s := range w.servers {
			switch {
			case !s.hasRun(c.id):
			case s == allowed:
				ran++
			default:
				foreign++
				w.note("ROUTE: %s, %s, has run at %s of %s; its caller got %d and %q", c.id, kind, s.id, s.service, c.status, c.body)
			}
		}
	}
	w.note("%s: %d requests, callers got (status: number) %v; %d ran where they may, %d elsewhere", kind, len(calls), statuses, ran, foreign)
	return foreign
}

// hasRun reports whether the server has run a request.
func (s *server) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}
