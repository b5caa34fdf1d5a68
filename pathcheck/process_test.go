package pathcheck

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	startTimeout = 15 * time.Second
	stopTimeout  = 10 * time.Second
	pollInterval = 30 * time.Millisecond
)

// process is a process of the built program.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan error
	log     string
}

// start starts the built program, which is killed at the end of the test.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, exited: make(chan error, 1), log: filepath.Join(t.TempDir(), name+".log")}
	file, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	p.command = exec.Command(*binary, args...)
	p.command.Stdout = file
	p.command.Stderr = file
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.command.Wait() }()
	t.Cleanup(func() {
		p.command.Process.Kill()
		p.showLog(t)
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
}

// wait waits until the process has ended and returns its exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case err := <-p.exited:
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return exit.ExitCode()
		}
		return 0
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not end within %s", p.name, stopTimeout)
	}
	return -1
}

// showLog prints the end of the process's log if the test failed.
func (p *process) showLog(t *testing.T) {
	if !t.Failed() {
		return
	}
	body, err := os.ReadFile(p.log)
	if err == nil && len(body) > 0 {
		fmt.Printf("log of %s:\n%s\n", p.name, body[max(0, len(body)-logTail):])
	}
}

const logTail = 3000 // bytes

// runCommand runs a command of the built program and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	output, err := exec.Command(*binary, args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(output), exit.ExitCode()
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(output), 0
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// waitUntil polls until done returns true. The test fails if that takes longer than startTimeout.
func waitUntil(t *testing.T, name string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %s", name, startTimeout)
		}
		time.Sleep(pollInterval)
	}
}
