package main

import "time"

// plainStreams are in progress when the server crashes.
const plainStreams = 120

// playPlain lets one server of a service without models crash while it runs streams that may be resumed. The servers have two
// software versions.
func playPlain(dir string, log *record, trouble string) int {
	state := modelState(7)
	route := state["routes"].([]map[string]any)[0]
	route["service"], route["sessionAffinity"] = "order-desk", false
	state["services"] = []map[string]any{{"name": "order-desk", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}}
	d, err := newDeployment(dir, log, state, 400, 2000)
	if err != nil {
		log.Printf("not started: %v", err)
		return notShown
	}
	defer d.stop()
	d.service, d.models = "order-desk", nil
	if err := d.startWithVersions(3, 3); err != nil {
		log.Printf("not started: %v", err)
		return notShown
	}
	results, wait := d.beginStreams(plainStreams, "")
	time.Sleep(time.Second)
	if trouble != troubleNone {
		d.servers[0].Crash()
	}
	wait()
	return d.checkOrder(results)
}
