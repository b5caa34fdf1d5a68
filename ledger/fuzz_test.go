package ledger

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"citronspread/model"

	"pgregory.net/rapid"
)

var (
	soakSeconds = flag.Int("soak.seconds", 0, "duration of TestLedgerSoak in seconds")
	walkSeed    = flag.Int("soak.walk", 0, "seed of the one walk that TestLedgerSoak traces")
)

// op is the kind of a step.
type op int

const (
	opAdvance op = iota
	opAdvanceLong
	opLoad
	opUnload
	opRequest
	opStanding
	opChangeReplicas
	opChangeSecondReplicas
	opFreeze
	opResume
	opKill
	opBoot
	opEngineRestart
	opStoreDown
	opStoreUp
	opStoreDisconnect
	opStoreReconnect
	opHidePeer
	opShowPeer
	opRelease
	opZonePartition
	opZoneRejoin
	opEngineRemove
	opEngineAdd
	opLoadInterrupted
	opUnloadInterrupted
	opCount
)

var opNames = [opCount]string{
	"advance", "advance long", "load", "unload", "request", "standing", "change replicas", "change second replicas",
	"freeze", "resume", "kill", "boot", "engine restart", "store down", "store up", "store disconnect", "store reconnect", "hide peer", "show peer", "release", "zone partition", "zone rejoin", "engine remove", "engine add",
	"load interrupted", "unload interrupted",
}

// opWeights holds the relative frequency of each op, per kind of walk.
var opWeights = [][opCount]int{
	{20, 8, 40, 30, 20, 4, 4, 2, 6, 10, 4, 12, 3, 2, 6, 3, 4, 4, 4, 1, 2, 4, 2, 4, 8, 8},
	{20, 6, 40, 40, 24, 3, 3, 1, 3, 20, 2, 12, 1, 0, 9, 0, 9, 2, 9, 0, 0, 9, 0, 0, 14, 14}, // owners frozen or killed while orders are in progress
	{20, 4, 40, 40, 20, 9, 6, 3, 4, 12, 3, 9, 3, 6, 9, 6, 9, 2, 4, 0, 5, 6, 1, 2, 6, 6},    // unreliable store, and standing reservations
	{20, 4, 50, 40, 40, 2, 9, 4, 1, 6, 1, 6, 4, 0, 9, 0, 9, 1, 4, 0, 1, 6, 4, 2, 3},        // numbers of replicas lowered under load
}

// step is one step of a walk.
type step struct {
	Op   op
	A, B int
	Seed uint64 // for the random delays and losses during the step
}

func (s step) String() string { return fmt.Sprintf("%s %d %d", opNames[s.Op], s.A, s.B) }

// script is the setup and the steps of a walk.
type script struct {
	Setup setup
	Steps []step
}

// newStep derives a step from a seed. Drawing the op from rapid directly would not spread the steps evenly.
func newStep(weights [opCount]int, seed uint64) step {
	rng := rand.New(rand.NewPCG(seed, 3))
	sum := 0
	for _, n := range weights {
		sum += n
	}
	s := step{A: rng.IntN(12), B: rng.IntN(12), Seed: seed}
	n := rng.IntN(sum)
	for n >= weights[s.Op] {
		n -= weights[s.Op]
		s.Op++
	}
	return s
}

var scripts = rapid.Custom(func(t *rapid.T) script {
	s := setup{
		Hosts:        rapid.IntRange(2, 4).Draw(t, "hosts"),
		Engines:      rapid.IntRange(1, 3).Draw(t, "engines"),
		Models:       rapid.IntRange(1, 3).Draw(t, "models"),
		Zones:        rapid.IntRange(1, 2).Draw(t, "zones"),
		TrustFencing: rapid.Bool().Draw(t, "trust fencing"),

		RoutersReport: rapid.Bool().Draw(t, "routers report"),
	}
	if !s.TrustFencing {
		s.VolatileFencing = rapid.Bool().Draw(t, "volatile fencing")
	}
	for range s.Engines {
		s.Fencing = append(s.Fencing, rapid.Bool().Draw(t, "fencing"))
	}
	for range s.Models {
		s.Replicas = append(s.Replicas, rapid.IntRange(1, 3).Draw(t, "replicas"))
	}
	weights := opWeights[rapid.IntRange(0, len(opWeights)-1).Draw(t, "kind")]
	var steps []step
	for _, seed := range rapid.SliceOfN(rapid.Uint64(), 60, 300).Draw(t, "steps") {
		steps = append(steps, newStep(weights, seed))
	}
	return script{s, steps}
})

