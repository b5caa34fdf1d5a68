package faults

import (
	"context"
)

// playHost brings about a fault of an entry host. A host that is down or under another fault is left alone.
func (r *Run) playHost(ctx context.Context, f fault) {
	h := r.hosts[f.target]
	if !h.disturbed.CompareAndSwap(false, true) {
		return
	}
	defer h.disturbed.Store(false)
	switch f.kind {
	case faultKillHost:
		r.killHost(ctx, f, h, func() {})
	case faultFreezeHost:
		r.freezeHost(ctx, f, h, func() {})
	default:
		r.terminateHost(ctx, f, h)
	}
}

// killHost kills a host and starts it again. Struck is called once the host is dead.
func (r *Run) killHost(ctx context.Context, f fault, h *entryHost, struck func()) {
	begun := r.disturbances.begin(faultKillHost, h.name)
	r.check(r.Processes.Kill(h.name))
	struck()
	sleep(ctx, f.duration)
	r.disturbances.finish(begun)
	r.check(r.startHost(h))
}

// freezeHost stops a host for a time. Struck is called once it is stopped.
func (r *Run) freezeHost(ctx context.Context, f fault, h *entryHost, struck func()) {
	begun := r.disturbances.begin(faultFreezeHost, h.name)
	r.check(r.Processes.Freeze(h.name))
	struck()
	sleep(ctx, f.duration)
	r.check(r.Processes.Thaw(h.name))
	r.disturbances.finish(begun)
}

func (r *Run) terminateHost(ctx context.Context, f fault, h *entryHost) {
	begun := r.disturbances.begin(f.kind, h.name)
	stopping, cancel := context.WithTimeout(ctx, terminateTimeout)
	defer cancel()
	code, err := r.Processes.Terminate(stopping, h.name)
	r.tally.Check(PlannedStopCutsNothing, err == nil && code == 0, "%s: exit code %d, %v", h.name, code, err)
	if err != nil {
		r.check(r.Processes.Kill(h.name))
	}
	r.disturbances.finish(begun)
	sleep(ctx, f.duration)
	r.check(r.startHost(h))
}

func (r *Run) check(err error) {
	if err != nil {
		r.Log("faults: %v", err)
	}
}
