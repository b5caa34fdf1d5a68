package cli

import (
	"fmt"
	"net/netip"
)

// AddressError reports that the value of a flag is not an IP address with a port.
type AddressError struct {
	Flag  string
	Value string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("cli: %s %q: expected IP:port, such as 127.0.0.1:7001", e.Flag, e.Value)
}

func checkAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &AddressError{Flag: flag, Value: value}
	}
	return nil
}
