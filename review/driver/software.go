package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of the case of streams that are taken up at another host.
const (
	softwareStreams    = 40
	softwareInterval   = 100 * time.Millisecond
	softwareCut        = 9 * time.Second // the store turns a host away for so long
	breakAfterEvent    = 4               // the connection of the caller is reset after this event
	maxMixedStreams    = 2               // streams of two software versions that the rule allows
	softwareSettleTime = 4 * time.Second
	staleSettleTime    = 2 * time.Second
)

// takenUpStream is a stream that its caller takes up after its connection was reset.
type takenUpStream struct {
	mu       sync.Mutex
	versions []string // of the events that the caller has got, in order
	lastID   int
	takenUp  bool // the caller got further events for its second attempt
}

func (s *takenUpStream) add(id int, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, _, _ := strings.Cut(data, " ")
	s.versions = append(s.versions, version)
	s.lastID = id
}

// isMixed reports whether the stream holds events of two software versions.
func (s *takenUpStream) isMixed() bool {
	return len(slices.Compact(slices.Sorted(slices.Values(s.versions)))) > 1
}

// runSoftware begins streams at a host while two software versions serve, resets the connections of half of their callers,
// and takes these streams up at other hosts. With the disruption, the host that begins them gets no response of the store.
func runSoftware(i *installation) (verdict, error) {
	if err := i.startSoftware(); err != nil {
		return verdict{}, err
	}
	if err := i.addScribes("v2", 3); err != nil {
		return verdict{}, err
	}
	time.Sleep(softwareSettleTime)
	last := len(i.hosts) - 1 // the only host of its zone
	i.turnAway(i.hosts[last])
	return i.judgeSoftware(i.takeUpStreams(i.hosts[last:], i.hosts[:last])), nil
}

// runStaleSoftware is runSoftware with the roles exchanged: the store turns away the host at which the streams are taken up,
// from before the second software version begins to serve.
func runStaleSoftware(i *installation) (verdict, error) {
	if err := i.startSoftware(); err != nil {
		return verdict{}, err
	}
	last := len(i.hosts) - 1
	i.turnAway(i.hosts[last])
	if err := i.addScribes("v2", 3); err != nil {
		return verdict{}, err
	}
	time.Sleep(staleSettleTime)
	return i.judgeSoftware(i.takeUpStreams(i.hosts[:last], i.hosts[last:])), nil
}

// startSoftware starts the hosts and the backend servers of the first software version.
func (i *installation) startSoftware() error {
	i.configure([]route{{
		Name: "r-draft", Prefix: "/draft/", Kind: "streaming", TimeoutMs: 12000, LatencyTargetMs: 600, GapTargetMs: 300, Priority: 1,
		Service: "link-scribe", MaxAttempts: 2, Resumable: true, SessionAffinity: true,
	}}, []string{"m0"})
	for _, zone := range []string{"sialkot-a", "sialkot-a", "sialkot-b", "sialkot-b", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return err
		}
	}
	if err := i.addScribes("v1", 3); err != nil {
		return err
	}
	if err := i.startHosts(); err != nil {
		return err
	}
	time.Sleep(softwareSettleTime)
	return nil
}

// turnAway makes the store not respond to a host for softwareCut, with the disruption.
func (i *installation) turnAway(h *entryHost) {
	if !i.trouble {
		return
	}
	h.store.set(linkSilent)
	i.log.printf("%s gets no response of the store", h.name)
	time.AfterFunc(softwareCut, func() { h.store.set(linkOpen) })
}

// judgeSoftware counts the streams with events of two software versions.
func (i *installation) judgeSoftware(streams []*takenUpStream) verdict {
	mixed, takenUp := 0, 0
	for _, s := range streams {
		i.log.printf("stream lastEvent=%d versions=%s", s.lastID, strings.Join(s.versions, ","))
		if s.isMixed() {
			mixed++
		}
		if s.takenUp {
			takenUp++
		}
	}
	return verdict{broken: mixed > maxMixedStreams, detail: fmt.Sprintf("%d of %d streams, of which %d were taken up, hold events of two software versions, %d allowed", mixed, len(streams), takenUp, maxMixedStreams)}
}

// addScribes starts backend servers of the engine service, one in each zone in turn.
func (i *installation) addScribes(software string, count int) error {
	zones := []string{"sialkot-a", "sialkot-b", "gujranwala"}
	for n := range count {
		err := i.addBackend(&backendServer{
			service: "link-scribe", zone: zones[n%len(zones)], software: software, slots: 64, models: []string{"m0"}, events: 20, pause: 100 * time.Millisecond,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// takeUpStreams begins streams at some hosts, half of them on connections that are reset after some events, and takes these up
// at other hosts.
func (i *installation) takeUpStreams(beginners, others []*entryHost) []*takenUpStream {
	var callers sync.WaitGroup
	streams := make([]*takenUpStream, softwareStreams)
	for n := range streams {
		s := &takenUpStream{}
		streams[n] = s
		callers.Go(func() { i.takeUpStream(beginners[n%len(beginners)], others[n%len(others)], s, n) })
		time.Sleep(softwareInterval)
	}
	callers.Wait()
	return streams
}

func (i *installation) takeUpStream(beginner, other *entryHost, s *takenUpStream, n int) {
	addresses, _, err := freeAddresses(beginner.ip, 1)
	if err != nil {
		i.log.printf("no link: %v", err)
		return
	}
	toBeginner, err := newLink(addresses[0], beginner.callers.address)
	if err != nil {
		i.log.printf("no link: %v", err)
		return
	}
	defer toBeginner.close()
	first := draft(fmt.Sprintf("5c1e07a2:350,91bd3f01:140,%08x:600", 0x30000000+n))
	first.id = newRequestID()
	first.onEvent = func(id int, data string) {
		s.add(id, data)
		if id == breakAfterEvent && n%2 == 0 {
			toBeginner.set(linkReset)
		}
	}
	if a := send(i.log, toBeginner.address, first); a.status != http.StatusOK || a.complete {
		return
	}
	next := draft(first.header["Prompt-Prefix"])
	next.onEvent = s.add
	next.header["Last-Event-Id"] = strconv.Itoa(s.lastID)
	next.header["Resumes"] = first.id
	a := send(i.log, other.callers.address, next)
	s.takenUp = a.status == http.StatusOK
}
