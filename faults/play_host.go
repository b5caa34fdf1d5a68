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
		r.killHost(ctx, f, h)
	case faultFreezeHost:
		r.freezeHost(ctx, f, h)
	default:
		r.terminateHost(ctx, f, h)
	}
}

func (r *Run) killHost(ctx context.Context, f fault, h *entryHost) {
	begun := r.disturbances.begin(f.kind, h.name)
	r.check(r.Processes.Kill(h.name))
	sleep(ctx, f.duration)
	r.disturbances.finish(begun)
	r.check(r.startHost(h))
}

func (r *Run) freezeHost(ctx context.Context, f fault, h *entryHost) {
	begun := r.disturbances.begin(f.kind, h.name)
	r.check(r.Processes.Freeze(h.name))
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
