//go:build race

package gateway

// Size of a test fleet under the race detector, which fails with the goroutines of 300 entry hosts. make test also runs
// these tests without it. The zones stay as large.
const (
	fleetHosts = 120
	fleetZones = 2
)
