package caller

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"citronspread/attempt"
	"citronspread/httponce"
	"citronspread/model"
	"citronspread/routing"
	"citronspread/service"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	maxKeyBytes          = 255
	retryAfter           = time.Second
)

var errTurnedAway = errors.New("caller: the service wants no calls for some time")

var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// serviceCall is one call of a plain service and its progress.
type serviceCall struct {
	service     string
	call        service.Call
	fingerprint model.Fingerprint
	deadline    time.Time
	idempotent  bool
	ran         bool // an attempt may have run
}

// callService serves /services/{service} and the paths below it.
func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	name := chi.URLParam(r, "service")
	if !s.Router.HasService(name) {
		s.writeError(w, failure{status: http.StatusNotFound, code: codeNoService, message: "no such service", run: runStatusNotRun})
		return
	}
	options, ok := s.readOptions(w, r, now)
	if !ok {
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), options.deadline)
	defer cancel()
	c := &serviceCall{
		service:    name,
		deadline:   options.deadline,
		idempotent: s.isIdempotent(r.Method),
		call:       service.Call{Method: r.Method, Path: servicePath(r, name), Header: r.Header, Body: body},
	}
	c.fingerprint = model.Fingerprint(xxhash.Sum64String(strings.Join([]string{name, r.Method, c.call.Path, string(body)}, "\x00")))
	key := r.Header.Get(headerIdempotencyKey)
	if c.idempotent || key == "" {
		s.callUnclaimed(ctx, w, c)
		return
	}
	if len(key) > maxKeyBytes {
		s.writeError(w, invalid(headerIdempotencyKey+" is too long"))
		return
	}
	if name := workspaceOf(ctx).Name; name != "" {
		key = name + "\x00" + key // two workspaces may use the same key for different calls
	}
	s.callClaimed(ctx, w, c, key)
}

func (s *Server) callUnclaimed(ctx context.Context, w http.ResponseWriter, c *serviceCall) {
	response, err := s.send(ctx, c)
	if err != nil {
		s.writeError(w, c.failure(err))
		return
	}
	s.writeResponse(w, response)
}

// send calls hosts of the service. A call that certainly was not sent is sent to another host;
// one that may have run is repeated only if it is idempotent and the retry budget allows it.
func (s *Server) send(ctx context.Context, c *serviceCall) (service.Response, error) {
	e := &serviceSender{server: s, call: c}
	loop := attempt.Loop{Budget: s.Router.Budget, MaxRuns: math.MaxInt, Now: time.Now}
	progress, err := loop.Run(ctx, e)
	if refused := (*routing.RefusedError)(nil); e.turnedAway && (errors.Is(err, errTurnedAway) || errors.As(err, &refused)) {
		return e.response, nil // the service's own answer, since no other host may be asked
	}
	c.ran = err != nil && progress.Runs > 0
	return e.response, err
}

// serviceSender makes the attempts of a call of a plain service. It implements attempt.Transport.
type serviceSender struct {
	server   *Server
	call     *serviceCall
	response service.Response

	turnedAway bool // response is a 503 with Retry-After
}

// endpointGrant is the grant to send one call to a host of a plain service. It implements attempt.Grant.
type endpointGrant struct{ grant *routing.EndpointGrant }

// Backend returns the address of the host.
func (g endpointGrant) Backend() string { return g.grant.Endpoint.Address }

// Done reports the outcome of the call to the router.
func (g endpointGrant) Done(now time.Time, outcome routing.Outcome) {
	g.grant.Done(now, outcome)
}

// Acquire chooses a host of the service.
func (e *serviceSender) Acquire(ctx context.Context, p *attempt.Progress) (attempt.Grant, error) {
	request := routing.Request{Service: e.call.service, Fingerprint: e.call.fingerprint, Deadline: e.call.deadline, Avoid: p.Failed}
	grant, err := e.server.Router.AcquireEndpoint(ctx, request)
	if err != nil {
		return nil, err
	}
	return endpointGrant{grant}, nil
}

