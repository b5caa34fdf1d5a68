package gateway

import (
	"time"

	"citronspread/model"
)

// Question is the part of a caller's request that determines how the request is routed.
type Question struct {
	ID          string
	Route       model.Route
	Service     string
	Model       string // empty for a plain service
	Adapter     string
	MaxTokens   int // 0 if the caller set none
	Arrived     time.Time
	Deadline    time.Time
	Fingerprint model.Fingerprint
}

// IsOnce reports whether the request must not run twice.
func (q Question) IsOnce() bool {
	return q.Route.Kind == model.RouteOnce || q.Route.Kind == model.RouteStream && !q.Route.Resumable
}
