package faults

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below those that the system hands out for outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// addresses hands out loopback addresses that nothing listens on, each once.
type addresses struct {
	port int
}

func newAddresses() *addresses { return &addresses{port: firstPort + rand.IntN(lastPort-firstPort)} }

func (a *addresses) take() string {
	for {
		a.port++
		if a.port > lastPort {
			a.port = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", a.port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address
	}
}
