package faults

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"citronspread/model"
	"citronspread/standin"
)

const (
	terminateTimeout = 40 * time.Second
	slowStoreDelayMS = 250
	orderDelayStepMS = 600 // per unit of a fault's amount; with maxAmount the delay stays below maxOrderTime
	crashTextPrefix  = "crash-the-engine"
)

// injectSchedule injects the faults of the schedule and waits until they have ended, except those that are armed for a step
// of a load.
func (r *Run) injectSchedule(ctx context.Context) {
	start := time.Now()
	var running sync.WaitGroup
	for _, f := range r.schedule {
		sleep(ctx, time.Until(start.Add(f.at)))
		if ctx.Err() != nil {
			break
		}
		r.Log("faults: %s", f)
		running.Go(func() { r.injectFault(ctx, f) })
	}
	running.Wait()
}

// injectFault injects a fault and waits until it has ended. It only arms a fault for a step of a load: that one is injected
// when the step is reached, which may be later than the end of the schedule.
func (r *Run) injectFault(ctx context.Context, f fault) {
	switch f.kind {
	case faultKillHost, faultFreezeHost, faultTerminateHost:
		r.injectHostFault(ctx, f)
	case faultStoreDown, faultStoreSlow, faultStoreLose:
		r.injectStoreFault(ctx, f)
	case faultKillOwner, faultFreezeOwner:
		r.injector.arm(f)
	case faultPartitionZone:
		r.partitionZone(ctx, f)
	case faultWeightsSlow:
		r.injectFor(ctx, f, "", func(on bool) { r.platform.weights.SetFault(standin.WeightFault{SlowFactor: factorIf(on, f)}) })
	case faultService:
		r.injectServiceFault(ctx, f)
	case faultCrashText:
		r.injectCrashRequests(ctx, f)
	default:
		r.injectEngineFault(ctx, f, r.platform.engines[f.target])
	}
}

// injectFor switches a fault on, waits for its duration, switches it off and records when it was active.
func (r *Run) injectFor(ctx context.Context, f fault, target string, toggle func(on bool)) {
	period := r.faultLog.begin(f.kind, target)
	toggle(true)
	sleep(ctx, f.duration)
	toggle(false)
	r.faultLog.finish(period)
}

// factorIf returns the slowdown factor of a fault, or 0 if it is off.
func factorIf(on bool, f fault) float64 {
	if !on {
		return 0
	}
	return float64(1 + f.amount)
}

func (r *Run) injectStoreFault(ctx context.Context, f fault) {
	s := r.platform.store
	switch f.kind {
	case faultStoreDown:
		r.injectFor(ctx, f, "", func(on bool) { s.EditFault(func(p *standin.StoreFault) { p.Down = on }) })
	case faultStoreSlow:
		r.injectFor(ctx, f, "", func(on bool) {
			s.EditFault(func(p *standin.StoreFault) {
				p.DelayMS = 0
				if on {
					p.DelayMS = int64(f.amount) * slowStoreDelayMS
				}
			})
		})
	default:
		r.injectFor(ctx, f, "", func(on bool) {
			s.EditFault(func(p *standin.StoreFault) {
				p.LoseAnswers = 0
				if on {
					p.LoseAnswers = f.amount
				}
			})
		})
	}
}

// partitionZone disconnects a zone from the store, the host list and the other zones' entry hosts and engines.
func (r *Run) partitionZone(ctx context.Context, f fault) {
	zone := r.platform.zones[f.target]
	r.injectFor(ctx, f, zone, func(on bool) {
		r.platform.store.EditFault(func(p *standin.StoreFault) { editZoneList(&p.UnreachableZones, zone, on) })
		r.platform.hosts.EditFault(func(p *standin.HostListFault) { editZoneList(&p.UnreachableZones, zone, on) })
		r.links.setPartitioned(zone, on)
		for _, e := range r.platform.engines {
			e.EditFault(func(p *standin.EngineFault) { editPartition(&p.UnreachableZones, r.platform.zones, e.zone, zone, on) })
		}
	})
}

// editPartition adds or removes the zones that an engine can't reach while a zone is partitioned.
func editPartition(unreachable *[]string, zones []string, own, partitioned string, on bool) {
	if own != partitioned {
		editZoneList(unreachable, partitioned, on)
		return
	}
	for _, zone := range zones {
		if zone != own {
			editZoneList(unreachable, zone, on)
		}
	}
}

