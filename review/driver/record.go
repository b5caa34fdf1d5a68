package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record keeps what was sent, answered and run, and writes it to a file.
type record struct {
	mu       sync.Mutex
	startAt  time.Time
	lines    []string
	arrivals []arrival
}

func newRecord() *record { return &record{startAt: time.Now()} }

// printf adds a line with the time since the start.
func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.startAt).Seconds())+fmt.Sprintf(format, arguments...))
}

// arrived adds a request that reached a backend server.
func (r *record) arrived(a arrival) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.printf("arrived id=%s service=%s backend=%s uri=%s parts=%s ran=%t", a.id, a.service, a.backend, a.uri, a.header.Get("Prompt-Prefix"), a.ran)
}

// list returns the requests that reached backend servers so far.
func (r *record) list() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// write writes all lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	buffered := bufio.NewWriter(file)
	for _, line := range r.lines {
		fmt.Fprintln(buffered, line)
	}
	return buffered.Flush()
}
