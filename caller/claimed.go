package caller

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"citronspread/service"
)

const headerReplayed = "X-Citronspread-Replayed"

// callClaimed calls a service under an idempotency key: the claim comes before the call.
func (s *Server) callClaimed(ctx context.Context, w http.ResponseWriter, c *serviceCall, key string) {
	if s.Claims == nil {
		s.writeError(w, noClaim())
		return
	}
	hash := requestHash(c.call)
	held, current, err := s.Claims.takeOrWait(ctx, claimKey(c.service, key), hash)
	switch {
	case current != nil:
		s.repeatClaimed(w, hash, *current)
		return
	case err != nil:
		s.Log.Warn("claim unavailable", zap.String("Service", c.service), zap.Error(err))
		s.writeError(w, noClaim())
		return
	}
	s.Claims.recent.remember(held, time.Now())
	answer, err := s.send(ctx, c)
	if err != nil {
		s.settleFailed(ctx, w, c, held, err)
		return
	}
	if err := s.Claims.record(ctx, held, claimDone, answer); err != nil {
		s.Log.Warn("answer not kept", zap.String("Service", c.service), zap.Error(err))
	}
	s.writeAnswer(w, answer)
}

// settleFailed releases the claim of a call that surely did not run, and marks any other.
func (s *Server) settleFailed(ctx context.Context, w http.ResponseWriter, c *serviceCall, held *claim, err error) {
	f := c.failure(err)
	if f.run == runNot {
		s.Claims.release(ctx, held)
	} else if err := s.Claims.record(ctx, held, claimUnknown, service.Answer{}); err != nil {
		s.Log.Warn("fate not kept", zap.String("Service", c.service), zap.Error(err))
	}
	s.writeError(w, f)
}

// repeatClaimed answers a call whose key was used before.
func (s *Server) repeatClaimed(w http.ResponseWriter, hash string, current claimWire) {
	if current.RequestHash != hash {
		s.writeError(w, failure{
			status: http.StatusUnprocessableEntity, code: codeKeyReused,
			message: "the idempotency key was used for another request", run: runNot,
		})
		return
	}
	switch {
	case current.State == claimClaimed || current.State == claimReleased:
		s.writeError(w, failure{
			status: http.StatusConflict, code: codeInProgress,
			message: "the same request is in progress or its fate is unknown", run: runMaybe, retryAfter: retryAfter,
		})
	case current.State == claimUnknown:
		s.writeError(w, failure{
			status: http.StatusConflict, code: codeUnknownFate,
			message: "the same request was sent and no answer came", run: runMaybe,
		})
	case current.BodyDropped:
		s.writeError(w, failure{
			status: http.StatusConflict, code: codeAnswerDropped,
			message: "the same request ran; its answer was too large to be kept", run: runDone,
		})
	default:
		s.Totals.Replayed.Add(1)
		w.Header().Set(headerReplayed, "true")
		s.writeAnswer(w, service.Answer{Status: current.Status, Header: current.Header, Body: current.Body})
	}
}

func noClaim() failure {
	return failure{
		status: http.StatusServiceUnavailable, code: codeNoClaim,
		message: "the idempotency key could not be claimed", run: runNot, retryAfter: retryAfter,
	}
}
