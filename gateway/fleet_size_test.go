//go:build !race

package gateway

// Size of a test fleet.
const (
	fleetHosts = 300
	fleetZones = 5
)
