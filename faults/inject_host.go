package faults

import (
	"context"
)

// injectHostFault injects a fault into an entry host, unless another fault of its process is active.
func (r *Run) injectHostFault(ctx context.Context, f fault) {
	h := r.hosts[f.target]
	if !h.faultActive.CompareAndSwap(false, true) {
		return
	}
	defer h.faultActive.Store(false)
	switch f.kind {
	case faultKillHost:
		r.killHost(ctx, f, h, func() {})
	case faultFreezeHost:
		r.pauseHost(ctx, f, h, func() {})
	default:
		r.terminateHost(ctx, f, h)
	}
}

// killHost kills a host and restarts it after the fault's duration. It calls injected once the process has exited.
func (r *Run) killHost(ctx context.Context, f fault, h *entryHost, injected func()) {
	period := r.faultLog.begin(faultKillHost, h.name)
	r.logError(r.Processes.Kill(h.name))
	injected()
	sleep(ctx, f.duration)
	r.faultLog.finish(period)
	r.logError(r.startHost(h))
}

// pauseHost pauses a host's process for the fault's duration. It calls injected after the process is paused.
func (r *Run) pauseHost(ctx context.Context, f fault, h *entryHost, injected func()) {
	period := r.faultLog.begin(faultFreezeHost, h.name)
	r.logError(r.Processes.Pause(h.name))
	injected()
	sleep(ctx, f.duration)
	r.logError(r.Processes.Resume(h.name))
	r.faultLog.finish(period)
}

// terminateHost shuts a host down gracefully, checks its exit code and restarts it after the fault's duration.
func (r *Run) terminateHost(ctx context.Context, f fault, h *entryHost) {
	period := r.faultLog.begin(f.kind, h.name)
	stopping, cancel := context.WithTimeout(ctx, terminateTimeout)
	defer cancel()
	code, err := r.Processes.Terminate(stopping, h.name)
	r.tally.Check(PlannedStopInterruptsNothing, err == nil && code == 0, "%s: exit code %d, %v", h.name, code, err)
	if err != nil {
		r.logError(r.Processes.Kill(h.name))
	}
	r.faultLog.finish(period)
	sleep(ctx, f.duration)
	r.logError(r.startHost(h))
}

// logError logs an error, if any.
func (r *Run) logError(err error) {
	if err != nil {
		r.Log("faults: %v", err)
	}
}
