package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	headerTimeout  = "X-Timeout"
	headerPriority = "X-Priority"
)

// requestOptions are the deadline and the priority of a request, which callers set in headers.
type requestOptions struct {
	deadline time.Time
	priority int // 0 (lowest) to 100
}

// readBody reads the complete body within the limits for size and time.
// On failure it writes the error response and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	// If the writer does not support deadlines, the timeouts of the HTTP server apply.
	_ = control.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	// Close the connection instead of reading the rest of the body.
	w.Header().Set("Connection", "close")
	s.writeError(w, bodyFailure(err))
	return nil, false
}

func bodyFailure(err error) failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return failure{status: http.StatusRequestEntityTooLarge, code: codeTooLarge, message: "the body is too large", run: runStatusNotRun}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure{status: http.StatusRequestTimeout, code: codeBodyTimeout, message: "the body came too slowly", run: runStatusNotRun}
	default:
		return failure{status: http.StatusBadRequest, code: codeInvalid, message: "the body could not be read", run: runStatusNotRun}
	}
}

// readOptions reads the priority and the deadline from the headers.
// On failure it writes the error response and returns false.
func (s *Server) readOptions(w http.ResponseWriter, r *http.Request, now time.Time) (requestOptions, bool) {
	timeout, priority, mostUrgent := s.Limits.DefaultTimeout, s.Limits.DefaultPriority, s.Limits.MaxPriority
	if p, isSet := workspacePriority(workspaceOf(r.Context())); isSet {
		priority, mostUrgent = p, min(p, mostUrgent)
	}
	if text := r.Header.Get(headerTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			s.writeError(w, invalid(headerTimeout+" is no duration"))
			return requestOptions{}, false
		}
		timeout = d
	}
	if text := r.Header.Get(headerPriority); text != "" {
		p, err := strconv.Atoi(text)
		if err != nil || p < 0 || p > 100 {
			s.writeError(w, invalid(headerPriority+" is no number from 0 to 100"))
			return requestOptions{}, false
		}
		priority = p
	}
	return requestOptions{
		deadline: now.Add(min(timeout, s.Limits.MaxTimeout)),
		priority: min(priority, mostUrgent),
	}, true
}

func invalid(message string) failure {
	return failure{status: http.StatusBadRequest, code: codeInvalid, message: message, run: runStatusNotRun}
}
