package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of each entry host, on an address of its own.
const (
	callerPort = 8149
	readyPort  = 8141
	firstPeer  = 7380
	lastPeer   = 7395
)

// binary is the program as the deploy file builds it.
const binary = "target/citronspread"

// entryHost is a process of the system on its own loopback address.
type entryHost struct {
	Name  string
	Zone  string
	IP    string
	Store string // address of the metadata store
	Dir   string
	Log   *record
	Extra map[string]string // settings that differ

	process *exec.Cmd
	output  *os.File
	ended   chan struct{}
}

// settings returns the settings file, with the fields and the figures of a small deployment.
func (h *entryHost) settings() string {
	fields := map[string]string{
		"nodeName": h.Name, "role": "entry", "machineClass": "front", "serves": "front", "ip": h.IP, "zone": h.Zone, "region": "punjab",
		"zones.sialkot-a": "punjab", "zones.sialkot-b": "punjab", "zones.gujranwala": "punjab",
		"listen.front": fmt.Sprintf("%s:%d", h.IP, callerPort), "listen.ready": fmt.Sprintf("%s:%d", h.IP, readyPort),
		"innerPortRange": fmt.Sprintf("%d,%d", firstPeer, lastPeer), "bootstrap": "true", "lossCounts": "false",
		"limits.cpuShare": "0.4", "limits.cores": "1", "limits.memoryMb": "284", "limits.maxFds": "4100", "limits.linkMbps": "1000.0", "limits.diskMb": "0",
		"discovery": "platform", "entry": "vip", "heartbeatMs": "1200", "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
		"tolerate.machines": "2", "tolerate.zones": "1", "tolerate.regions": "0",
		"bounds.seedLagS": "3", "bounds.addrReuseS": "2", "bounds.contactMs": "3000", "bounds.ackMs": "4000", "bounds.catchUpS": "4", "bounds.drainMs": "2000",
		"bounds.graceS": "8", "bounds.lossSlackMs": "200", "bounds.configApplyMs": "2000", "bounds.rollbackSlackMs": "250", "bounds.maxStretchMs": "5000",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.retrySlack": "52", "bounds.recoveryS": "12", "bounds.passMs": "120",
		"bounds.retryAfterS": "0", "bounds.fencingRequired": "false", "bounds.leaseMs": "3000", "bounds.thawSlackMs": "300", "bounds.ceilingWindowS": "5",
		"bounds.ceilingOverage": "1.1", "platform.address": h.Store, "platform.form": "kv", "platform.writesPerS": "400", "platform.readsPerS": "2000",
		"platform.historyS": "20", "platform.valueBytes": "1048576", "platform.minTtlMs": "1000",
	}
	for name, value := range h.Extra {
		fields[name] = value
	}
	var b strings.Builder
	for name, value := range fields {
		fmt.Fprintf(&b, "%s=%s\n", name, value)
	}
	return b.String()
}

// Start starts the process with the command of the deploy file.
func (h *entryHost) Start() error {
	path := filepath.Join(h.Dir, h.Name+".conf")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(h.Dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.output = output
	h.process = exec.Command(binary, "gateway")
	h.process.Env = []string{"CITRONSPREAD_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + h.Dir}
	h.process.Stdout, h.process.Stderr = output, output
	if err := h.process.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		err := process.Wait()
		h.Log.Printf("host %s ended: %v", h.Name, err)
		close(ended)
	}(h.process, h.ended)
	h.Log.Printf("host %s started", h.Name)
	return nil
}

// Signal sends a signal to the process.
func (h *entryHost) Signal(s syscall.Signal) {
	h.Log.Printf("host %s gets signal %v", h.Name, s)
	_ = h.process.Process.Signal(s) // fails only if the process has ended
}

// Kill kills the process and waits until it has ended.
func (h *entryHost) Kill() {
	if h.process == nil || h.process.Process == nil {
		return
	}
	_ = h.process.Process.Kill() // fails only if the process has ended
	<-h.ended
	h.output.Close()
}

// IsReady asks the host the platform's question.
func (h *entryHost) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", h.IP, readyPort), nil)
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

// CallerAddress returns the address for callers.
func (h *entryHost) CallerAddress() string { return fmt.Sprintf("%s:%d", h.IP, callerPort) }

// waitReady waits until all hosts are ready.
func waitReady(hosts []*entryHost, timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for _, h := range hosts {
		for !h.IsReady() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// serve serves HTTP on a free port of an address until the process ends.
func serve(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return listener.Addr().String(), nil
}
