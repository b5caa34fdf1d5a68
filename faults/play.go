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
	orderDelayStepMS = 600 // times the amount, within longestOrder
	crashText        = "crash-the-engine"
)

// playSchedule brings about the faults and waits until all have ended.
func (r *Run) playSchedule(ctx context.Context) {
	begun := time.Now()
	var running sync.WaitGroup
	for _, f := range r.schedule {
		sleep(ctx, time.Until(begun.Add(f.at)))
		if ctx.Err() != nil {
			break
		}
		r.Log("faults: %s", f)
		running.Go(func() { r.play(ctx, f) })
	}
	running.Wait()
}

func (r *Run) play(ctx context.Context, f fault) {
	switch f.kind {
	case faultKillHost, faultFreezeHost, faultTerminateHost:
		r.playHost(ctx, f)
	case faultStoreDown, faultStoreSlow, faultStoreLose:
		r.playStore(ctx, f)
	case faultTrapKill, faultTrapFreeze:
		r.trap.arm(f)
	case faultCutZone:
		r.cutZone(ctx, f)
	case faultWeightsSlow:
		r.last(ctx, f, "", func(on bool) { r.platform.weights.SetFault(standin.WeightFault{SlowFactor: factorIf(on, f)}) })
	case faultService:
		r.playService(ctx, f)
	case faultCrashText:
		r.playCrashText(ctx, f)
	default:
		r.playEngine(ctx, f, r.platform.engines[f.target])
	}
}

// last switches a fault on, lets it last and switches it off.
func (r *Run) last(ctx context.Context, f fault, target string, toggle func(on bool)) {
	begun := r.disturbances.begin(f.kind, target)
	toggle(true)
	sleep(ctx, f.duration)
	toggle(false)
	r.disturbances.finish(begun)
}

func factorIf(on bool, f fault) float64 {
	if !on {
		return 0
	}
	return float64(1 + f.amount)
}

func (r *Run) playStore(ctx context.Context, f fault) {
	s := r.platform.store
	switch f.kind {
	case faultStoreDown:
		r.last(ctx, f, "", func(on bool) { s.EditFault(func(p *standin.StoreFault) { p.Down = on }) })
	case faultStoreSlow:
		r.last(ctx, f, "", func(on bool) {
			s.EditFault(func(p *standin.StoreFault) {
				p.DelayMS = 0
				if on {
					p.DelayMS = int64(f.amount) * slowStoreDelayMS
				}
			})
		})
	default:
		r.last(ctx, f, "", func(on bool) {
			s.EditFault(func(p *standin.StoreFault) {
				p.LoseAnswers = 0
				if on {
					p.LoseAnswers = f.amount
				}
			})
		})
	}
}

// cutZone cuts a zone off from the platform and from the hosts of other zones.
func (r *Run) cutZone(ctx context.Context, f fault) {
	zone := r.platform.zones[f.target]
	r.last(ctx, f, zone, func(on bool) {
		r.platform.store.EditFault(func(p *standin.StoreFault) { editZones(&p.UnreachableZones, zone, on) })
		r.platform.hosts.EditFault(func(p *standin.HostListFault) { editZones(&p.UnreachableZones, zone, on) })
		r.links.cut(zone, on)
		for _, e := range r.platform.engines {
			e.EditFault(func(p *standin.EngineFault) { editCut(&p.UnreachableZones, r.platform.zones, e.zone, zone, on) })
		}
	})
}

// editCut cuts an engine off from the zones on the other side.
func editCut(unreachable *[]string, zones []string, own, cut string, on bool) {
	if own != cut {
		editZones(unreachable, cut, on)
		return
	}
	for _, zone := range zones {
		if zone != own {
			editZones(unreachable, zone, on)
		}
	}
}

// editZones adds or takes away one mention of a zone.
func editZones(zones *[]string, zone string, on bool) {
	edited := slices.Clone(*zones)
	if on {
		*zones = append(edited, zone)
		return
	}
	if i := slices.Index(edited, zone); i >= 0 {
		*zones = slices.Delete(edited, i, i+1)
	}
}

func (r *Run) playService(ctx context.Context, f fault) {
	s := r.platform.services[f.target]
	s.SetFault([]standin.ServiceFault{
		{LoseAnswers: f.amount}, {CloseBefore: f.amount}, {Refuse: f.amount}, {DelayMS: 500},
	}[f.amount%4])
	sleep(ctx, f.duration)
	s.SetFault(standin.ServiceFault{})
}

func (r *Run) playEngine(ctx context.Context, f fault, e *platformEngine) {
	switch f.kind {
	case faultEngineCrash:
		r.last(ctx, f, e.Backend, func(on bool) { e.EditFault(func(p *standin.EngineFault) { p.CrashNow = on }) })
	case faultEngineFreeze:
		r.last(ctx, f, e.Backend, func(on bool) {
			if on {
				e.EditFault(func(p *standin.EngineFault) { p.FreezeMS = f.duration.Milliseconds() })
			}
		})
	case faultEngineSlow:
		r.last(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) { p.SlowFactor = factorIf(on, f) })
		})
	case faultEngineAnswers:
		r.last(ctx, f, e.Backend, func(on bool) { e.EditFault(func(p *standin.EngineFault) { spoilAnswers(p, f, on) }) })
	case faultLoadsFail:
		r.last(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) {
				p.LoadFails, p.LoadSlowFactor = 0, factorIf(on, f)
				if on {
					p.LoadFails = 1
				}
			})
		})
	case faultOrdersLate:
		r.last(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) {
				p.OrderDelayMS = 0
				if on {
					p.OrderDelayMS = int64(f.amount) * orderDelayStepMS
				}
			})
		})
	case faultOrdersLost:
		r.last(ctx, f, e.Backend, func(on bool) {
			e.EditFault(func(p *standin.EngineFault) {
				p.LoseOrderAnswers = 0
				if on {
					p.LoseOrderAnswers = f.amount
				}
			})
		})
	default:
		r.leave(ctx, f, e)
	}
}

func spoilAnswers(p *standin.EngineFault, f fault, on bool) {
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

// leave shows a backend server as leaving for a time, which others may overlap.
func (r *Run) leave(ctx context.Context, f fault, e *platformEngine) {
	e.leaves.Add(1)
	r.platform.hosts.Set(e.line(model.HostLeaving))
	sleep(ctx, hostListLag)
	r.last(ctx, f, e.Backend, func(on bool) {
		if !on && e.leaves.Add(-1) == 0 {
			r.platform.hosts.Set(e.line(model.HostLive))
		}
	})
}

// playCrashText sends a request that crashes engines to several entry hosts, again and again.
func (r *Run) playCrashText(ctx context.Context, f fault) {
	text := fmt.Sprintf("%s-%d", crashText, f.at.Milliseconds())
	edit := func(wanted string) {
		for _, e := range r.platform.engines {
			e.EditFault(func(p *standin.EngineFault) { p.CrashText = wanted })
		}
	}
	r.last(ctx, f, text, func(on bool) {
		if !on {
			edit("")
			return
		}
		edit(text)
		for _, h := range r.hosts {
			go r.sendCrashText(ctx, h, text, time.Now().Add(f.duration))
		}
	})
}
