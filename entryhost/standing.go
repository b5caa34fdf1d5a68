package entryhost

import (
	"time"

	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
)

// updateStanding sends the ledger the model versions to hold standing reservations for: memory of a backend server
// that is reserved before a load is requested. A backend server with pending loads holds none.
func (c *control) updateStanding(now time.Time) {
	if c.policy.StandingReservations == 0 {
		return
	}
	for _, o := range c.ledger.Owned() {
		var keys []model.ModelKey
		if len(c.owner.getOrCreate(o.Record.Backend).pendingLoads) == 0 {
			keys = c.standingKeys(o.Record.Backend)
		}
		c.step(now, ledger.StandingChanged{Backend: o.Record.Backend, Keys: keys})
	}
}

// standingKeys returns the model versions for which the backend server ranks first among those of its service in the
// zone, at most Policy.StandingReservations. It skips model versions with fewer replicas than there are zones.
func (c *control) standingKeys(backend string) []model.ModelKey {
	host, _ := c.hosts.find(backend)
	backends := make([]model.Peer, 0)
	for _, name := range c.hosts.backendNames(c.self.Zone) {
		if other, _ := c.hosts.find(name); other.Service == host.Service {
			backends = append(backends, model.Peer{Name: name})
		}
	}
	var keys []model.ModelKey
	for _, m := range c.configuration.models {
		if m.service != host.Service || m.declaration.Replicas < len(c.zones()) {
			continue
		}
		first, _ := membership.Leader(backends, m.declaration.Key.String())
		if first.Name == backend && len(keys) < c.policy.StandingReservations {
			keys = append(keys, m.declaration.Key)
		}
	}
	return keys
}
