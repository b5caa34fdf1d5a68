package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the case. The rule is that of the case of the store that turns hosts away.
const (
	letterLimit    = 4.0 // that each engine states
	lettersPerS    = 4   // to each host
	letterEvents   = 12
	letterPause    = 60 * time.Millisecond
	letterDeadline = 25 * time.Second
	storeDownFor   = 4500 * time.Millisecond
	entriesLastFor = 3600 * time.Millisecond // three intervals of the backend servers' reports
	entriesBack    = 1500 * time.Millisecond // after the store's return
)

// playLapse takes the store down while engines state limits. Their entries lapse meanwhile and are back after it. It counts what reaches
// each engine in 4 s.
func playLapse(w *world) (broken bool, err error) {
	w.store.put(configurationID, map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r-letter", "hostname": hostname, "prefix": "/pufi791/", "kind": "streaming", "timeoutMs": 25000, "latencyTargetMs": 2500, "priority": 1,
			"service": "link-scribe", "maxAttempts": 1, "sessionAffinity": true, "resumable": false, "gapTargetMs": 300,
		}},
		"services": []any{engineService("link-scribe")},
		"limits":   limits,
	})
	zones := []string{"sialkot-a", "sialkot-b", "gujranwala"}
	for _, zone := range zones {
		e := &engine{
			server: server{id: "i-" + zone, service: "link-scribe", zone: zone, slots: 64, limit: func() float64 { return letterLimit }},
			events: letterEvents, pause: letterPause,
		}
		if err := w.addEngine(e); err != nil {
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
	passed := newPassedOn()
	stop, ended := make(chan struct{}), sync.WaitGroup{}
	for _, h := range w.hosts {
		ended.Go(func() { sendLetters(h, passed, stop) })
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		w.takeStoreDown()
	} else {
		time.Sleep(storeDownFor + entriesBack)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	ended.Wait()
	w.recordTraffic(passed.calls)
	passed.summarize(w)
	for _, s := range w.servers {
		broken = passed.check(w, s, letterLimit) || broken
	}
	return broken, nil
}

// takeStoreDown lets the store serve no host for storeDownFor. The entries of the backend servers lapse meanwhile, leases do not.
func (w *world) takeStoreDown() {
	var names []string
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	w.note("the store is down")
	w.store.pauseLeases()
	w.store.setGate(gateBusy, names...)
	time.Sleep(entriesLastFor)
	for _, s := range w.servers {
		w.store.unlist(s.id)
	}
	w.note("the entries of the backend servers have lapsed")
	time.Sleep(storeDownFor - entriesLastFor)
	w.store.resumeLeases()
	w.store.setGate(gateOpen, names...)
	w.note("the store is back")
	time.Sleep(entriesBack)
	for _, s := range w.servers {
		s.list("ready")
	}
	w.note("the entries of the backend servers are back")
}

// sendLetters sends requests for streams to a host at a steady rate.
func sendLetters(h *host, passed *passedOn, stop <-chan struct{}) {
	c := newCaller(h.name + "-")
	ticker := time.NewTicker(time.Second / lettersPerS)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			part := strconv.Itoa(i)
			passed.add(c.send(h, http.MethodPost, "/pufi791/2f", []byte("a letter "+part), letterDeadline, map[string]string{
				"Model": modelName, "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:350,9f" + part + ":1110",
			}))
		})
	}
}
