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
	pollPause    = 30 * time.Millisecond
)

// process is one process of the binary.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan error
	log     string
}

// start starts the binary and kills it at the end of the test.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, ended: make(chan error, 1), log: filepath.Join(t.TempDir(), name+".log")}
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
	go func() { p.ended <- p.command.Wait() }()
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

// wait returns the exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case err := <-p.ended:
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

// showLog prints what the process wrote, when the test failed.
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

// runCommand runs a short command and returns its output and exit code.
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

// freeAddresses returns loopback addresses that nobody listens on.
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

// waitUntil polls until done returns true.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, startTimeout)
		}
		time.Sleep(pollPause)
	}
}
