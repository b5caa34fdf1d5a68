package faults

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citronspread/model"
)

// Bounds of the configuration's spread.
const (
	inForceWithin = 9 * time.Second
	spreadTime    = 2 * time.Second // from an acceptance until some entry host surely has it
	watchInterval = 300 * time.Millisecond
)

// dump is the part of an entry host's dump that the watch reads.
type dump struct {
	ControlThread string
	Control       controlDump
	Snapshot      trafficDump
}

// controlDump is the part of the control thread's state that the watch reads.
type controlDump struct {
	Violations int // of invariants asserted in the program
}

// trafficDump is the part of the traffic side's state that the watch reads.
type trafficDump struct {
	Snapshot model.Snapshot
}

// hostView is what a host held of each record at the last look.
type hostView struct {
	held    map[string]int // number of the change, by record
	settled map[string]int // accepted changes that were checked, by record
	since   time.Time      // when the process was started, or last seen not to answer
}

// watchConfiguration checks that changes are in force on a host in time and never reverted.
func (r *Run) watchConfiguration(ctx context.Context, h *entryHost) {
	view := newHostView(time.Now())
	for ctx.Err() == nil {
		asked := time.Now()
		d, err := h.dump(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			view = newHostView(time.Now())
		case d.ControlThread == "answered":
			r.tally.Check(InvariantsHold, d.Control.Violations == 0, "%s: %d violations", h.name, d.Control.Violations)
			for _, record := range r.config.records {
				r.checkRecord(h, view, record, asked, d.Snapshot.Snapshot)
			}
		}
		sleep(ctx, watchInterval)
	}
}

func newHostView(since time.Time) *hostView {
	return &hostView{held: map[string]int{}, settled: map[string]int{}, since: since}
}

func (r *Run) checkRecord(h *entryHost, view *hostView, record *configRecord, asked time.Time, s model.Snapshot) {
	history := record.history()
	held := heldChange(record.key, s)
	if known, ok := view.held[record.name]; ok {
		r.tally.Check(ConfigurationInForce, held >= known, "%s: %s went back from change %d to %d",
			h.name, record.name, known, held)
	}
	view.held[record.name] = held
	for i := view.settled[record.name]; i < len(history); i++ {
		wanted := history[i]
		if held < wanted.number && asked.Before(r.dueTime(h, view, wanted.at, asked)) {
			return
		}
		r.tally.Check(ConfigurationInForce, held >= wanted.number, "%s: %s holds change %d, change %d was accepted %.1fs ago",
			h.name, record.name, held, wanted.number, asked.Sub(wanted.at).Seconds())
		view.settled[record.name] = i + 1
	}
}

// heldChange returns the newest change of a record that a snapshot shows, 0 for none.
func heldChange(key model.ModelKey, s model.Snapshot) int {
	held := 0
	for _, m := range s.Models {
		if m.Declaration.Key != key {
			continue
		}
		for _, adapter := range m.Declaration.Adapters {
			if n, err := strconv.Atoi(strings.TrimPrefix(adapter, markPrefix)); err == nil {
				held = max(held, n)
			}
		}
	}
	return held
}

// dueTime returns when a change must be in force on a host, after the faults that kept it from the host.
func (r *Run) dueTime(h *entryHost, view *hostView, accepted, now time.Time) time.Time {
	from := accepted
	if view.since.After(from) {
		from = view.since
	}
	for _, d := range r.disturbances.between(accepted, now, func(d disturbance) bool { return r.delaysSpread(h, d, accepted) }) {
		if d.end.IsZero() {
			return now.Add(inForceWithin)
		}
		if d.end.After(from) {
			from = d.end
		}
	}
	return from.Add(inForceWithin)
}

// delaysSpread reports whether a fault may keep an accepted change from a host.
func (r *Run) delaysSpread(h *entryHost, d disturbance, accepted time.Time) bool {
	switch d.kind {
	case faultFreezeHost:
		return d.target == h.name
	case faultCutZone:
		return d.target == h.zone
	case faultStoreDown, faultStoreSlow:
		return d.begin.Before(accepted.Add(spreadTime))
	}
	return false
}

// dump asks a host for its state.
func (h *entryHost) dump(ctx context.Context) (dump, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operatorAddress+"/debug/state", nil)
	if err != nil {
		return dump{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return dump{}, err
	}
	defer resp.Body.Close()
	var d dump
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&d)
	return d, err
}
