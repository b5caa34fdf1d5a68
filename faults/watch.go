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

const (
	maxActivationTime = 9 * time.Second // within which an accepted change must be active on every entry host
	firstArrivalTime  = 2 * time.Second // after which at least one entry host is certain to have an accepted change
	watchInterval     = 300 * time.Millisecond
)

// dump is the part of an entry host's state dump that the checks read.
type dump struct {
	ControlThread string
	Control       controlDump
	Snapshot      trafficDump
}

// controlDump is the part of the control thread's state that the checks read.
type controlDump struct {
	Violations int // of invariants that the program checks itself
}

// trafficDump is the part of the request routing state that the checks read.
type trafficDump struct {
	Snapshot model.Snapshot
}

// hostView is the configuration of an entry host as of the last dump.
type hostView struct {
	active  map[string]int // number of the active change, by record
	checked map[string]int // number of accepted changes already checked, by record
	since   time.Time      // start of the watch, or last time that the host did not respond
}

// watchConfiguration checks that accepted changes become active on a host in time and are never reverted, and that the
// host reports no violated invariants.
func (r *Run) watchConfiguration(ctx context.Context, h *entryHost) {
	view := newHostView(time.Now())
	for ctx.Err() == nil {
		requestedAt := time.Now()
		d, err := h.dump(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			view = newHostView(time.Now())
		case d.ControlThread == "answered":
			r.tally.Check(InvariantsHold, d.Control.Violations == 0, "%s: %d violations", h.name, d.Control.Violations)
			for _, record := range r.config.records {
				r.checkRecord(h, view, record, requestedAt, d.Snapshot.Snapshot)
			}
		}
		sleep(ctx, watchInterval)
	}
}

func newHostView(since time.Time) *hostView {
	return &hostView{active: map[string]int{}, checked: map[string]int{}, since: since}
}

// checkRecord compares the change of a record that is active on a host with the previous one and with the accepted ones.
func (r *Run) checkRecord(h *entryHost, view *hostView, record *configRecord, requestedAt time.Time, s model.Snapshot) {
	history := record.history()
	active := activeChange(record.key, s)
	if previous, ok := view.active[record.name]; ok {
		r.tally.Check(ConfigurationActive, active >= previous, "%s: %s went back from change %d to %d",
			h.name, record.name, previous, active)
	}
	view.active[record.name] = active
	for i := view.checked[record.name]; i < len(history); i++ {
		expected := history[i]
		if active < expected.number && requestedAt.Before(r.dueTime(h, view, expected.at, requestedAt)) {
			return
		}
		r.tally.Check(ConfigurationActive, active >= expected.number, "%s: %s is at change %d, change %d was accepted %.1fs ago",
			h.name, record.name, active, expected.number, requestedAt.Sub(expected.at).Seconds())
		view.checked[record.name] = i + 1
	}
}

// activeChange returns the number of the newest change of a record in a snapshot, 0 if there is none.
func activeChange(key model.ModelKey, s model.Snapshot) int {
	active := 0
	for _, m := range s.Models {
		if m.Declaration.Key != key {
			continue
		}
		for _, adapter := range m.Declaration.Adapters {
			if n, err := strconv.Atoi(strings.TrimPrefix(adapter, markPrefix)); err == nil {
				active = max(active, n)
			}
		}
	}
	return active
}

// dueTime returns when an accepted change must be active on a host. Faults that delay it extend the time.
func (r *Run) dueTime(h *entryHost, view *hostView, accepted, now time.Time) time.Time {
	from := accepted
	if view.since.After(from) {
		from = view.since
	}
	for _, p := range r.faultLog.between(accepted, now, func(p faultPeriod) bool { return r.delaysActivation(h, p, accepted) }) {
		if p.end.IsZero() {
			return now.Add(maxActivationTime)
		}
		if p.end.After(from) {
			from = p.end
		}
	}
	return from.Add(maxActivationTime)
}

// delaysActivation reports whether a fault may delay the arrival of an accepted change at a host.
func (r *Run) delaysActivation(h *entryHost, p faultPeriod, accepted time.Time) bool {
	switch p.kind {
	case faultFreezeHost:
		return p.target == h.name
	case faultPartitionZone:
		return p.target == h.zone
	case faultStoreDown, faultStoreSlow:
		return p.begin.Before(accepted.Add(firstArrivalTime))
	}
	return false
}

// dump requests the state of a host from its operators' endpoint.
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&d)
	return d, err
}
