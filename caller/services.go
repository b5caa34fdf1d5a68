package caller

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"citronspread/attempt"
	"citronspread/httponce"
	"citronspread/routing"
	"citronspread/service"
)

const (
	headerKey  = "Idempotency-Key"
	maxKeySize = 255
	retryAfter = time.Second
)

var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// serviceCall is one call of a plain service and what became of it so far.
type serviceCall struct {
	service    string
	call       service.Call
	idempotent bool
	ran        bool
}

// callService serves /services/{service} and the paths below it.
func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	name := chi.URLParam(r, "service")
	if !s.Router.HasService(name) {
		s.writeError(w, failure{status: http.StatusNotFound, code: codeNoService, message: "no such service", run: runNot})
		return
	}
	terms, ok := s.readTerms(w, r, now)
	if !ok {
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), terms.deadline)
	defer cancel()
	c := &serviceCall{
		service:    name,
		idempotent: s.isIdempotent(r.Method),
		call:       service.Call{Method: r.Method, Path: servicePath(r, name), Header: r.Header, Body: body},
	}
	key := r.Header.Get(headerKey)
	if c.idempotent || key == "" {
		s.callPlainly(ctx, w, c)
		return
	}
	if len(key) > maxKeySize {
		s.writeError(w, invalid(headerKey+" is too long"))
		return
	}
	s.callClaimed(ctx, w, c, key)
}

func (s *Server) callPlainly(ctx context.Context, w http.ResponseWriter, c *serviceCall) {
	answer, err := s.send(ctx, c)
	if err != nil {
		s.writeError(w, c.failure(err))
		return
	}
	s.writeAnswer(w, answer)
}

// send calls hosts of the service: a call that surely was not sent goes to another host,
// one that may have run only when it is idempotent and within the budget.
func (s *Server) send(ctx context.Context, c *serviceCall) (service.Answer, error) {
	e := &serviceEdge{server: s, call: c}
	loop := attempt.Loop{Budget: s.Router.Budget, MaxRuns: math.MaxInt, Now: time.Now}
	progress, err := loop.Run(ctx, e)
	c.ran = err != nil && progress.Runs > 0
	return e.answer, err
}

// serviceEdge connects a call of a plain service with the loop of attempts. It implements attempt.Edge.
type serviceEdge struct {
	server *Server
	call   *serviceCall
	answer service.Answer
}

// sitePlace is a place on a host of a plain service. It implements attempt.Place.
type sitePlace struct{ site *routing.Site }

// Backend returns the address of the host.
func (p sitePlace) Backend() string { return p.site.Endpoint.Address }

// Done ends the call.
func (p sitePlace) Done(now time.Time, outcome routing.Outcome) {
	p.site.Done(now, outcome != routing.OutcomeUnreachable)
}

// Acquire chooses a host of the service.
func (e *serviceEdge) Acquire(_ context.Context, p *attempt.Progress) (attempt.Place, error) {
	site, err := e.server.Router.AcquireSite(time.Now(), e.call.service, p.Failed)
	if err != nil {
		return nil, err
	}
	return sitePlace{site}, nil
}

// Send calls the host once.
func (e *serviceEdge) Send(ctx context.Context, place attempt.Place, _ *attempt.Progress) attempt.Outcome {
	call := e.call.call
	call.Address = place.Backend()
	answer, err := e.server.Services.Do(ctx, call, e.call.idempotent)
	var broken *service.BrokenError
	switch {
	case err == nil:
		e.answer = answer
		return attempt.Outcome{Result: attempt.Whole, Routing: routing.OutcomeWhole}
	case surelyNotRun(err):
		return attempt.Outcome{Result: attempt.Unsent, Routing: routing.OutcomeUnreachable, Err: err}
	case errors.As(err, &broken):
		return attempt.Outcome{Result: attempt.MayHaveRun, Routing: routing.OutcomeBad, Err: err}
	}
	return attempt.Outcome{Result: attempt.Final, Routing: routing.OutcomeBad, Err: err}
}

// Continuation lets idempotent calls run again.
func (e *serviceEdge) Continuation(_ attempt.Outcome, _ *attempt.Progress) attempt.Continuation {
	if e.call.idempotent {
		return attempt.Restart
	}
	return attempt.Never
}

// Repeating logs a repeat.
func (e *serviceEdge) Repeating(_ time.Time, backend string, o attempt.Outcome, _ attempt.Continuation) {
	e.server.Log.Info("call repeated", zap.String("Service", e.call.service), zap.String("Host", backend), zap.Error(o.Err))
}

// failure turns the last error of a call into what its caller sees.
func (c *serviceCall) failure(err error) failure {
	run := runNot
	if c.ran {
		run = runMaybe
	}
	var refused *routing.RefusedError
	var unsent *httponce.UnsentError
	var tooLarge *service.TooLargeError
	switch {
	case errors.As(err, &refused) && !c.ran, errors.As(err, &unsent):
		return failure{status: http.StatusServiceUnavailable, code: codeUnreachable, message: "no host of the service could be reached", run: run, retryAfter: retryAfter}
	case errors.As(err, &tooLarge):
		return failure{status: http.StatusBadGateway, code: codeTooLarge, message: "the answer is too large", run: runDone}
	case errors.Is(err, context.DeadlineExceeded):
		return failure{status: http.StatusGatewayTimeout, code: codeDeadline, message: "the deadline passed", run: run}
	default:
		return failure{status: http.StatusBadGateway, code: codeBroken, message: "the service gave no whole answer", run: run}
	}
}

// writeAnswer passes a whole answer on.
func (s *Server) writeAnswer(w http.ResponseWriter, answer service.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	w.WriteHeader(answer.Status)
	// The caller may be gone; the call has run all the same.
	_, _ = w.Write(answer.Body)
	s.Totals.Completed.Add(1)
}

func (s *Server) isIdempotent(method string) bool {
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return slices.Contains(defaultIdempotentMethods, method)
}

// servicePath returns the path and query as the service sees them.
func servicePath(r *http.Request, name string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
