package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the site qls-links-large.
const (
	largeStreams  = 245 + 151 // resumable streams a second
	largeMbps     = 20.0      // of the link of an entry host
	largeMemoryMB = 184
	largeModels   = 1375
	largeWrites   = 3200 // calls a second to the store
	largeReads    = 16000
	largeRecovery = 15 * time.Second
)

// Course of the case.
const (
	restartServers = 20 // all but one of the young software version
	restartTraffic = 80 * time.Second
	downTime       = time.Second
	recoveredTime  = 5 * time.Second // in which requests after the recovery are counted
	quarter        = 4               // RECOVER: less than one in so many is served
)

// traffic sends streams at a steady rate and counts what becomes of them.
type traffic struct {
	d       *deployment
	clients sync.WaitGroup
	next    int
	log     *record // of each stream, nil to write none

	mu       sync.Mutex
	statuses map[int]int // of the tries since the last summary
}

// phase is a part of the traffic.
type phase struct{ sent, served atomic.Int64 }

// play sends streams for a time and returns their counts, which are complete once all clients have ended.
func (t *traffic) play(length time.Duration) *phase {
	p := &phase{}
	start := time.Now()
	for n := 0; time.Since(start) < length; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / largeStreams)))
		if n%largeStreams == 0 {
			t.summarize(p)
		}
		c := &streamClient{
			Name: fmt.Sprintf("client %d", t.next), Hosts: t.d.hostsFor(t.next), Path: "/lohu930/2f", Model: "daka510000", Events: 8, GapMs: 20, Deadline: 6 * time.Second, MaxTries: 2, Log: t.log,
		}
		t.next++
		p.sent.Add(1)
		t.clients.Go(func() {
			s := c.Run(context.Background())
			if s.complete {
				p.served.Add(1)
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			for _, status := range s.statuses {
				t.statuses[status]++
			}
		})
	}
	return p
}

// summarize writes what was sent, answered and run.
func (t *traffic) summarize(p *phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := 0
	for _, m := range t.d.servers {
		runs += len(m.Runs())
	}
	ready := 0
	for _, h := range t.d.hosts {
		if h.IsReady() {
			ready++
		}
	}
	var answers string
	for _, status := range slices.Sorted(maps.Keys(t.statuses)) {
		answers += fmt.Sprintf(" %d: %d", status, t.statuses[status])
	}
	clear(t.statuses)
	t.d.log.Printf("%d streams sent, %d served; answers since the last line (0 is none):%s; %d runs; %d hosts ready; %d records of streams", p.sent.Load(), p.served.Load(), answers, runs, ready, t.d.store.Count(streamKeys))
}

// playRestart kills all entry hosts of a deployment whose servers have two software versions. They start again and read the store,
// which has a record of each stream that began at the young version within a minute or two.
func playRestart(dir string, log *record, trouble string) int {
	d, err := newDeployment(dir, log, largeState(7), largeWrites, largeReads)
	if err != nil {
		log.Printf("not started: %v", err)
		return notShown
	}
	defer d.stop()
	for _, h := range d.hosts {
		l := &link{Target: d.storeAddress, BitsPerSecond: largeMbps * 1e6}
		if h.Store, err = l.Listen(d.network + ".9.10"); err != nil {
			log.Printf("not started: %v", err)
			return notShown
		}
		h.Extra = map[string]string{
			"limits.cpuShare": "0.192", "limits.memoryMb": fmt.Sprint(largeMemoryMB), "limits.linkMbps": fmt.Sprint(largeMbps), "platform.writesPerS": fmt.Sprint(largeWrites),
			"platform.readsPerS": fmt.Sprint(largeReads), "bounds.contactMs": "5000", "bounds.drainMs": "4000", "bounds.configApplyMs": "4000", "bounds.recoveryS": "15", "bounds.retrySlack": "630",
		}
	}
	if err := d.startWithVersions(1, restartServers-1); err != nil {
		log.Printf("not started: %v", err)
		return notShown
	}
	t := &traffic{d: d, statuses: make(map[int]int)}
	before := t.play(restartTraffic)
	if trouble != troubleNone {
		d.store.Put("op/config", largeState(8))
		log.Printf("version 8 is acknowledged, all hosts are killed")
		for _, h := range d.hosts {
			h.Kill()
		}
		time.Sleep(downTime)
		for _, h := range d.hosts {
			if err := h.Start(); err != nil {
				log.Printf("not started again: %v", err)
				return notShown
			}
		}
	}
	log.Printf("all machines are back")
	t.play(largeRecovery)
	after := t.play(recoveredTime)
	t.clients.Wait()
	t.summarize(after)
	log.Printf("before: %d sent, %d served; later than %v after the machines were back: %d sent, %d served", before.sent.Load(), before.served.Load(), largeRecovery, after.sent.Load(), after.served.Load())
	switch {
	case before.served.Load()*quarter < before.sent.Load():
		return notShown
	case after.served.Load()*quarter < after.sent.Load():
		return broken
	}
	return held
}

// largeState returns a desired state with as many models as the site has.
func largeState(version int) map[string]any {
	state := modelState(version)
	engine := state["services"].([]map[string]any)[0]["engine"].(map[string]any)
	engine["loadsPerS"] = 87
	models := engine["models"].([]map[string]any)
	for i := len(models); i < largeModels; i++ {
		model := maps.Clone(models[0])
		model["name"] = fmt.Sprintf("daka%06d", i)
		models = append(models, model)
	}
	engine["models"] = models
	return state
}
