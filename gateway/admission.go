package gateway

import "citronspread/model"

// Admission is what the desired state in force says about a request. All of it comes from the same version.
type Admission struct {
	Known     bool // a desired state is in force and up to date; without one no other field is set
	Version   int64
	Found     bool // a route matches
	Route     model.Route
	Service   string          // that serves the request
	NeedsKeys bool            // the desired state has workspaces
	Workspace model.Workspace // of the caller's key, without its keys; zero if the key is unknown or missing
}

// IsRefused reports whether the request must not run, because its route needs a key and the caller has none.
func (a Admission) IsRefused() bool {
	return a.NeedsKeys && a.Workspace.Name == "" && !a.Route.Anonymous
}

// Priority returns the priority of the request, 0 for the most urgent.
func (a Admission) Priority() int {
	if a.Workspace.Priority != nil {
		return *a.Workspace.Priority
	}
	return a.Route.Priority
}

// Admit returns what the desired state in force says about a request with this ID and the key of a workspace, which is
// empty if the caller has none.
//
// A host that has not caught up with the store yet knows no desired state: what it has read may be seconds old, with keys
// that have been removed since and without those that were added.
func (d *Dispatcher) Admit(host, path, id, key string) Admission {
	table := d.host.routes.Load()
	if table == nil || !d.host.caughtUp.Load() {
		return Admission{}
	}
	a := Admission{Known: true, Version: table.state.Version, NeedsKeys: !table.workspaces.IsEmpty()}
	if a.Route, a.Found = table.find(host, path); a.Found {
		a.Service = serviceOf(a.Route, id)
	}
	a.Workspace, _ = table.workspaces.Find(key)
	return a
}
