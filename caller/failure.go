package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

const headerRun = "X-Citronspread-Run"

// Values of the run header and of the field run in errors: whether a failed request was run.
const (
	runStatusNotRun   = "not-run"
	runStatusMaybeRun = "maybe-run"
	runStatusRan      = "ran"
)

// Error codes in responses.
const (
	codeNoRoute           = "no_route"
	codeNoMethod          = "method_not_allowed"
	codeInvalid           = "invalid_request"
	codeUnauthorized      = "invalid_api_key"
	codeTooLarge          = "request_too_large"
	codeBodyTimeout       = "request_timeout"
	codeNoModel           = "model_not_found"
	codeNoService         = "service_not_found"
	codeIncomplete        = "answer_not_whole"
	codeDeadline          = "deadline_exceeded"
	codeUnreachable       = "unreachable"
	codeInProgress        = "request_in_progress"
	codeUnknownOutcome    = "fate_unknown"
	codeKeyReused         = "idempotency_key_reused"
	codeClaimUnavailable  = "claim_unavailable"
	codeResponseNotStored = "answer_not_kept"
	codeRejected          = "rejected_by_engine"
)

// failure is an error response to a caller.
type failure struct {
	status     int
	code       string
	message    string
	run        string
	retryAfter time.Duration
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Run     string  `json:"run"`
}

func (f failure) body() errorBody {
	kind := "server_error"
	if f.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Message: f.message, Type: kind, Code: f.code, Run: f.run}}
}

// writeError writes an error response in the format of the OpenAI API, with the additional field run.
func (s *Server) writeError(w http.ResponseWriter, f failure) {
	s.countFailure(f)
	w.Header().Set(headerRun, f.run)
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	writeJSON(w, f.status, f.body())
}

func (s *Server) countFailure(f failure) {
	if f.run == runStatusNotRun {
		s.Totals.Refused.Add(1)
		return
	}
	s.Totals.MaybeRun.Add(1)
}

// writeJSON writes a JSON response. A write error is ignored: it means that the caller has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
