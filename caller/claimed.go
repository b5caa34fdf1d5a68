package caller

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"citronspread/service"
)

const headerReplayed = "X-Citronspread-Replayed"

// callClaimed claims the idempotency key and then calls the service.
func (s *Server) callClaimed(ctx context.Context, w http.ResponseWriter, c *serviceCall, key string) {
	if s.Claims == nil {
		s.writeError(w, claimUnavailable())
		return
	}
	hash := requestHash(c.call)
	held, current, err := s.Claims.acquireOrWait(ctx, claimKey(c.service, key), hash)
	switch {
	case current != nil:
		s.respondToRepeat(w, hash, *current)
		return
	case err != nil:
		s.Log.Warn("claim unavailable", zap.String("Service", c.service), zap.Error(err))
		s.writeError(w, claimUnavailable())
		return
	}
	s.Claims.recent.put(held, time.Now())
	response, err := s.send(ctx, c)
	if err != nil {
		s.resolveFailed(ctx, w, c, held, err)
		return
	}
	if err := s.Claims.record(ctx, held, claimDone, response); err != nil {
		s.Log.Warn("answer not kept", zap.String("Service", c.service), zap.Error(err))
	}
	s.writeResponse(w, response)
}

// resolveFailed releases the claim of a call that certainly did not run. Any other outcome is recorded as unknown.
func (s *Server) resolveFailed(ctx context.Context, w http.ResponseWriter, c *serviceCall, held *claim, err error) {
	f := c.failure(err)
	if f.run == runStatusNotRun {
		s.Claims.release(ctx, held)
	} else if err := s.Claims.record(ctx, held, claimUnknown, service.Response{}); err != nil {
		s.Log.Warn("fate not kept", zap.String("Service", c.service), zap.Error(err))
	}
	s.writeError(w, f)
}

// respondToRepeat responds to a call whose idempotency key was already used.
func (s *Server) respondToRepeat(w http.ResponseWriter, hash string, current claimRecord) {
	if current.RequestHash != hash {
		s.writeError(w, failure{
			status: http.StatusUnprocessableEntity, code: codeKeyReused,
			message: "the idempotency key was used for another request", run: runStatusNotRun,
		})
		return
	}
	switch {
	case current.State == claimClaimed || current.State == claimReleased:
		s.writeError(w, failure{
			status: http.StatusConflict, code: codeInProgress,
			message: "the same request is in progress or its fate is unknown", run: runStatusMaybeRun, retryAfter: retryAfter,
		})
	case current.State == claimUnknown:
		s.writeError(w, failure{
			status: http.StatusConflict, code: codeUnknownOutcome,
			message: "the same request was sent and no answer came", run: runStatusMaybeRun,
		})
	case current.BodyDropped:
		s.writeError(w, failure{
			status: http.StatusConflict, code: codeResponseNotStored,
			message: "the same request ran; its answer was too large to be kept", run: runStatusRan,
		})
	default:
		s.Totals.Replayed.Add(1)
		w.Header().Set(headerReplayed, "true")
		s.writeResponse(w, service.Response{Status: current.Status, Header: current.Header, Body: current.Body})
	}
}

func claimUnavailable() failure {
	return failure{
		status: http.StatusServiceUnavailable, code: codeClaimUnavailable,
		message: "the idempotency key could not be claimed", run: runStatusNotRun, retryAfter: retryAfter,
	}
}
