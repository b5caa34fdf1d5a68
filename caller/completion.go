package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"citronspread/attempt"
	"citronspread/engine"
	"citronspread/httponce"
	"citronspread/model"
	"citronspread/routing"
)

const (
	pathChat = "/v1/chat/completions"
	pathText = "/v1/completions"
)

var errRevoked = errors.New("caller: attempt revoked, the same request crashed a backend server at another entry host")

// completion is one request for a completion and its progress.
type completion struct {
	id          string
	path        string
	body        engine.Document
	params      completionParams
	target      routing.Target
	service     string
	fingerprint model.Fingerprint
	options     requestOptions
	created     time.Time

	progress engine.Progress
	moves    int  // attempts cancelled in favor of a faster replica
	ran      bool // an attempt may have run
}

// completeChat serves POST /v1/chat/completions.
func (s *Server) completeChat(w http.ResponseWriter, r *http.Request) { s.complete(w, r, pathChat) }

// completeText serves POST /v1/completions.
func (s *Server) completeText(w http.ResponseWriter, r *http.Request) { s.complete(w, r, pathText) }

func (s *Server) complete(w http.ResponseWriter, r *http.Request, path string) {
	now := time.Now()
	c, ok := s.readCompletion(w, r, path, now)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.options.deadline)
	defer cancel()
	w.Header().Set(headerRequestID, c.id)
	response := s.newResponse(w, c)
	defer response.close()
	err := s.run(ctx, c, response)
	if err == nil {
		err = response.finish()
	}
	s.reportOutcome(r.Context(), c, response, err)
}

// readCompletion reads and validates a request. On failure it writes the error response and returns false.
func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, path string, now time.Time) (*completion, bool) {
	options, ok := s.readOptions(w, r, now)
	if !ok {
		return nil, false
	}
	raw, ok := s.readBody(w, r)
	if !ok {
		return nil, false
	}
	c := &completion{id: newID(path), path: path, options: options, created: now}
	err := json.Unmarshal(raw, &c.body)
	if err == nil {
		err = json.Unmarshal(raw, &c.params)
	}
	if err != nil {
		s.writeError(w, invalid("the body is no JSON object of the published form"))
		return nil, false
	}
	if problem := c.params.validate(path, s.Limits.MaxTokens); problem != "" {
		s.writeError(w, invalid(problem))
		return nil, false
	}
	target, routed, err := s.Router.Resolve(c.params.Model)
	if err != nil {
		s.writeError(w, failure{status: http.StatusNotFound, code: codeNoModel, message: "no such model or adapter", run: runStatusNotRun})
		return nil, false
	}
	c.target, c.service = target, routed.Service
	c.fingerprint = model.Fingerprint(xxhash.Sum64(append([]byte(target.Key.String()+"\x00"), raw...)))
	return c, true
}

// run sends the completion to backend servers until one returns the complete response or no further attempt is allowed.
func (s *Server) run(ctx context.Context, c *completion, response response) error {
	loop := attempt.Loop{Budget: s.Router.Budget, MaxRuns: s.Limits.MaxRuns, Now: time.Now}
	progress, err := loop.Run(ctx, &completionSender{server: s, completion: c, response: response})
	c.ran = progress.Runs > 0
	return err
}

// completionSender makes the attempts of a completion. It implements attempt.Transport.
type completionSender struct {
	server     *Server
	completion *completion
	response   response
}

// backendGrant is the grant to send one request to a backend server. It implements attempt.Grant.
type backendGrant struct{ *routing.Grant }

// Backend returns the name of the backend server.
func (g backendGrant) Backend() string { return g.Replica.Backend }

// Acquire waits until the router grants a replica.
func (e *completionSender) Acquire(ctx context.Context, p *attempt.Progress) (attempt.Grant, error) {
	grant, err := e.server.Router.Acquire(ctx, e.completion.routingRequest(p.Failed))
	if err != nil {
		return nil, err
	}
	return backendGrant{grant}, nil
}

// Send sends the request once and forwards the response to the caller.
func (e *completionSender) Send(ctx context.Context, granted attempt.Grant, p *attempt.Progress) attempt.Outcome {
	s, c, grant := e.server, e.completion, granted.(backendGrant).Grant
	e.response.startKeepAlive()
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	grant.OnRevoke(func() { cancel(errRevoked) })
	call := s.engineCall(c, grant, e.response)
	call.Earlier = p.PossibleArrivals
	stream, err := s.Streamer.Open(sendCtx, call)
	if err == nil {
		err = s.forwardChunks(c, stream, grant, e.response)
		stream.Close()
	}
	return attempt.Outcome{Result: attemptResult(err), Routing: routingOutcome(ctx, err), Err: err}
}

// Continuation returns how the next attempt may continue the completion.
func (e *completionSender) Continuation(_ attempt.Outcome, _ *attempt.Progress) attempt.Continuation {
	switch {
	case len(e.completion.progress.Hashes) > 0 && e.completion.params.deterministic():
		return attempt.Resume
	case e.response.started():
		return attempt.Never
	}
	return attempt.Restart
}

