package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// configurationID is the key of the desired state.
const configurationID = "op/config"

// limits are those of the desired state.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// world is one small deployment: a store, entry hosts and backend servers.
type world struct {
	trouble bool // false to leave out the disruption
	started time.Time
	folder  string // temporary, for settings and logs of the hosts
	network int    // second byte of the loopback addresses
	ports   ports
	store   *store
	hosts   []*host
	servers []*server

	mu     sync.Mutex
	record *os.File
	closed sync.Once
}

// ports are the same on all hosts.
type ports struct {
	front, ready, control, inner int
}

func newWorld(caseFolder string) (*world, error) {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), folder: folder, record: record, network: 10 + rand.IntN(200),
		store: newStore(),
	}
	if w.ports, err = freePorts(); err != nil {
		return nil, err
	}
	w.note("disruption: %v", w.trouble)
	return w, nil
}

// close ends all processes that were started and removes the temporary folder.
func (w *world) close() {
	w.closed.Do(func() {
		for _, h := range w.hosts {
			h.kill()
		}
		for _, s := range w.servers {
			s.close()
		}
		w.store.close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(w.folder) // it is in the folder for temporary files
		}
	})
}

// at returns the seconds since the start of the run.
func (w *world) at() float64 { return time.Since(w.started).Seconds() }

// note writes a line into the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{w.at()}, arguments...)...)
	_, _ = w.record.WriteString(line) // a record that can't be written is missing, which its reader sees
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// address returns the loopback address of a host.
func (w *world) address(index int) string { return fmt.Sprintf("127.%d.1.%d", w.network, index+1) }

// freePorts returns ports that are free on 127.0.0.1. They are used on other loopback addresses.
func freePorts() (p ports, err error) {
	for _, port := range []*int{&p.front, &p.ready, &p.control, &p.inner} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p, err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}
