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

// terms are what a caller asks for besides the content.
type terms struct {
	deadline time.Time
	priority int
}

// readBody reads the whole body within the limits. On failure it has answered.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	// A writer without deadlines is bounded by the server's own timeouts.
	_ = control.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.BodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	// The rest of the body is not waited for.
	w.Header().Set("Connection", "close")
	s.writeError(w, bodyFailure(err))
	return nil, false
}

func bodyFailure(err error) failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return failure{status: http.StatusRequestEntityTooLarge, code: codeTooLarge, message: "the body is too large", run: runNot}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure{status: http.StatusRequestTimeout, code: codeBodyTimeout, message: "the body came too slowly", run: runNot}
	default:
		return failure{status: http.StatusBadRequest, code: codeInvalid, message: "the body could not be read", run: runNot}
	}
}

// readTerms reads priority and deadline from the headers. On failure it has answered.
func (s *Server) readTerms(w http.ResponseWriter, r *http.Request, now time.Time) (terms, bool) {
	timeout, priority := s.Limits.DefaultTimeout, s.Limits.DefaultPriority
	if text := r.Header.Get(headerTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			s.writeError(w, invalid(headerTimeout+" is no duration"))
			return terms{}, false
		}
		timeout = d
	}
	if text := r.Header.Get(headerPriority); text != "" {
		p, err := strconv.Atoi(text)
		if err != nil || p < 0 || p > 100 {
			s.writeError(w, invalid(headerPriority+" is no number from 0 to 100"))
			return terms{}, false
		}
		priority = p
	}
	return terms{
		deadline: now.Add(min(timeout, s.Limits.MaxTimeout)),
		priority: min(priority, s.Limits.MaxPriority),
	}, true
}

func invalid(message string) failure {
	return failure{status: http.StatusBadRequest, code: codeInvalid, message: message, run: runNot}
}
