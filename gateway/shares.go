package gateway

import (
	"errors"
	"math"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"citronspread/fairshare"
	"citronspread/routing"
)

// shownCounters bounds the workspaces whose counters the metrics show.
const shownCounters = 16

// hasWorkspaces reports whether the desired state has workspaces.
func (h *Host) hasWorkspaces() bool {
	table := h.routes.Load()
	return table != nil && len(table.state.Workspaces) > 0
}

// reportServed returns the report of what this host has served to workspaces for a call to a relay, nil without workspaces.
func (h *Host) reportServed(relay string) *fairshare.Report {
	if !h.hasWorkspaces() {
		return nil
	}
	return h.router.ReportServed(h.Now(), relay)
}

// servedReported applies the relay's reply to a report. A relay of a build without fair shares does not reply to it.
func (h *Host) servedReported(report *fairshare.Report, totals *fairshare.Totals) {
	if report != nil && totals != nil {
		h.router.ServedReported(h.Now(), totals)
	}
}

// receiveServed receives the report of a host that follows this one.
func (h *Host) receiveServed(report *fairshare.Report) {
	if report != nil {
		h.router.ReceiveServed(h.Now(), report)
	}
}

// servedTotals returns the reply to a report that was received.
func (h *Host) servedTotals(report *fairshare.Report) *fairshare.Totals {
	if report == nil {
		return nil
	}
	return h.router.ServedTotals(h.Now(), report)
}

// WorkspaceCounters returns the counters of the workspaces that were served most in the zone, by name.
func (h *Host) WorkspaceCounters() map[string]float64 {
	counters := make(map[string]float64)
	for _, share := range h.router.Shares(h.Now(), shownCounters) {
		counters[share.Workspace] = share.Service
	}
	return counters
}

// promptTokens returns the length of the prompt, 0 if the caller states none.
func promptTokens(r RoutedRequest) int { return max(0, r.Tokens-r.MaxTokens) }

// logTurnRefused logs what decided on a request of a workspace that was queued and refused.
func (d *Dispatcher) logTurnRefused(r RoutedRequest, err error) {
	var refused *routing.RefusedError
	if errors.As(err, &refused) && refused.Turn != nil {
		d.host.Log.Info("turn refused", zap.String("Request", r.ID), zap.String("Model", r.Model), zap.String("Reason", string(refused.Reason)),
			turnFields(refused.Turn), zap.Int("Ahead", refused.Turn.Ahead), zap.Duration("RetryAfter", refused.RetryAfter))
	}
}

// turnFields returns the fields of a log line for what decided on a turn, none for a request without a workspace.
func turnFields(turn *routing.Turn) zap.Field {
	if turn == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("Workspace", turn.Workspace)
		e.AddFloat64("Counter", math.Round(turn.Counter))
		e.AddFloat64("LowestCounter", math.Round(turn.Lowest))
		return nil
	}))
}
