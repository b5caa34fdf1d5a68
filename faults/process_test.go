package faults

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// processes implements Processes with processes of the built program.
type processes struct {
	binary    string
	directory string

	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newProcesses(t *testing.T, binary string) *processes {
	p := &processes{binary: binary, directory: t.TempDir(), running: map[string]*process{}}
	t.Cleanup(p.killAll)
	return p
}

func (p *processes) Start(name, settingsFile string) error {
	log, err := os.OpenFile(filepath.Join(p.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, "serve", "--settings", settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	started := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(started.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name] = started
	return nil
}

func (p *processes) get(name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[name]
}

func (p *processes) signal(name string, s syscall.Signal) error {
	running := p.get(name)
	if running == nil {
		return fmt.Errorf("faults: entry host %s is not running", name)
	}
	return running.cmd.Process.Signal(s)
}

func (p *processes) Kill(name string) error {
	if err := p.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-p.get(name).done
	return nil
}

func (p *processes) Pause(name string) error { return p.signal(name, syscall.SIGSTOP) }

func (p *processes) Resume(name string) error { return p.signal(name, syscall.SIGCONT) }

func (p *processes) Terminate(ctx context.Context, name string) (int, error) {
	if err := p.signal(name, syscall.SIGTERM); err != nil {
		return 0, err
	}
	running := p.get(name)
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-running.done:
		return running.cmd.ProcessState.ExitCode(), nil
	}
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, running := range p.running {
		_ = running.cmd.Process.Kill()
		<-running.done
	}
}
