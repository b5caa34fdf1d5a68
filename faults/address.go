package faults

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports lie below the range that the operating system uses for outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// addressPool allocates free loopback addresses. No address is returned twice until the range is used up.
type addressPool struct {
	port int
}

func newAddressPool() *addressPool {
	return &addressPool{port: firstPort + rand.IntN(lastPort-firstPort)}
}

func (a *addressPool) take() string {
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
