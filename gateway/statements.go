package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/routing"
)

// Statements counts the backend servers by what they state.
func (h *Host) Statements() routing.StatementCounts { return h.router.CountStatements(h.Now()) }

// RecordLeaving records that a backend server stated in its response to a request that it is leaving.
func (d *Dispatcher) RecordLeaving(now time.Time, incarnation model.BackendIncarnation, id string) {
	if d.host.recordLeaving(now, incarnation, id) {
		d.host.post(func(time.Time) {}) // the next step applies it to the view
	}
}

// recordLeaving records that a backend server stated in a response that it is leaving, and reports whether that is news. The
// request is empty if the response was one to this host as the owner.
func (h *Host) recordLeaving(now time.Time, incarnation model.BackendIncarnation, request string) bool {
	news := h.router.RecordLeaving(now, incarnation.ID, incarnation.Born)
	if news {
		h.Log.Info("leaving stated", zap.String("Backend", incarnation.ID), zap.Int64("Born", incarnation.Born), zap.String("Request", request))
	}
	return news
}

// RecordBackOff records that a backend server stated in its response to a request that it wants no requests of this host for some
// time.
func (d *Dispatcher) RecordBackOff(now time.Time, incarnation model.BackendIncarnation, id string, wait time.Duration) {
	d.host.recordBackOff(now, incarnation, id, wait)
}

// recordBackOff records a back-off, see RecordBackOff and recordLeaving.
func (h *Host) recordBackOff(now time.Time, incarnation model.BackendIncarnation, request string, wait time.Duration) {
	if until, news := h.router.RecordBackOff(now, incarnation.ID, incarnation.Born, wait); news {
		h.Log.Info("back-off stated", zap.String("Backend", incarnation.ID), zap.Int64("Born", incarnation.Born), zap.String("Request", request),
			zap.Duration("Stated", wait), zap.Duration("For", until.Sub(now)))
	}
}

// backOffError is the error of a call for which the backend server stated for how long it wants no further ones.
type backOffError interface {
	error
	BackOff() time.Duration
}

// recordControlError records the back-off that a backend server stated in its response to a report or an order.
func (h *Host) recordControlError(now time.Time, incarnation model.BackendIncarnation, err error) {
	var stated backOffError
	if errors.As(err, &stated) {
		h.recordBackOff(now, incarnation, "", stated.BackOff())
	}
}

// BackOffWait returns the time until the first of the backend servers that could serve a request wants requests of this host again,
// 0 if one of them wants requests now.
func (d *Dispatcher) BackOffWait(now time.Time, r RoutedRequest) time.Duration {
	return d.host.router.BackOffWait(now, modelTargetOf(r), r.Service)
}

// Withheld names the backend servers from which their own statements keep a request now, with the statements and their ages.
func (d *Dispatcher) Withheld(now time.Time, r RoutedRequest) (withheld []string) {
	for _, s := range d.host.router.Withheld(now, modelTargetOf(r), r.Service) {
		withheld = append(withheld, s.String())
	}
	return withheld
}

// modelTargetOf returns the target of a request, one without a model if it is for a plain service.
func modelTargetOf(r RoutedRequest) routing.Target {
	if r.Model == "" {
		return routing.Target{Software: r.Software}
	}
	return targetOf(r)
}

// RecordInvalidStatement logs, once for each backend server and header, a statement that could not be read.
func (d *Dispatcher) RecordInvalidStatement(_ time.Time, backend, header, id string, err error) {
	if _, logged := d.invalidStatements.LoadOrStore(backend+" "+header, true); !logged {
		d.host.Log.Warn("statement not read", zap.String("Backend", backend), zap.String("Header", header), zap.String("Request", id), zap.Error(err))
	}
}

// applyDepartures applies to the view that backend servers have stated that they are leaving. From then on they count as if the
// platform's list reported them as draining.
func (h *Host) applyDepartures(now time.Time) {
	for _, s := range h.router.Departures() {
		if !h.view.recordLeaving(now, s.Backend, s.Born) {
			continue
		}
		h.viewChanged = true
		h.Log.Info("backend server leaving", zap.String("Backend", s.Backend), zap.Int64("Born", s.Born), zap.String("StatedTo", s.StatedTo), zap.Duration("StatedFor", now.Sub(s.LeavingAt)))
	}
}

// mergeStatements merges what other hosts have been told by backend servers, and retains the changes for the hosts that follow
// this one.
func (h *Host) mergeStatements(sentAt time.Time, statements []model.BackendStatement) {
	now := h.Now()
	for _, s := range h.router.MergeStatements(now, statementsOnOwnClock(now, sentAt, statements)) {
		h.history.addStatement(s)
	}
}

// statementsOnOwnClock returns the statements of another host with their times on the clock of this host, see onOwnClock.
func statementsOnOwnClock(now, sentAt time.Time, statements []model.BackendStatement) []model.BackendStatement {
	shifted := make([]model.BackendStatement, len(statements))
	for i, s := range statements {
		if !s.At.IsZero() {
			s.At = s.At.Add(now.Sub(sentAt))
		}
		if !s.LeavingAt.IsZero() {
			s.LeavingAt = s.LeavingAt.Add(now.Sub(sentAt))
		}
		shifted[i] = s
	}
	return shifted
}
