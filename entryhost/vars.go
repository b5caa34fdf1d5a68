package entryhost

import (
	"expvar"
	"time"

	"citronspread/peer"
)

// vars returns the host's counters and totals as one expvar map.
func (h *Host) vars() *expvar.Map {
	vars := h.metrics.vars()
	vars.Set("BackendStatements", expvar.Func(func() any { return h.router.CountStatements(time.Now()) }))
	vars.Set("PeerBytesReceived", expvar.Func(func() any { return h.peerTraffic.Received.Load() }))
	vars.Set("PeerBytesSent", expvar.Func(func() any { return h.peerTraffic.Sent.Load() }))
	vars.Set("PeerCalls", expvar.Func(func() any { return h.peerTraffic.Calls.Load() }))
	vars.Set("RetryBudget", expvar.Func(func() any { return h.router.Budget.Totals() }))
	vars.Set("SuspectTotals", expvar.Func(func() any { return h.router.Suspects.Totals() }))
	vars.Set("Unauthorized", expvar.Func(func() any { return h.callers.State().Unauthorized }))
	vars.Set("Workspaces", expvar.Func(func() any { return h.callers.State().Workspaces }))
	vars.Set("WorkspaceKeys", expvar.Func(func() any { return h.callers.State().WorkspaceKeys }))
	return vars
}

var _ peer.Handler = (*peerHandler)(nil)