// editZoneList adds or removes one mention of a zone. A zone with overlapping faults is listed several times.
func editZoneList(zones *[]string, zone string, on bool) {
	edited := slices.Clone(*zones)
	if on {
		*zones = append(edited, zone)
		return
	}
	if i := slices.Index(edited, zone); i >= 0 {
		*zones = slices.Delete(edited, i, i+1)
	}
}

// injectServiceFault injects a fault into a service. The fault's amount selects which one and, except for the delay, how
// many calls it affects.
func (r *Run) injectServiceFault(ctx context.Context, f fault) {
	s := r.platform.services[f.target]
	s.SetFault([]standin.ServiceFault{
		{LoseAnswers: f.amount}, {CloseBefore: f.amount}, {Refuse: f.amount}, {DelayMS: 500},
	}[f.amount%4])
	sleep(ctx, f.duration)
	s.SetFault(standin.ServiceFault{})
}

func (r *Run) injectEngineFault(ctx context.Context, f fault, e *platformEngine) {
	switch f.kind {
	case faultEngineCrash:
		r.injectFor(ctx, f, e.Backend, func(on bool) { e.EditFault(func(p *standin.EngineFault) { p.CrashNow = on }) })
	case faultEngineFreeze:
		r.injectFor(ctx, f, e.Backend, func(on bool) {
			if on {
				e.EditFault(func(p *standin.EngineFault) { p.FreezeMS = f.duration.Milliseconds() })
			}
		})
	case faultEngineSlow:
		r.injectFor(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) { p.SlowFactor = factorIf(on, f) })
		})
	case faultEngineResponses:
		r.injectFor(ctx, f, e.Backend, func(on bool) { e.EditFault(func(p *standin.EngineFault) { setResponseFault(p, f, on) }) })
	case faultLoadsFail:
		r.injectFor(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) {
				p.LoadFails, p.LoadSlowFactor = 0, factorIf(on, f)
				if on {
					p.LoadFails = 1
				}
			})
		})
	case faultOrdersLate:
		r.injectFor(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) {
				p.OrderDelayMS = 0
				if on {
					p.OrderDelayMS = int64(f.amount) * orderDelayStepMS
				}
			})
		})
	case faultOrdersLost:
		r.injectFor(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) {
				p.LoseOrderAnswers = 0
				if on {
					p.LoseOrderAnswers = f.amount
				}
			})
		})
	default:
		r.injectLeave(ctx, f, e)
	}
}

// setResponseFault sets or clears a fault of an engine's responses. The fault's amount selects which one.
func setResponseFault(p *standin.EngineFault, f fault, on bool) {
	p.CrossAnswers, p.Truncate, p.Duplicate, p.LateMS = 0, 0, 0, 0
	if !on {
		return
	}
	switch f.amount % 4 {
	case 0:
		p.CrossAnswers = f.amount
	case 1:
		p.Truncate = f.amount
	case 2:
		p.Duplicate = f.amount
	default:
		p.LateMS = 300
	}
}

// injectLeave shows a backend server as leaving in the host list for the fault's duration, which counts from the time at
// which the list publishes the change. Leaves of a server may overlap.
func (r *Run) injectLeave(ctx context.Context, f fault, e *platformEngine) {
	e.leaveFaults.Add(1)
	r.platform.hosts.Set(e.hostListEntry(model.HostLeaving))
	sleep(ctx, hostListLag)
	r.injectFor(ctx, f, e.Backend, func(on bool) {
		if !on && e.leaveFaults.Add(-1) == 0 {
			r.platform.hosts.Set(e.hostListEntry(model.HostLive))
		}
	})
}

// injectCrashRequests repeats a request that crashes engines at all entry hosts.
func (r *Run) injectCrashRequests(ctx context.Context, f fault) {
	text := fmt.Sprintf("%s-%d", crashTextPrefix, f.at.Milliseconds())
	setCrashText := func(newText string) {
		for _, e := range r.platform.engines {
			e.EditFault(func(p *standin.EngineFault) { p.CrashText = newText })
		}
	}
	r.injectFor(ctx, f, text, func(on bool) {
		if !on {
			setCrashText("")
			return
		}
		setCrashText(text)
		for _, h := range r.hosts {
			go r.sendCrashRequests(ctx, h, text, time.Now().Add(f.duration))
		}
	})
}
