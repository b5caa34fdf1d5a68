//go:build race

package ratelimit

// isRaceDetected: see simulation_size_test.go.
const isRaceDetected = true
