package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// program is the one that the build line of the deploy file makes, and runCommand the arguments of its role.
	program    = "target/citronspread"
	runCommand = "gateway"
	// settingsVariable names the settings file of a process.
	settingsVariable = "CITRONSPREAD_CONFIG"
	// gracePeriod is graceS, the time between SIGTERM and SIGKILL.
	gracePeriod = 8 * time.Second
	// startTimeout is how long a host may take until it is ready.
	startTimeout = 20 * time.Second
)

// settingsFormat is a settings file with the bounds of the site qls-links.
const settingsFormat = `nodeName=%s
role=entry
machineClass=front
serves=front
ip=%s
zone=%s
region=punjab
zones.sialkot-a=punjab
zones.sialkot-b=punjab
zones.gujranwala=punjab
listen.front=%s
listen.ready=%s
innerPortRange=%d,%d
bootstrap=true
limits.memoryMb=284
discovery=platform
entry=vip
heartbeatMs=1200
tolerate.machines=2
tolerate.zones=1
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=52
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.fencingRequired=false
bounds.ceilingWindowS=5
bounds.ceilingOverage=1.1
platform.address=%s
platform.form=kv
`

// entryHost is a process of the project's program with its own loopback address, its own link to the store and a link for
// callers.
type entryHost struct {
	name    string
	zone    string
	ip      string
	front   string // address that the process listens on for callers
	ready   string
	gate    *gate // in front of the store
	store   *link // from the process to the gate
	callers *link // from callers to the process
	folder  string
	process *exec.Cmd
	exited  chan struct{}
}

// newEntryHost prepares a host at a loopback address. It does not start the process.
func newEntryHost(folder, name, zone, ip string, store http.Handler) (*entryHost, error) {
	h := &entryHost{name: name, zone: zone, ip: ip, folder: folder, gate: &gate{store: store}}
	addresses, ports, err := freeAddresses(ip, 5)
	if err != nil {
		return nil, err
	}
	h.front, h.ready = addresses[0], addresses[1]
	if err := h.gate.listen(); err != nil {
		return nil, err
	}
	if h.store, err = newLink(addresses[3], h.gate.address); err != nil {
		return nil, err
	}
	if h.callers, err = newLink(addresses[4], h.front); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(settingsFormat, name, ip, zone, h.front, h.ready, ports[2], ports[2], h.store.address)
	return h, os.WriteFile(h.settings(), []byte(settings), 0o600)
}

func (h *entryHost) settings() string { return filepath.Join(h.folder, h.name+".conf") }

// start starts the process.
func (h *entryHost) start() error {
	output, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	h.process = exec.Command(program, runCommand)
	h.process.Env = []string{settingsVariable + "=" + h.settings(), "PATH=" + os.Getenv("PATH")}
	h.process.Stdout, h.process.Stderr = output, output
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait() // a process that was killed exits with an error
		close(exited)
	}(h.process, h.exited)
	return nil
}

// signal sends a signal to the process, which may have exited.
func (h *entryHost) signal(s syscall.Signal) { _ = h.process.Process.Signal(s) }

// isReady asks the process the platform's readiness question.
func (h *entryHost) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the host is ready.
func (h *entryHost) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("host %s was not ready within %s", h.name, startTimeout)
}

// end kills the process and closes the links.
func (h *entryHost) end() {
	if h.process != nil && h.process.Process != nil {
		h.signal(syscall.SIGKILL)
		select {
		case <-h.exited:
		case <-time.After(gracePeriod):
		}
	}
	h.store.close()
	_ = h.gate.server.Close()
	h.callers.close()
}

// Ports that are chosen for the processes. They lie below those that the system assigns to outgoing connections.
const (
	lowestPort  = 18000
	highestPort = 30000
)

// freeAddresses returns addresses of an IP address that nothing listens on, and their ports.
func freeAddresses(ip string, count int) (addresses []string, ports []int, err error) {
	for port := lowestPort + rand.IntN(highestPort-lowestPort-1000); port < highestPort && len(ports) < count; port++ {
		address := fmt.Sprintf("%s:%d", ip, port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		addresses, ports = append(addresses, address), append(ports, port)
	}
	if len(ports) < count {
		return nil, nil, fmt.Errorf("no %d free ports on %s", count, ip)
	}
	return addresses, ports, nil
}

// listenFree listens on a free port of an IP address.
func listenFree(ip string) (net.Listener, error) {
	addresses, _, err := freeAddresses(ip, 1)
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", addresses[0])
}

// gate stands in front of the store and can turn a host away.
type gate struct {
	store   http.Handler
	address string
	server  *http.Server
	busy    atomic.Bool // every call gets 503, which means that nothing was done
}

func (g *gate) listen() error {
	listener, err := listenFree("127.0.0.1")
	if err != nil {
		return err
	}
	g.address, g.server = listener.Addr().String(), &http.Server{Handler: g}
	go func() { _ = g.server.Serve(listener) }() // ends with the host
	return nil
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.busy.Load() {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}
