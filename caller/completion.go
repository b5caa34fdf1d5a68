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
	failed   []string // backend servers that failed it
	moves    int      // how often it was given up for a faster replica
	ran      bool     // an attempt may have run
	attempts int      // that may have run
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

// run makes attempts until one gives the whole answer or no further one is allowed.
func (s *Server) run(ctx context.Context, c *completion, answer answer) error {
	s.Router.Budget.Request(time.Now())
	for {
		grant, err := s.Router.Acquire(ctx, c.request())
		if err != nil {
			return err
		}
		err = s.attempt(ctx, c, grant, answer)
		if err == nil || c.attempts >= s.Limits.MaxAttempts || !s.mayRepeat(ctx, c, grant.Replica.Backend, answer, err) {
			return err
		}
		s.Log.Info("attempt repeated", zap.String("Request", c.id), zap.String("Backend", grant.Replica.Backend),
			zap.Int("Tokens", len(c.progress.Hashes)), zap.Error(err))
	}
}

// attempt sends the request once and passes its answer on.
func (s *Server) attempt(ctx context.Context, c *completion, grant *routing.Grant, answer answer) error {
	answer.admitted()
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	grant.OnRevoke(func() { cancel(errRevoked) })
	stream, err := s.Streamer.Open(sending, s.call(c, grant, answer))
	if err == nil {
		err = s.relay(stream, grant, answer)
		stream.Close()
	}
	if !surelyNotRun(err) {
		c.ran = true
		c.attempts++
	}
	grant.Done(time.Now(), outcomeOf(ctx, err))
	return err
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

// mayRepeat decides whether another attempt follows a failed one.
func (s *Server) mayRepeat(ctx context.Context, c *completion, backend string, answer answer, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if surelyNotRun(err) {
		return true
	}
	var broken *engine.BrokenError
	var mismatch *engine.MismatchError
	var status *engine.StatusError
	switch {
	case errors.Is(err, engine.ErrGivenUp) || errors.Is(err, errBarred):
		s.move(c, answer, backend)
		return true
	case errors.As(err, &broken):
		c.failed = append(c.failed, broken.Backend)
	case errors.As(err, &mismatch):
		c.failed = append(c.failed, mismatch.Backend)
	case errors.As(err, &status) && status.Status >= http.StatusInternalServerError:
		c.failed = append(c.failed, status.Backend)
	default:
		return false
	}
	return s.mayStartAgain(c, answer)
}

// move prepares the attempt on a faster replica, which the budget has been asked for already.
func (s *Server) move(c *completion, answer answer, backend string) {
	c.failed = append(c.failed, backend)
	c.moves++
	s.Totals.Moved.Add(1)
	if len(c.progress.Hashes) > 0 && c.question.exact() {
		c.progress.Finished = false
		return
	}
	answer.reset()
	c.progress = engine.Progress{}
}

// mayStartAgain decides between a resumption and a retry from the start, and asks the budget.
func (s *Server) mayStartAgain(c *completion, answer answer) bool {
	now := time.Now()
	if len(c.progress.Hashes) > 0 && c.question.exact() {
		if !s.Router.Budget.Spend(now, routing.ExtraResume) {
			return false
		}
		c.progress.Finished = false
		s.Totals.Resumed.Add(1)
		return true
	}
	if answer.started() || !s.Router.Budget.Spend(now, routing.ExtraRetry) {
		return false
	}
	answer.reset()
	c.progress = engine.Progress{}
	s.Totals.Retried.Add(1)
	return true
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
func (c *completion) request() routing.Request {
	request := routing.Request{
		ID:          c.id,
		Target:      c.target,
		Service:     c.service,
		Fingerprint: c.fingerprint,
		Priority:    c.terms.priority,
		Deadline:    c.terms.deadline,
		MaxTokens:   c.question.maxTokens(),
		Moves:       c.moves,
		Avoid:       c.failed,
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
