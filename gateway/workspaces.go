package gateway

import (
	"go.uber.org/zap"

	"citronspread/workspace"
)

// WorkspaceCount returns the numbers of workspaces and of their keys in the desired state in force.
func (h *Host) WorkspaceCount() (workspaces, keys int) {
	table := h.routes.Load()
	if table == nil {
		return 0, 0
	}
	return len(table.workspaces.Workspaces()), table.workspaces.KeyCount()
}

// AddWorkspaceGauges adds the gauges of workspaces and keys to the metrics.
func (h *Host) AddWorkspaceGauges() {
	h.Metrics.AddGauge("citronspread_workspaces", "Workspaces of the desired state in force.", func() float64 {
		workspaces, _ := h.WorkspaceCount()
		return float64(workspaces)
	})
	h.Metrics.AddGauge("citronspread_workspace_keys", "Keys of all workspaces of the desired state in force.", func() float64 {
		_, keys := h.WorkspaceCount()
		return float64(keys)
	})
}

// logWorkspaces logs how the workspaces of a desired state differ from those of the one before it, which is nil for the
// first one.
func (h *Host) logWorkspaces(before, after *routeTable) {
	var earlier *workspace.Directory
	if before != nil {
		earlier = before.workspaces
	}
	change := workspace.Compare(earlier, after.workspaces)
	if change.IsEmpty() {
		return
	}
	h.Log.Info("workspaces changed", zap.Int64("Version", after.state.Version), zap.Int("Added", change.Added), zap.Int("Removed", change.Removed),
		zap.Int("Modified", change.Modified), zap.Int("KeysAdded", change.KeysAdded), zap.Int("KeysRemoved", change.KeysRemoved),
		zap.Int("Workspaces", len(after.workspaces.Workspaces())), zap.Int("Keys", after.workspaces.KeyCount()))
}
