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

var errRevoked = errors.New("caller: another entry host lost a backend server to the same request")

// completion is one request for a completion and what became of it so far.
type completion struct {
	id          string
	path        string
	body        engine.Document
	question    question
	target      routing.Target
	service     string
	fingerprint model.Fingerprint
	terms       terms
	created     time.Time

	progress engine.Progress
	moves    int  // how often it was given up for a faster replica
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
	ctx, cancel := context.WithDeadline(r.Context(), c.terms.deadline)
	defer cancel()
	w.Header().Set("X-Request-Id", c.id)
	answer := s.newAnswer(w, c)
	defer answer.close()
	err := s.run(ctx, c, answer)
	if err == nil {
		err = answer.finish()
	}
	s.settle(r.Context(), c, answer, err)
}

// readCompletion reads and checks a request. On failure it has answered.
func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, path string, now time.Time) (*completion, bool) {
	terms, ok := s.readTerms(w, r, now)
	if !ok {
		return nil, false
	}
	raw, ok := s.readBody(w, r)
	if !ok {
		return nil, false
	}
	c := &completion{id: newID(path), path: path, terms: terms, created: now}
	err := json.Unmarshal(raw, &c.body)
	if err == nil {
		err = json.Unmarshal(raw, &c.question)
	}
	if err != nil {
		s.writeError(w, invalid("the body is no JSON object of the published form"))
		return nil, false
	}
	if problem := c.question.check(path, s.Limits.MaxTokens); problem != "" {
		s.writeError(w, invalid(problem))
		return nil, false
	}
	target, routed, err := s.Router.Resolve(c.question.Model)
	if err != nil {
		s.writeError(w, failure{status: http.StatusNotFound, code: codeNoModel, message: "no such model or adapter", run: runNot})
		return nil, false
	}
	c.target, c.service = target, routed.Service
	c.fingerprint = model.Fingerprint(xxhash.Sum64(append([]byte(target.Key.String()+"\x00"), raw...)))
	return c, true
}

// run sends the completion to backend servers until one gives the whole answer or no further one may be asked.
func (s *Server) run(ctx context.Context, c *completion, answer answer) error {
	loop := attempt.Loop{Budget: s.Router.Budget, MaxRuns: s.Limits.MaxAttempts, Now: time.Now}
	progress, err := loop.Run(ctx, &completionEdge{server: s, completion: c, answer: answer})
	c.ran = progress.Runs > 0
	return err
}

// completionEdge connects a completion with the loop of attempts. It implements attempt.Edge.
type completionEdge struct {
	server     *Server
	completion *completion
	answer     answer
}

// grantPlace is a place on a backend server. It implements attempt.Place.
type grantPlace struct{ *routing.Grant }

// Backend returns the name of the backend server.
func (p grantPlace) Backend() string { return p.Replica.Backend }

// Acquire waits for a replica.
func (e *completionEdge) Acquire(ctx context.Context, p *attempt.Progress) (attempt.Place, error) {
	grant, err := e.server.Router.Acquire(ctx, e.completion.request(p.Failed))
	if err != nil {
		return nil, err
	}
	return grantPlace{grant}, nil
}

// Send sends the request once and passes its answer on.
func (e *completionEdge) Send(ctx context.Context, place attempt.Place, _ *attempt.Progress) attempt.Outcome {
	s, c, grant := e.server, e.completion, place.(grantPlace).Grant
	e.answer.admitted()
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	grant.OnRevoke(func() { cancel(errRevoked) })
	stream, err := s.Streamer.Open(sending, s.call(c, grant, e.answer))
	if err == nil {
		err = s.relay(stream, grant, e.answer)
		stream.Close()
	}
	return attempt.Outcome{Result: resultOf(err), Routing: outcomeOf(ctx, err), Err: err}
}

// Continuation says how a completion may go on.
func (e *completionEdge) Continuation(_ attempt.Outcome, _ *attempt.Progress) attempt.Continuation {
	switch {
	case len(e.completion.progress.Hashes) > 0 && e.completion.question.exact():
		return attempt.Resume
	case e.answer.started():
		return attempt.Never
	}
	return attempt.Restart
}

// Repeating prepares the next attempt.
func (e *completionEdge) Repeating(_ time.Time, backend string, o attempt.Outcome, continuation attempt.Continuation) {
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
	e.answer.reset()
	c.progress = engine.Progress{}
}

func (s *Server) relay(stream *engine.Stream, grant *routing.Grant, answer answer) error {
	for chunk, err := range stream.Chunks() {
		if err != nil {
			return err
		}
		if chunk.Token {
			grant.Token(time.Now())
		}
		if err := answer.add(chunk); err != nil {
			return err
		}
	}
	return nil
}

// settle tells the caller how the request ended, unless it has the whole answer.
func (s *Server) settle(caller context.Context, c *completion, answer answer, err error) {
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
	answer.fail(f)
}

// request returns what the router needs to know for the next attempt.
func (c *completion) request(failed []string) routing.Request {
	request := routing.Request{
		ID:          c.id,
		Target:      c.target,
		Service:     c.service,
		Fingerprint: c.fingerprint,
		Priority:    c.terms.priority,
		Deadline:    c.terms.deadline,
		MaxTokens:   c.question.maxTokens(),
		Moves:       c.moves,
		Avoid:       failed,
	}
	if delivered := len(c.progress.Hashes); delivered > 0 {
		request.Delivered = delivered
		request.Remaining = max(1, request.MaxTokens-delivered)
	}
	return request
}

func (s *Server) call(c *completion, grant *routing.Grant, answer answer) engine.Call {
	return engine.Call{
		Address:  grant.Replica.Address,
		Backend:  grant.Replica.Backend,
		Path:     c.path,
		ID:       c.id,
		Body:     c.body,
		Model:    c.target.Key.String(),
		Adapter:  c.target.Adapter,
		Priority: grant.Priority,
		Progress: &c.progress,
		Patience: s.Router.Policy.MoveSilence,
		GiveUp: func() bool {
			return (c.question.exact() || !answer.started()) && grant.ShouldMove(time.Now()) && (c.question.exact() || answer.bar())
		},
	}
}

// resultOf turns the error of an attempt into its result.
func resultOf(err error) attempt.Result {
	var unsent *httponce.UnsentError
	var notRun *engine.NotRunError
	var broken *engine.BrokenError
	var mismatch *engine.MismatchError
	var status *engine.StatusError
	switch {
	case err == nil:
		return attempt.Whole
	case errors.As(err, &unsent):
		return attempt.Unsent
	case errors.As(err, &notRun):
		return attempt.NotRun
	case errors.Is(err, engine.ErrGivenUp) || errors.Is(err, errBarred):
		return attempt.Moved
	case errors.As(err, &broken), errors.As(err, &mismatch), errors.As(err, &status) && status.Status >= http.StatusInternalServerError:
		return attempt.MayHaveRun
	}
	return attempt.Final
}

// surelyNotRun reports whether the attempt surely did not run.
func surelyNotRun(err error) bool {
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
