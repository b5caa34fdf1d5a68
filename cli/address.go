package cli

import (
	"fmt"
	"net/netip"
)

// AddressError tells that a flag's value is no address.
type AddressError struct {
	Flag  string
	Value string
}

// Error returns the flag, its value and what was expected.
func (e *AddressError) Error() string {
	return fmt.Sprintf("cli: %s %q: expected IP:port, such as 127.0.0.1:7001", e.Flag, e.Value)
}

func checkAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &AddressError{Flag: flag, Value: value}
	}
	return nil
}