// Send calls the host once.
func (e *serviceSender) Send(ctx context.Context, granted attempt.Grant, p *attempt.Progress) attempt.Outcome {
	call := e.call.call
	call.Address, call.Earlier = granted.Backend(), p.PossibleArrivals
	response, err := e.server.Services.Do(ctx, call, e.call.idempotent)
	var incomplete *service.IncompleteResponseError
	switch {
	case err == nil && e.server.recordStatements(granted.(endpointGrant).grant.Backend(), granted.(endpointGrant).grant.Endpoint.Born, response.Status, response.Header) > 0:
		e.response, e.turnedAway = response, true
		return attempt.Outcome{Result: attempt.MayHaveRun, Routing: routing.OutcomeOverloaded, Err: errTurnedAway}
	case err == nil:
		e.response = response
		return attempt.Outcome{Result: attempt.Complete, Routing: routing.OutcomeComplete}
	case certainlyNotRun(err):
		return attempt.Outcome{Result: attempt.Unsent, Routing: routing.OutcomeUnreachable, Err: err}
	case errors.As(err, &incomplete) && ctx.Err() != nil:
		return attempt.Outcome{Result: attempt.MayHaveRun, Routing: routing.OutcomeAbandoned, Err: err}
	case errors.As(err, &incomplete):
		return attempt.Outcome{Result: attempt.MayHaveRun, Routing: routing.OutcomeConnectionLost, Err: err}
	}
	return attempt.Outcome{Result: attempt.Final, Routing: routing.OutcomeRejected, Err: err}
}

// Continuation allows only idempotent calls to run again.
func (e *serviceSender) Continuation(_ attempt.Outcome, _ *attempt.Progress) attempt.Continuation {
	if e.call.idempotent {
		return attempt.Restart
	}
	return attempt.Never
}

// OnRepeat logs the repeat.
func (e *serviceSender) OnRepeat(_ time.Time, backend string, o attempt.Outcome, _ attempt.Continuation) {
	e.server.Log.Info("call repeated", zap.String("Service", e.call.service), zap.String("Host", backend), zap.Error(o.Err))
}

// failure returns the error response for the last error of a call.
func (c *serviceCall) failure(err error) failure {
	run := runStatusNotRun
	if c.ran {
		run = runStatusMaybeRun
	}
	var refused *routing.RefusedError
	var unsent *httponce.UnsentError
	var tooLarge *service.ResponseTooLargeError
	switch {
	case errors.As(err, &refused) && refused.Reason == routing.ReasonSuspect, errors.As(err, &refused) && refused.Reason == routing.ReasonBackOff:
		return refusal(refused, run)
	case errors.As(err, &refused) && !c.ran, errors.As(err, &unsent):
		return failure{status: http.StatusServiceUnavailable, code: codeUnreachable, message: "no host of the service could be reached", run: run, retryAfter: retryAfter}
	case errors.As(err, &tooLarge):
		return failure{status: http.StatusBadGateway, code: codeTooLarge, message: "the answer is too large", run: runStatusRan}
	case errors.Is(err, context.DeadlineExceeded):
		return failure{status: http.StatusGatewayTimeout, code: codeDeadline, message: "the deadline passed", run: run}
	default:
		return failure{status: http.StatusBadGateway, code: codeIncomplete, message: "the service gave no whole answer", run: run}
	}
}

// writeResponse writes the complete response of a service to the caller.
func (s *Server) writeResponse(w http.ResponseWriter, response service.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	w.WriteHeader(response.Status)
	// A write error means that the caller has disconnected. The call has run nevertheless and counts as completed.
	_, _ = w.Write(response.Body)
	s.Totals.Completed.Add(1)
}

func (s *Server) isIdempotent(method string) bool {
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return slices.Contains(defaultIdempotentMethods, method)
}

// servicePath returns the path and query without the prefix /services/NAME.
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
