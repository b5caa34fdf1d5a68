package gateway

import (
	"time"

	"citronspread/model"
)

// RoutedRequest is the part of a caller's request that determines how the request is routed.
type RoutedRequest struct {
	ID          string
	Route       model.Route
	Service     string
	Model       string // empty for a plain service
	Adapter     string
	MaxTokens   int // 0 if the caller set none
	ArrivedAt   time.Time
	Deadline    time.Time
	Fingerprint model.Fingerprint
	PromptParts []string // IDs of the shared parts of the prompt, in order
}

// IsNonIdempotent reports whether the request must not run twice.
func (r RoutedRequest) IsNonIdempotent() bool {
	return r.Route.Kind == model.RouteOnce || r.Route.Kind == model.RouteStream && !r.Route.Resumable
}
