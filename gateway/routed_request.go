package gateway

import (
	"time"

	"citronspread/attempt"
	"citronspread/model"
)

// RoutedRequest is the part of a caller's request that determines how the request is routed.
type RoutedRequest struct {
	ID          string
	Route       model.Route
	Service     string
	Model       string // empty for a plain service
	Adapter     string
	Workspace   string // whose key the caller has, empty if the deployment has no workspaces or an anonymous caller no key
	Priority    int    // of the workspace, or else of the route; 0 is the most urgent
	Tokens      int    // of the prompt and of the longest possible response; PlainTokens of the cap if the caller states none
	MaxTokens   int    // of the longest possible response, 0 if the caller set none
	ArrivedAt   time.Time
	Deadline    time.Time
	Fingerprint model.Fingerprint
	PromptParts []string // IDs of the shared parts of the prompt, in order
	TakenUp     bool     // the caller has received the first events of the stream from an earlier request
	Resumes     string   // ID of the request that brought the first of them, empty if not stated
	Software    string   // software version of the backend servers that may serve the request, empty for any
}

// IsNonIdempotent reports whether the request must not run twice.
func (r RoutedRequest) IsNonIdempotent() bool {
	return r.Route.Kind == model.RouteOnce || r.Route.Kind == model.RouteStream && !r.Route.Resumable
}

// beginsResumableStream reports whether the next send of the request begins a stream that any host may have to continue.
func (r RoutedRequest) beginsResumableStream(p *attempt.Progress) bool {
	return r.Route.Kind == model.RouteStream && r.Route.Resumable && !r.TakenUp && !p.Resuming
}
