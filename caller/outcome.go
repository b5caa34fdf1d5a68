package caller

import (
	"context"
	"errors"
	"net/http"

	"citronspread/engine"
	"citronspread/httponce"
	"citronspread/routing"
)

// routingOutcome classifies the error of an attempt for the router.
func routingOutcome(ctx context.Context, err error) routing.Outcome {
	var unsent *httponce.UnsentError
	var notRun *engine.NotRunError
	var incomplete *engine.IncompleteResponseError
	var status *engine.RequestStatusError
	switch {
	case err == nil:
		return routing.OutcomeComplete
	case errors.As(err, &unsent):
		if ctx.Err() != nil {
			return routing.OutcomeAbandoned
		}
		return routing.OutcomeUnreachable
	case errors.As(err, &notRun):
		if notRun.Status == http.StatusTooManyRequests {
			return routing.OutcomeOverloaded
		}
		return routing.OutcomeNotLoaded
	case errors.As(err, &incomplete) && incomplete.ConnectionLost:
		return routing.OutcomeConnectionLost
	case ctx.Err() != nil:
		return routing.OutcomeAbandoned
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return routing.OutcomeRejected
	default:
		return routing.OutcomeBad
	}
}

// failureOf returns the error response for the last error of a completion.
func failureOf(c *completion, err error) failure {
	run := runStatusNotRun
	if c.ran {
		run = runStatusMaybeRun
	}
	var refused *routing.RefusedError
	var status *engine.RequestStatusError
	switch {
	case errors.As(err, &refused):
		return refusal(refused, run)
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError && status.Status >= http.StatusBadRequest:
		return failure{status: status.Status, code: codeRejected, message: status.Message, run: run}
	case certainlyNotRun(err):
		return failure{status: http.StatusServiceUnavailable, code: codeUnreachable, message: "no backend server took the request", run: run, retryAfter: retryAfter}
	case errors.Is(err, context.DeadlineExceeded):
		return failure{status: http.StatusGatewayTimeout, code: codeDeadline, message: "the deadline passed", run: run}
	default:
		return failure{status: http.StatusBadGateway, code: codeIncomplete, message: "the answer could not be completed", run: run, retryAfter: retryAfter}
	}
}

// refusal returns the error response for a request that the router refused.
func refusal(refused *routing.RefusedError, run string) failure {
	f := failure{
		status:     http.StatusServiceUnavailable,
		code:       string(refused.Reason),
		message:    "the request was refused: " + string(refused.Reason),
		run:        run,
		retryAfter: refused.RetryAfter,
	}
	switch refused.Reason {
	case routing.ReasonSuspect:
		f.status = http.StatusUnprocessableEntity
	case routing.ReasonUnknown:
		f.status = http.StatusNotFound
	}
	return f
}
