package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// binary is the program as the deploy file builds it, and role its arguments there.
const (
	binary = "target/citronspread"
	role   = "gateway"
)

// host is an entry host, a separate process.
type host struct {
	name     string
	zone     string
	ip       string
	settings string // path of the settings file
	log      string // path of its output
	ports    ports

	command *exec.Cmd
	done    chan struct{}
}

// front returns the address for callers.
func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }

// addHost starts an entry host in a zone.
func (w *world) addHost(name, zone string) (*host, error) {
	h := &host{name: name, zone: zone, ip: w.address(len(w.hosts)), ports: w.ports}
	h.settings, h.log = filepath.Join(w.folder, name+".conf"), filepath.Join(w.folder, name+".log")
	storeAddress, err := w.store.listen(name)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settings, []byte(w.settingsOf(h, storeAddress)), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, h.start()
}

// settingsOf returns the settings of a host, with the values of the site qls-links.
func (w *world) settingsOf(h *host, storeAddress string) string {
	p := w.ports
	lines := []string{
		"nodeName=" + h.name, "role=entry", "machineClass=front", "serves=front", "ip=" + h.ip, "zone=" + h.zone, "region=punjab",
		"zones.sialkot-a=punjab", "zones.sialkot-b=punjab", "zones.gujranwala=punjab",
		fmt.Sprintf("listen.front=%s:%d", h.ip, p.front), fmt.Sprintf("listen.ready=%s:%d", h.ip, p.ready),
		fmt.Sprintf("listen.control=%s:%d", h.ip, p.control), fmt.Sprintf("innerPortRange=%d,%d", p.inner, p.inner+15),
		"bootstrap=true", "lossCounts=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
		"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.maxStretchMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retrySlack=52",
		"bounds.recoveryS=12", "bounds.passMs=120", "bounds.retryAfterS=0", "bounds.fencingRequired=false", "bounds.leaseMs=3000",
		"bounds.thawSlackMs=300", "bounds.ceilingWindowS=5", "bounds.ceilingOverage=1.1",
		"platform.address=" + storeAddress, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process.
func (h *host) start() error {
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	h.command = exec.Command(binary, role)
	h.command.Env = append(os.Environ(), "CITRONSPREAD_CONFIG="+h.settings)
	h.command.Stdout, h.command.Stderr = output, output
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait() // how it ended is in the state of the process
		close(done)
	}(h.command, h.done)
	return nil
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if h.command == nil || h.command.Process == nil {
		return
	}
	_ = h.command.Process.Kill() // fails if it has ended
	<-h.done
}

// isReady reports whether the host answers the platform's readiness check with 200.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", h.ip, h.ports.ready))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the hosts are not ready")

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(w.hosts) {
			w.note("%d hosts are ready", ready)
			return nil
		}
	}
	return errNotReady
}
