package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	copyAge       = 4 * time.Second // of the copy from which the store is restored
	awayTime      = time.Second     // for which the store is away
	killedBefore  = awayTime / 5    // from the kill to the return of the store
	killedFor     = 3500 * time.Millisecond
	orderStreams  = 84                    // that are in progress when the store is restored
	orderInterval = 45 * time.Millisecond // between the beginnings of two streams
)

// playOrder restores the store from a copy without the records of streams that an entry host has begun, and kills this host while
// the store is away. Its callers take their streams up at the other host of their zone.
func playOrder(dir string, log *record, trouble string) int {
	d, err := newDeployment(dir, log, modelState(7), 400, 2000)
	if err != nil {
		log.Printf("not started: %v", err)
		return notShown
	}
	defer d.stop()
	if err := d.startWithVersions(3, 6); err != nil {
		log.Printf("not started: %v", err)
		return notShown
	}
	oldCopy := d.store.Copy()
	log.Printf("the copy is made, with %d records of streams", d.store.Count(streamKeys))
	copiedAt := time.Now()

	killed := d.hosts[0]
	results, wait := d.beginStreams(orderStreams, d.models[0])
	time.Sleep(time.Until(copiedAt.Add(copyAge)))
	log.Printf("the store has %d records of streams", d.store.Count(streamKeys))
	if trouble != troubleNone && trouble != troubleKill {
		d.store.Leave()
		log.Printf("the store is away")
	}
	time.Sleep(awayTime - killedBefore)
	if trouble != troubleNone && trouble != troubleDrill {
		log.Printf("host %s is killed", killed.Name)
		killed.Kill()
	}
	time.Sleep(killedBefore)
	if trouble != troubleNone && trouble != troubleKill {
		d.store.Restore(oldCopy)
		log.Printf("the store is back in its next era, with %d records of streams", d.store.Count(streamKeys))
	}
	if trouble != troubleNone && trouble != troubleDrill {
		time.Sleep(killedFor - killedBefore)
		if err := killed.Start(); err != nil {
			log.Printf("not started again: %v", err)
			return notShown
		}
	}
	wait()
	return d.checkOrder(results)
}

// beginStreams begins streams one after the other. The results are complete once wait has returned.
func (d *deployment) beginStreams(count int, model string) (results []*streamResult, wait func()) {
	var clients sync.WaitGroup
	results = make([]*streamResult, count)
	for i := range results {
		c := &streamClient{Name: fmt.Sprintf("client %d", i), Hosts: d.hostsFor(i), Path: "/lohu930/2f", Model: model, Events: 80, GapMs: 100, Deadline: 12 * time.Second, MaxTries: 2, Log: d.log}
		clients.Go(func() { results[i] = c.Run(context.Background()) })
		time.Sleep(orderInterval)
	}
	return results, clients.Wait
}

// checkOrder checks ORDER: no more than two streams hold events of two software versions.
func (d *deployment) checkOrder(results []*streamResult) int {
	joined, complete := 0, 0
	for _, s := range results {
		if s.complete {
			complete++
		}
		if len(s.versions()) > 1 {
			joined++
			d.log.Printf("%s holds events of %v, tries %v", s.name, s.versions(), s.statuses)
		}
	}
	d.log.Printf("%d of %d streams complete, %d hold events of two software versions; more than 2 break ORDER", complete, len(results), joined)
	if complete == 0 {
		return notShown
	}
	if joined > 2 {
		return broken
	}
	return held
}
