package yamlfile

import "net/netip"

const addressExpected = "an address as IP:port, such as 127.0.0.1:8101"

// Address returns the value of a required key, which must be an IP address with a port.
func (m *Mapping) Address(key string) string {
	text, ok := m.scalar(key, addressExpected)
	if ok && !isAddress(text) {
		m.AddProblem(key, addressExpected)
	}
	return text
}

// Addresses returns the list of addresses under a required key. Each must be an IP address with a port.
func (m *Mapping) Addresses(key string) []string {
	addresses := m.texts(key, "a list of addresses, each as IP:port")
	for _, address := range addresses {
		if !isAddress(address) {
			m.AddProblem(key, addressExpected)
		}
	}
	return addresses
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
