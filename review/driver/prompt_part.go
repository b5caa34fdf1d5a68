package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case of a part of prompts that crashes backend servers.
const (
	partTraffic      = 45 * time.Second
	soundInterval    = 150 * time.Millisecond
	deadlyInterval   = 900 * time.Millisecond
	backDelay        = 3 * time.Second // until a backend server that crashed is back
	deadlyPart       = "0badc0de"
	contactTime      = 3 * time.Second // contactMs
	crashesUntilKept = 5               // crashes from which the rule counts
	maxLateArrivals  = 3               // requests that the rule allows later than contactTime after these crashes
)

// runPromptPart sends sound requests and, with the disruption, ones with a part that crashes each backend server as it
// begins to write its answer: the connection is reset while the head of the answer is being written.
func runPromptPart(i *installation) (verdict, error) {
	i.configure([]route{{
		Name: "r-draft", Prefix: "/draft/", Kind: "streaming", TimeoutMs: 12000, LatencyTargetMs: 600, GapTargetMs: 300, Priority: 1,
		Service: "link-scribe", MaxAttempts: 2, Resumable: true, SessionAffinity: true,
	}}, []string{"m0"})
	for _, zone := range []string{"sialkot-a", "sialkot-b", "gujranwala"} {
		for range 2 {
			if _, err := i.addHost(zone); err != nil {
				return verdict{}, err
			}
			b := &backendServer{service: "link-scribe", zone: zone, software: "v1", slots: 64, models: []string{"m0"}, events: 10, pause: 30 * time.Millisecond}
			if i.trouble {
				b.fault = crashOnDeadlyPart
			}
			if err := i.addBackend(b); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	sound, deadly := i.sendPrompts()
	return i.judgePromptPart(sound, deadly), nil
}

// sendPrompts sends the requests and returns how many sound ones were served, of how many, and how many deadly ones were
// sent.
func (i *installation) sendPrompts() (sound string, deadly int) {
	var callers sync.WaitGroup
	var served, sent atomic.Int64
	end := time.Now().Add(partTraffic)
	callers.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			address := i.hosts[n%len(i.hosts)].callers.address
			own := fmt.Sprintf("5c1e07a2:350,91bd3f0%d:140,%08x:600", n%3, 0x10000000+n)
			callers.Go(func() {
				sent.Add(1)
				if a := send(i.log, address, draft(own)); a.status == http.StatusOK && a.complete {
					served.Add(1)
				}
			})
			time.Sleep(soundInterval)
		}
	})
	callers.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			address := i.hosts[n%len(i.hosts)].callers.address
			part := deadlyPart
			if !i.trouble {
				part = "91bd3f07"
			}
			own := fmt.Sprintf("5c1e07a2:350,%s:140,%08x:600", part, 0x20000000+n)
			deadly++
			callers.Go(func() { send(i.log, address, draft(own)) })
			time.Sleep(deadlyInterval)
		}
	})
	callers.Wait()
	return fmt.Sprintf("%d of %d sound requests served", served.Load(), sent.Load()), deadly
}

// draft returns a request for a stream with the given parts of its prompt.
func draft(parts string) request {
	return request{
		method: http.MethodPost, host: routeHost, path: "/draft/2f", body: "draft " + parts, timeout: 12 * time.Second,
		header: map[string]string{"Model": "m0", "Token-Count": "1090,40", "Prompt-Prefix": parts},
	}
}

// crashOnDeadlyPart resets the connection of a request with the deadly part after the first bytes of its answer, and
// crashes the backend server.
func crashOnDeadlyPart(b *backendServer, w http.ResponseWriter, r *http.Request) bool {
	if !strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart) {
		return false
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id")) // the head is not complete
	if os.Getenv("HEAD") == "whole" {
		_, _ = buffered.WriteString("\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n")
	}
	_ = buffered.Flush()
	b.log.printf("crash backend=%s request=%s", b.currentID(), r.Header.Get("Request-Id"))
	b.crash()
	abort(conn)
	time.AfterFunc(backDelay, func() {
		if err := b.start(); err != nil {
			b.log.printf("backend server not back: %v", err)
		}
	})
	return true
}

// judgePromptPart counts the requests with the deadly part that reach backend servers later than contactTime after the
// fifth crash.
func (i *installation) judgePromptPart(sound string, deadly int) verdict {
	var crashes []arrival
	late := 0
	for _, a := range i.log.list() {
		if !strings.Contains(a.header.Get("Prompt-Prefix"), deadlyPart) {
			continue
		}
		if len(crashes) >= crashesUntilKept && a.at.Sub(crashes[crashesUntilKept-1].at) > contactTime {
			late++
		}
		crashes = append(crashes, a)
	}
	detail := fmt.Sprintf("%d crashes by %d requests with the part; %d reached backend servers later than %s after the fifth crash, %d allowed; %s",
		len(crashes), deadly, late, contactTime, maxLateArrivals, sound)
	return verdict{broken: late > maxLateArrivals, detail: detail}
}
