package gateway

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"citronspread/model"
	"citronspread/workspace"
)

// routeTable finds routes and workspaces in one desired state. It is immutable and contains no key of a workspace.
type routeTable struct {
	state      model.DesiredState
	byHost     map[string][]prefixRoute // longest prefix first
	workspaces *workspace.Directory
	caps       map[string]model.UsageCap // by workspace, without those that have no limit
}

// prefixRoute is a route with the canonical form of its prefix.
type prefixRoute struct {
	model.Route
	prefix string
}

func newRouteTable(state model.DesiredState) *routeTable {
	directory := workspace.NewDirectory(state.Workspaces)
	state.Workspaces = directory.Workspaces()
	t := &routeTable{state: state, byHost: make(map[string][]prefixRoute), workspaces: directory, caps: make(map[string]model.UsageCap)}
	for _, w := range state.Workspaces {
		if w.Cap.PerSecond > 0 {
			t.caps[w.Name] = w.Cap
		}
	}
	for _, route := range state.Routes {
		t.byHost[route.Host] = append(t.byHost[route.Host], prefixRoute{Route: route, prefix: canonicalPath(route.Prefix)})
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b prefixRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return t
}

// find returns the route of the host with the longest prefix that matches the path, which has the percent-encoding of the request.
func (t *routeTable) find(host, path string) (model.Route, bool) {
	path = canonicalPath(path)
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.prefix) {
			return route.Route, true
		}
	}
	return model.Route{}, false
}

// serviceOf chooses one of the route's services by weight. Requests with the same ID always go to the same service.
func serviceOf(route model.Route, id string) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	const steps = 1 << 20
	position := total * float64(xxhash.Sum64String(id)%steps) / steps
	for _, share := range route.Shares {
		if position < share.Weight {
			return share.Service
		}
		position -= share.Weight
	}
	return route.Shares[len(route.Shares)-1].Service
}