// OnRepeat logs and counts the repeat and prepares the next attempt.
func (e *completionSender) OnRepeat(_ time.Time, backend string, o attempt.Outcome, continuation attempt.Continuation) {
	s, c := e.server, e.completion
	s.Log.Info("attempt repeated", zap.String("Request", c.id), zap.String("Backend", backend),
		zap.Int("Tokens", len(c.progress.Hashes)), zap.Error(o.Err))
	switch {
	case o.Result == attempt.Moved:
		c.moves++
		s.Totals.Moved.Add(1)
	case o.Result != attempt.MayHaveRun:
		return
	case continuation == attempt.Resume:
		s.Totals.Resumed.Add(1)
	default:
		s.Totals.Retried.Add(1)
	}
	if continuation == attempt.Resume {
		c.progress.Finished = false
		return
	}
	e.response.reset()
	c.progress, c.target.Software = engine.Progress{}, ""
}

// forwardChunks forwards the chunks of a stream. Only engines of the software version that brings the first token may
// continue the completion.
func (s *Server) forwardChunks(c *completion, stream *engine.Stream, grant *routing.Grant, response response) error {
	for chunk, err := range stream.Chunks() {
		if err != nil {
			return err
		}
		if chunk.Token {
			c.target.Software = grant.Replica.Software
			grant.Token(time.Now())
		}
		if err := response.add(chunk); err != nil {
			return err
		}
	}
	return nil
}

// reportOutcome counts and logs the outcome, and sends a failure to a caller that is still connected.
func (s *Server) reportOutcome(caller context.Context, c *completion, response response, err error) {
	if err == nil {
		s.Totals.Completed.Add(1)
		return
	}
	f := failureOf(c, err)
	s.Log.Info("request failed", zap.String("Request", c.id), zap.String("Model", c.target.Key.String()),
		zap.String("Code", f.code), zap.String("Run", f.run), zap.Error(err))
	if caller.Err() != nil {
		return
	}
	response.fail(f)
}

// routingRequest returns the request to the router for the next attempt, which avoids the failed backend servers.
func (c *completion) routingRequest(failed []string) routing.Request {
	request := routing.Request{
		ID:          c.id,
		Target:      c.target,
		Service:     c.service,
		Fingerprint: c.fingerprint,
		Priority:    c.options.priority,
		Deadline:    c.options.deadline,
		MaxTokens:   c.params.maxTokens(),
		Moves:       c.moves,
		Avoid:       failed,
	}
	if delivered := len(c.progress.Hashes); delivered > 0 {
		request.Delivered = delivered
		request.Remaining = max(1, request.MaxTokens-delivered)
	}
	return request
}

func (s *Server) engineCall(c *completion, grant *routing.Grant, response response) engine.Call {
	return engine.Call{
		Address:      grant.Replica.Address,
		Backend:      grant.Replica.Backend,
		Path:         c.path,
		ID:           c.id,
		Body:         c.body,
		Model:        c.target.Key.String(),
		Adapter:      c.target.Adapter,
		Priority:     grant.Priority,
		Progress:     &c.progress,
		SilenceLimit: s.Router.Policy.MoveSilence,
		ShouldMove: func() bool {
			return (c.params.deterministic() || !response.started()) && grant.ShouldMove(time.Now()) && (c.params.deterministic() || response.suspend())
		},
		OnHead: func(status int, header http.Header) {
			s.recordStatements(grant.Replica.Backend, grant.Replica.Born, status, header)
		},
	}
}

// attemptResult classifies the error of an attempt for the attempt loop.
func attemptResult(err error) attempt.Result {
	var unsent *httponce.UnsentError
	var notRun *engine.NotRunError
	var incomplete *engine.IncompleteResponseError
	var mismatch *engine.MismatchError
	var status *engine.RequestStatusError
	switch {
	case err == nil:
		return attempt.Complete
	case errors.As(err, &unsent):
		return attempt.Unsent
	case errors.As(err, &notRun):
		return attempt.NotRun
	case errors.Is(err, engine.ErrMoved) || errors.Is(err, errResponseSuspended):
		return attempt.Moved
	case errors.As(err, &incomplete), errors.As(err, &mismatch), errors.As(err, &status) && status.Status >= http.StatusInternalServerError:
		return attempt.MayHaveRun
	}
	return attempt.Final
}

// certainlyNotRun reports whether the error proves that the attempt did not run.
func certainlyNotRun(err error) bool {
	var unsent *httponce.UnsentError
	var notRun *engine.NotRunError
	return errors.As(err, &unsent) || errors.As(err, &notRun)
}

func newID(path string) string {
	if path == pathChat {
		return "chatcmpl-" + uuid.NewString()
	}
	return "cmpl-" + uuid.NewString()
}
