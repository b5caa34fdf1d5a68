package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy between an entry host and the store. What the store sends takes the time that it takes on the host's link.
type link struct {
	Target        string
	BitsPerSecond float64

	mu   sync.Mutex
	free time.Time // when the link has sent what was given to it
}

// Listen accepts connections at an address until the process ends, and returns the address.
func (l *link) Listen(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(caller)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *link) connect(caller net.Conn) {
	defer caller.Close()
	store, err := net.Dial("tcp", l.Target)
	if err != nil {
		return
	}
	defer store.Close()
	go func() {
		_, _ = io.Copy(store, caller) // ends with the connection
		store.Close()
	}()
	buffer := make([]byte, 8<<10)
	for {
		n, err := store.Read(buffer)
		l.wait(n)
		if _, writeErr := caller.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// wait waits until the link has sent bytes, behind those of other connections.
func (l *link) wait(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes*8) / l.BitsPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}
