package configcheck

import (
	"fmt"
	"net"

	"citronspread/model"
	"citronspread/platform"
)

// lowestPriority is the last priority that has a rank of its own. Those after it rank alike.
const lowestPriority = 9

const reasonLowPriority = "from 10 on all requests rank alike, and backend servers get 9"

// place is what a request must match to be on a route.
type place struct {
	host   string
	prefix string
}

func (c *checker) checkRoutes() {
	first := make(map[place]int)
	for i, r := range c.state.Routes {
		e := c.route(i)
		if earlier, taken := first[place{r.Host, r.Prefix}]; taken {
			c.add(Warning, e, platform.FieldPrefix, fmt.Sprintf("never matches, hidden by %v with the same %s and %s", c.route(earlier), platform.FieldHostname, platform.FieldPrefix))
		} else {
			first[place{r.Host, r.Prefix}] = i
		}
		c.checkHostname(e, r)
		c.checkShares(e, r)
		c.checkTimes(e, r)
		c.checkRoutePriority(e, r)
		c.checkAttempts(e, r)
		if r.Anonymous && len(c.state.Workspaces) == 0 {
			c.add(Note, e, platform.FieldAnonymous, "has no effect without workspaces")
		}
	}
}

// route returns the entry of the route at a position.
func (c *checker) route(position int) Entry {
	return c.secrets.entry(routePath(position), c.state.Routes[position].Name)
}

func routePath(position int) string { return fmt.Sprintf("%s[%d]", platform.FieldRoutes, position) }

func (c *checker) checkHostname(e Entry, r model.Route) {
	_, _, err := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		c.add(Warning, e, platform.FieldHostname, "missing or empty, so only requests that name no host match")
	case err == nil:
		c.add(Warning, e, platform.FieldHostname, "never matches, because requests are matched by their hostname without the port")
	}
}

// checkShares checks the services of a route. If the weights are all 0, the last service is chosen.
func (c *checker) checkShares(e Entry, r model.Route) {
	field := platform.FieldService
	if len(r.Shares) > 1 || r.Shares[0].Weight != 1 {
		field = platform.FieldTrafficSplit
	}
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	for i, share := range r.Shares {
		service := c.secrets.entry(fmt.Sprintf("service %d", i), share.Service)
		if _, defined := c.state.Services[share.Service]; !defined {
			c.add(Warning, e, field, fmt.Sprintf("%v is not defined", service))
		}
		switch {
		case share.Weight < 0:
			c.add(Warning, e, field, fmt.Sprintf("%v has a negative weight", service))
		case share.Weight == 0 && total == 0 && i == len(r.Shares)-1:
			c.add(Warning, e, field, fmt.Sprintf("%v gets all requests, because no weight is above 0", service))
		case share.Weight == 0:
			c.add(Warning, e, field, fmt.Sprintf("%v has the weight 0 and gets no requests", service))
		}
	}
}

func (c *checker) checkTimes(e Entry, r model.Route) {
	if r.Timeout < 0 {
		c.add(Warning, e, platform.FieldTimeout, "not a time above 0, so the default of hosts applies")
	}
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		c.add(Warning, e, platform.FieldLatencyTarget, "longer than "+platform.FieldTimeout)
	}
	if r.Timeout > 0 && r.GapTarget > r.Timeout {
		c.add(Warning, e, platform.FieldGapTarget, "longer than "+platform.FieldTimeout)
	}
}

func (c *checker) checkRoutePriority(e Entry, r model.Route) {
	switch {
	case r.Priority < 0:
		c.add(Warning, e, platform.FieldPriority, "below 0, so its requests go before all others, and backend servers get no valid priority")
	case r.Priority > lowestPriority:
		c.add(Note, e, platform.FieldPriority, reasonLowPriority)
	}
}

func (c *checker) checkAttempts(e Entry, r model.Route) {
	isResumable := r.Kind == model.RouteStream && r.Resumable
	if r.Resumable && !isResumable {
		c.add(Note, e, platform.FieldResumable, "has no effect, because the route has no streams")
	}
	if r.MaxAttempts > 1 && r.Kind != model.RouteIdempotent && !isResumable {
		c.add(Note, e, platform.FieldMaxAttempts, "has no effect, because its requests run at most once")
	}
}
