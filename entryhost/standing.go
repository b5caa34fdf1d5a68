package entryhost

import (
	"time"

	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
)

// updateStanding tells the ledger which model versions to hold standing reservations for.
func (c *control) updateStanding(now time.Time) {
	if c.policy.StandingReservations == 0 {
		return
	}
	for _, o := range c.ledger.Owned() {
		var keys []model.ModelKey
		if len(c.owner.get(o.Record.Backend).wants) == 0 {
			keys = c.standingKeys(o.Record.Backend)
		}
		c.step(now, ledger.StandingWanted{Backend: o.Record.Backend, Keys: keys})
	}
}

// standingKeys returns the model versions of a backend server's service that rank first on it.
func (c *control) standingKeys(backend string) []model.ModelKey {
	host, _ := c.hosts.find(backend)
	peers := make([]model.Peer, 0)
	for _, name := range c.hosts.backendNames(c.self.Zone) {
		if other, _ := c.hosts.find(name); other.Service == host.Service {
			peers = append(peers, model.Peer{Name: name})
		}
	}
	var keys []model.ModelKey
	for _, m := range c.configuration.models {
		if m.service != host.Service || m.declaration.Replicas < len(c.zones()) {
			continue
		}
		first, _ := membership.Lead(peers, m.declaration.Key.String())
		if first.Name == backend && len(keys) < c.policy.StandingReservations {
			keys = append(keys, m.declaration.Key)
		}
	}
	return keys
}
