package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Parameters of the case of streams that are taken up after a backend server has crashed.
const (
	takenUpTraffic  = 24 * time.Second
	takenUpInterval = 60 * time.Millisecond
	takenUpCrash    = 9 * time.Second         // after the first request
	takenUpBack     = 4500 * time.Millisecond // srv_crash, for_s
	draftDeadline   = 12 * time.Second
	takenUpTries    = 3  // further attempts of a caller
	minTakenUp      = 12 // streams from which the rule counts
)

// draftStream is a stream and what became of it.
type draftStream struct {
	began   bool // the first attempt brought an event
	broken  bool // the channel ended before the last event, and the caller took the stream up again
	went    bool // a further attempt brought an event
	sentAt  time.Time
	takenAt time.Time
}

// runTakenUp crashes, with the disruption, the one backend server of the newer of two software versions that has a busy
// model. Callers take up the streams that it served.
func runTakenUp(i *installation) (verdict, error) {
	i.configure([]route{{
		Name: "r-draft", Prefix: "/draft/", Kind: "streaming", TimeoutMs: 12000, LatencyTargetMs: 600, GapTargetMs: 300, Priority: 1,
		Service: "link-scribe", MaxAttempts: 2, Resumable: true, SessionAffinity: true,
	}}, []string{"m0", "m1", "m2"})
	zones := []string{"sialkot-a", "sialkot-b", "gujranwala"}
	for _, zone := range []string{"sialkot-a", "sialkot-a", "sialkot-b", "sialkot-b", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
	}
	scribe := func(n int, software, name string) *backendServer {
		return &backendServer{
			service: "link-scribe", zone: zones[n], software: software, slots: 64, models: []string{name}, events: 50, pause: 100 * time.Millisecond,
		}
	}
	for n := range zones {
		if err := i.addBackend(scribe(n, "v1", "m0")); err != nil {
			return verdict{}, err
		}
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(softwareSettleTime)
	for n := range zones {
		if err := i.addBackend(scribe(n, "v2", fmt.Sprintf("m%d", n))); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(softwareSettleTime)
	if holder := i.backends[len(zones)]; i.trouble {
		time.AfterFunc(takenUpCrash, func() { i.crashFor(holder, takenUpBack) })
	}
	return judgeTakenUp(i.sendDrafts()), nil
}

// crashFor crashes a backend server and starts it again, empty, after a time.
func (i *installation) crashFor(b *backendServer, duration time.Duration) {
	i.log.printf("crash backend=%s", b.currentID())
	b.models = nil
	b.crash()
	time.AfterFunc(duration, func() {
		if err := b.start(); err != nil {
			i.log.printf("backend server not back: %v", err)
		}
	})
}

// sendDrafts sends streams to all hosts and takes up those that break off.
func (i *installation) sendDrafts() []*draftStream {
	var callers sync.WaitGroup
	var streams []*draftStream
	end := time.Now().Add(takenUpTraffic)
	for n := 0; time.Now().Before(end); n++ {
		s := &draftStream{sentAt: time.Now()}
		streams = append(streams, s)
		callers.Go(func() { i.sendDraft(s, n) })
		time.Sleep(takenUpInterval)
	}
	callers.Wait()
	return streams
}

// sendDraft sends one stream. If it breaks off, it is taken up at other hosts, at most takenUpTries times.
func (i *installation) sendDraft(s *draftStream, n int) {
	lastID := 0
	r := draft(fmt.Sprintf("5c1e07a2:350,91bd3f0%d:140,%08x:600", n%3, 0x60000000+n))
	r.id = newRequestID()
	r.onEvent = func(id int, _ string) { s.began, lastID = true, id }
	a := send(i.log, i.hosts[n%len(i.hosts)].callers.address, r)
	if a.complete || !s.began {
		return
	}
	s.broken, s.takenAt = true, time.Now()
	for try := 1; try <= takenUpTries && !s.went; try++ {
		left := draftDeadline - time.Since(s.sentAt)
		if left <= 0 {
			return
		}
		next := draft(r.header["Prompt-Prefix"])
		next.timeout = left
		next.onEvent = func(int, string) { s.went = true }
		next.header["Last-Event-Id"] = strconv.Itoa(lastID)
		next.header["Resumes"] = r.id
		a := send(i.log, i.hosts[(n+try)%len(i.hosts)].callers.address, next)
		if a.status != http.StatusServiceUnavailable {
			return
		}
		pause, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil {
			return
		}
		time.Sleep(min(time.Duration(pause*float64(time.Second)), (draftDeadline-time.Since(s.sentAt))/3))
	}
}

// judgeTakenUp compares the share of the streams that were taken up and went on with the share of new streams that began
// at the same time.
func judgeTakenUp(streams []*draftStream) verdict {
	taken, went, sent, began := 0, 0, 0, 0
	for _, s := range streams {
		sent++
		if s.began {
			began++
		}
		if s.broken {
			taken++
		}
		if s.went {
			went++
		}
	}
	isBroken := taken >= minTakenUp && 2*went*sent < began*taken
	return verdict{broken: isBroken, detail: fmt.Sprintf("of %d streams that callers took up again %d went on; of %d new ones %d began", taken, went, sent, began)}
}
