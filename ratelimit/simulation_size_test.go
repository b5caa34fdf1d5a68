//go:build !race

package ratelimit

// isRaceDetected reports whether the race detector runs. It takes ten times as long, so simulations are smaller with it; make test
// runs them in full without it.
const isRaceDetected = false