// baseline changes the behavior of hosts to an unsafe one, to show that the checks detect it.
type baseline func(w *world)

// walk runs a script, then ends all faults and checks that the hosts recover. It returns the breach, if any.
func walk(s script, base baseline, trace bool) (*world, error) {
	w := newWorld(s.Setup)
	w.tracing = trace
	if base != nil {
		w.externalChecksOnly = true
		base(w)
	}
	w.advance(8 * time.Second)
	for _, v := range s.Steps {
		w.rng = rand.New(rand.NewPCG(v.Seed, 7))
		w.advance(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
		w.logf("-- %s", v)
		w.doStep(v)
		if w.breach != nil {
			return w, *w.breach
		}
	}
	w.checkRecovery()
	if w.breach != nil {
		return w, *w.breach
	}
	return w, nil
}

// doStep carries out one step.
func (w *world) doStep(s step) {
	p := w.processes[s.A%len(w.processes)]
	e := w.engines[s.B%len(w.engines)]
	k := s.A % len(w.keys)
	switch s.Op {
	case opAdvance:
		w.advance(time.Duration(50*(1+s.A)*(1+s.B)) * time.Millisecond)
	case opAdvanceLong:
		w.advance(time.Duration(1+s.A+s.B) * time.Second)
	case opLoad:
		w.sendToOwners(e.name, LoadRequested{Key: w.keys[k], Backend: e.name})
	case opUnload:
		w.sendToOwners(e.name, UnloadRequested{Key: w.keys[k], Backend: e.name})
	case opRequest:
		e.request(w.keys[k])
	case opStanding:
		p.standingRequested = s.B%2 == 0
		w.sendSources(p)
	case opChangeReplicas:
		w.config[k].Generation++
		w.config[k].Replicas = s.B % 4
		w.publishConfig()
	case opChangeSecondReplicas:
		w.secondConfig[k].Generation++
		w.secondConfig[k].Replicas = s.B % 3
		w.publishConfig()
	case opFreeze:
		p.frozen = p.running
	case opResume:
		w.resume(p)
	case opKill:
		w.kill(p)
	case opBoot:
		if !p.running {
			w.boot(p)
		}
	case opEngineRestart:
		e.restart()
	case opStoreDown:
		w.store.down = true
	case opStoreUp:
		w.store.down = false
	case opStoreDisconnect:
		p.storeDisconnected = true
	case opStoreReconnect:
		p.storeDisconnected = false
	case opHidePeer:
		p.hiddenPeer = s.B % len(w.processes)
	case opShowPeer:
		p.hiddenPeer = -1
	case opLoadInterrupted:
		w.interruptOwner(s, LoadRequested{Key: w.keys[k], Backend: e.name})
	case opUnloadInterrupted:
		w.interruptOwner(s, UnloadRequested{Key: w.keys[k], Backend: e.name})
	case opZonePartition, opZoneRejoin:
		for _, q := range w.processes {
			if q.host.Zone == p.host.Zone {
				q.storeDisconnected = s.Op == opZonePartition
			}
		}
	case opEngineRemove:
		e.unlisted = true
		e.restart()
	case opEngineAdd:
		e.unlisted = false
	case opRelease:
		w.deliver(p, ReleaseAll{})
	}
}

// sendToOwners delivers an event to every process that is the owner of the backend server in its own view.
func (w *world) sendToOwners(backend string, e Event) {
	for _, p := range w.processes {
		if p.running && w.ownsInItsView(p, backend) {
			w.deliver(p, e)
		}
	}
}

// interruptOwner requests a load or an unload, and freezes or kills the owner at one of the actions that follow.
func (w *world) interruptOwner(s step, e Event) {
	backend := w.engines[s.B%len(w.engines)].name
	for _, p := range w.processes {
		if p.running && w.ownsInItsView(p, backend) {
			p.interruptAt, p.interruptMode = interruptPoint(w.rng.IntN(int(interruptPointCount))), interruptMode(w.rng.IntN(int(interruptModeCount)))
			if s.A%2 == 0 {
				p.interruptAt, p.interruptMode = sendPointOf(e), freezeBefore
			}
		}
	}
	w.sendToOwners(backend, e)
}

// sendPointOf returns the interruption point at which the order for a load or unload request is sent.
func sendPointOf(e Event) interruptPoint {
	if _, load := e.(LoadRequested); load {
		return interruptLoad
	}
	return interruptUnload
}

// ownsInItsView reports whether a process is the owner of a backend server in its own view.
func (w *world) ownsInItsView(p *process, backend string) bool {
	return slices.ContainsFunc(p.host.Owned(), func(o OwnedBackend) bool { return o.Record.Backend == backend })
}

// publishConfig sends the newest configuration to every process, with different delays.
func (w *world) publishConfig() {
	config, second := slices.Clone(w.config), slices.Clone(w.secondConfig)
	for _, p := range w.processes {
		w.after(w.delay(), func() { w.publishConfigTo(p, config, second) })
	}
}

// publishConfigTo delivers a configuration to a process as soon as it is connected to the store.
func (w *world) publishConfigTo(p *process, config, second []model.Source) {
	if p.storeDisconnected {
		w.after(time.Second, func() { w.publishConfigTo(p, config, second) })
		return
	}
	for i := range config {
		p.config[i] = newest(p.config[i], config[i])
		p.secondConfig[i] = newest(p.secondConfig[i], second[i])
	}
	w.sendSources(p)
}

func newest(a, b model.Source) model.Source {
	if b.Generation > a.Generation {
		return b
	}
	return a
}

// resume continues a frozen process: first its pending actions, then the events that arrived while it was frozen.
func (w *world) resume(p *process) {
	if !p.running || !p.frozen {
		return
	}
	p.frozen = false
	inbox, outbox := p.inbox, p.outbox
	p.inbox, p.outbox = nil, nil
	for _, a := range outbox {
		w.emit(p, a)
	}
	for _, e := range inbox {
		if _, end := e.(OrderAnswered); end || !w.chance(10) {
			w.deliver(p, e)
		}
	}
}

// kill ends a process. The others see that it has stopped when the host list changes, simHostListLag later.
func (w *world) kill(p *process) {
	if !p.running {
		return
	}
	p.running, p.killedAt = false, w.now
	incarnation := p.host.Incarnation
	if _, known := w.stopKnownAt[incarnation]; !known {
		w.stopKnownAt[incarnation] = w.now.Add(simHostListLag)
	}
}

// checkRecovery ends all faults, unloads everything, and then loads and unloads each model once more.
func (w *world) checkRecovery() {
	w.faults = false
	w.store.down = false
	for _, p := range w.processes {
		w.resume(p)
		w.resume(p)
		p.storeDisconnected, p.hiddenPeer, p.standingRequested = false, -1, false
		if p.running && p.host.shuttingDown {
			w.kill(p)
		}
		if !p.running {
			w.boot(p)
		}
	}
	for i := range w.keys {
		w.config[i] = model.Source{Record: "a", Generation: w.config[i].Generation + 1, Replicas: 1}
		w.secondConfig[i] = model.Source{Record: "b", Generation: w.secondConfig[i].Generation + 1}
	}
	w.publishConfig()
	w.advance(simMaxDelay)
	w.until("surplus replicas are unloaded", 400*time.Second, func() bool {
		return !slices.ContainsFunc(w.keys, func(k model.ModelKey) bool { return w.replicas(k) > 1 || w.store.used[k] > 1 })
	})
	w.until("everything is unloaded", 400*time.Second, func() bool {
		for _, key := range w.keys {
			for _, e := range w.engines {
				w.sendToOwners(e.name, UnloadRequested{Key: key, Backend: e.name})
			}
		}
		return w.nothingLoaded()
	})
	for i, key := range w.keys {
		e := w.engines[i%len(w.engines)]
		if e.unlisted {
			continue
		}
		w.until("a requested model is served", 30*time.Second, func() bool {
			w.sendToOwners(e.name, LoadRequested{Key: key, Backend: e.name})
			return w.serves(e.name, key)
		})
		w.until("a model is unloaded on request", 60*time.Second, func() bool {
			w.sendToOwners(e.name, UnloadRequested{Key: key, Backend: e.name})
			return w.nothingLoaded()
		})
	}
}

// until lets time pass until a condition holds. It fails with a liveness breach after the limit.
func (w *world) until(what string, limit time.Duration, holds func() bool) {
	for end := w.now.Add(limit); w.breach == nil && !holds(); {
		if w.now.After(end) {
			w.fail("liveness", "%s: not within %s\n%s", what, limit, w.state())
			return
		}
		w.advance(500 * time.Millisecond)
	}
}

// nothingLoaded reports whether no engine has a model loaded and no slot is used.
func (w *world) nothingLoaded() bool {
	for _, e := range w.engines {
		if len(e.models) > 0 {
			return false
		}
	}
	for _, key := range w.keys {
		if w.store.used[key] > 0 {
			return false
		}
	}
	return true
}

func (w *world) serves(backend string, key model.ModelKey) bool {
	for _, p := range w.processes {
		for _, r := range p.host.Replicas() {
			if r.Backend == backend && r.Key == key && !r.Draining {
				return true
			}
		}
	}
	return false
}

// state formats the records and the engines' state, for the message of a liveness breach.
func (w *world) state() string {
	var lines []string
	for key := range w.store.entries {
		lines = append(lines, key+" "+string(w.store.current(key).value))
	}
	for _, e := range w.engines {
		lines = append(lines, fmt.Sprintf("%+v", e.observation()))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// firstSeed returns -rapid.seed, or sets it to 1 if it is not given, so that the run is reproducible.
func firstSeed(t *testing.T) int {
	f := flag.Lookup("rapid.seed")
	if f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			t.Fatal(err)
		}
	}
	seed, err := strconv.Atoi(f.Value.String())
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

// Random walks of loads, unloads, crashes, freezes, partitions and lost messages must break no guarantee of the ledger,
// and the hosts must recover afterwards. rapid shrinks a walk that fails. The seed is 1 or -rapid.seed.
func TestLedgerWalks(t *testing.T) {
	firstSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		if _, err := walk(scripts.Draw(t, "script"), nil, false); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLedgerSoak runs walks like TestLedgerWalks for -soak.seconds, with consecutive seeds from -rapid.seed on.
// With -soak.walk it only prints the trace of one seed.
func TestLedgerSoak(t *testing.T) {
	if *walkSeed != 0 {
		w, err := walk(scripts.Example(*walkSeed), nil, true)
		t.Logf("%s\nerr %v", strings.Join(w.trace, "\n"), err)
		return
	}
	if *soakSeconds == 0 {
		t.Skip("no -soak.seconds")
	}
	var sum counts
	first, began := firstSeed(t), time.Now()
	seed := first
	for ; time.Since(began) < time.Duration(*soakSeconds)*time.Second; seed++ {
		w, err := walk(scripts.Example(seed), nil, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		sum.add(w.counts)
	}
	t.Logf("soak: seeds %d to %d, %+v", first, seed-1, sum)
}

func (c *counts) add(v counts) {
	c.Loads += v.Loads
	c.StandingLoads += v.StandingLoads
	c.Unloads += v.Unloads
	c.Takeovers += v.Takeovers
	c.Refused += v.Refused
	c.Restarts += v.Restarts
	c.Steps += v.Steps
}
