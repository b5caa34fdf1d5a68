package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
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
	soundOnly        = 5 * time.Second // at the beginning
	manyParts        = 33              // shared parts before the deadly one in the case of a late part
	minCompared      = 20              // sound requests that the rule compares, before and after
)

// runPromptPart sends sound requests and, with the disruption, ones with a part that crashes each backend server as it
// begins to write its answer: the connection is reset while the head of the answer is being written.
func runPromptPart(i *installation) (verdict, error) {
	if err := i.startPrompts(os.Getenv("HEAD") == "whole"); err != nil {
		return verdict{}, err
	}
	sound, deadly := i.sendPrompts("5c1e07a2:350")
	return i.judgePromptPart(sound, deadly), nil
}

// runLatePart sends the same requests, but the deadly part follows manyParts other parts that all requests share, and the
// head of the answer is complete before the crash.
func runLatePart(i *installation) (verdict, error) {
	if err := i.startPrompts(true); err != nil {
		return verdict{}, err
	}
	var shared []string
	for n := range manyParts {
		shared = append(shared, fmt.Sprintf("%08x:10", 0x70000000+n))
	}
	sound, _ := i.sendPrompts(strings.Join(shared, ","))
	return i.judgeSoundPrompts(sound), nil
}

// startPrompts starts the hosts and the backend servers. With the disruption, the deadly part crashes these, after the whole
// head of the answer or within it.
func (i *installation) startPrompts(wholeHead bool) error {
	i.configure([]route{{
		Name: "r-draft", Prefix: "/draft/", Kind: "streaming", TimeoutMs: 12000, LatencyTargetMs: 600, GapTargetMs: 300, Priority: 1,
		Service: "link-scribe", MaxAttempts: 2, Resumable: true, SessionAffinity: true,
	}}, []string{"m0"})
	for _, zone := range []string{"sialkot-a", "sialkot-b", "gujranwala"} {
		for range 2 {
			if _, err := i.addHost(zone); err != nil {
				return err
			}
			b := &backendServer{service: "link-scribe", zone: zone, software: "v1", slots: 64, models: []string{"m0"}, events: 10, pause: 30 * time.Millisecond}
			if i.trouble {
				b.fault = crashOnDeadlyPart(wholeHead)
			}
			if err := i.addBackend(b); err != nil {
				return err
			}
		}
	}
	if err := i.startHosts(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// promptResult is a sound request and whether it was served.
type promptResult struct {
	sentAt time.Time
	served bool
}

// sendPrompts sends the requests, whose prompts begin with the shared parts, and returns the sound ones, and how many deadly
// ones were sent.
func (i *installation) sendPrompts(shared string) (sound []promptResult, deadly int) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(partTraffic)
	callers.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			address := i.hosts[n%len(i.hosts)].callers.address
			parts := fmt.Sprintf("%s,91bd3f0%d:140,%08x:600", shared, n%3, 0x10000000+n)
			callers.Go(func() {
				a := send(i.log, address, draft(parts))
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, promptResult{sentAt: a.sentAt, served: a.status == http.StatusOK && a.complete})
			})
			time.Sleep(soundInterval)
		}
	})
	callers.Go(func() {
		time.Sleep(soundOnly)
		for n := 0; time.Now().Before(end); n++ {
			address := i.hosts[n%len(i.hosts)].callers.address
			part := deadlyPart
			if !i.trouble {
				part = "91bd3f07"
			}
			parts := fmt.Sprintf("%s,%s:140,%08x:600", shared, part, 0x20000000+n)
			deadly++
			callers.Go(func() { send(i.log, address, draft(parts)) })
			time.Sleep(deadlyInterval)
		}
	})
	callers.Wait()
	return sound, deadly
}

// draft returns a request for a stream with the given parts of its prompt.
func draft(parts string) request {
	return request{
		method: http.MethodPost, host: routeHost, path: "/draft/2f", body: "draft " + parts, timeout: 12 * time.Second,
		header: map[string]string{"Model": "m0", "Token-Count": "1090,40", "Prompt-Prefix": parts},
	}
}

// crashOnDeadlyPart returns a fault that crashes the backend server at a request with the deadly part: the connection is
// reset after the head of the answer, or within it.
func crashOnDeadlyPart(wholeHead bool) func(b *backendServer, w http.ResponseWriter, r *http.Request) bool {
	return func(b *backendServer, w http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart) {
			return false
		}
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		head := "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id")
		if wholeHead {
			head += "\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
		}
		_, _ = buffered.WriteString(head) // a failed write means that the host has disconnected
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
}

// deadlyArrivals returns the requests with the deadly part that reached backend servers.
func (i *installation) deadlyArrivals() []arrival {
	var deadly []arrival
	for _, a := range i.log.list() {
		if strings.Contains(a.header.Get("Prompt-Prefix"), deadlyPart) {
			deadly = append(deadly, a)
		}
	}
	return deadly
}

// countServed returns how many of the requests that were sent between two times were served.
func countServed(sound []promptResult, from, to time.Time) (served, sent int) {
	for _, s := range sound {
		if s.sentAt.Before(from) || s.sentAt.After(to) {
			continue
		}
		sent++
		if s.served {
			served++
		}
	}
	return served, sent
}

// judgePromptPart counts the requests with the deadly part that reach backend servers later than contactTime after the
// fifth crash.
func (i *installation) judgePromptPart(sound []promptResult, deadly int) verdict {
	crashes := i.deadlyArrivals()
	late := 0
	for _, a := range crashes {
		if len(crashes) >= crashesUntilKept && a.at.Sub(crashes[crashesUntilKept-1].at) > contactTime {
			late++
		}
	}
	served, sent := countServed(sound, i.log.startAt, time.Now())
	detail := fmt.Sprintf("%d crashes by %d requests with the part; %d reached backend servers later than %s after the fifth crash, %d allowed; %d of %d sound requests served",
		len(crashes), deadly, late, contactTime, maxLateArrivals, served, sent)
	return verdict{broken: late > maxLateArrivals, detail: detail}
}

// judgeSoundPrompts compares how often sound requests are served before the first crash and from twice contactTime after the
// fifth one, or the last one if there are fewer.
func (i *installation) judgeSoundPrompts(sound []promptResult) verdict {
	crashes := i.deadlyArrivals()
	if len(crashes) == 0 {
		served, sent := countServed(sound, i.log.startAt, time.Now())
		return verdict{detail: fmt.Sprintf("no crash; %d of %d sound requests served", served, sent)}
	}
	counted := crashes[min(len(crashes), crashesUntilKept)-1]
	servedBefore, before := countServed(sound, i.log.startAt, crashes[0].at)
	servedAfter, after := countServed(sound, counted.at.Add(2*contactTime), time.Now())
	isBroken := before >= minCompared && after >= minCompared && 2*servedAfter*before < servedBefore*after
	return verdict{broken: isBroken, detail: fmt.Sprintf("%d of %d sound requests served before the first of %d crashes, %d of %d from %s after the fifth",
		servedBefore, before, len(crashes), servedAfter, after, 2*contactTime)}
}
