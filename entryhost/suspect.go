package entryhost

import (
	"strconv"
	"time"

	"citronspread/gossip"
	"citronspread/model"
)

// suspectTime is how long a suspect is remembered.
const suspectTime = 10 * time.Minute

// suspectFound tells of a request that was running when a backend server died.
type suspectFound struct {
	suspect model.Suspect
}

func (e suspectFound) apply(c *control, now time.Time) {
	c.metrics.suspects.Add(1)
	expiresAt := now.Add(suspectTime)
	if e.suspect.RefuseUntil.After(expiresAt) {
		expiresAt = e.suspect.RefuseUntil
	}
	c.put(now, gossip.Item{
		ID:        gossip.ItemID{Kind: gossip.KindSuspect, Key: suspectKey(e.suspect.Fingerprint, c.self.Name)},
		Rank:      gossip.Rank{Major: now.UnixMicro()},
		Value:     c.encode(e.suspect),
		ExpiresAt: expiresAt,
	})
}

// suspectKey names what one entry host saw of a fingerprint, so that no host's view replaces another's.
func suspectKey(fingerprint model.Fingerprint, host string) string {
	return strconv.FormatUint(uint64(fingerprint), 16) + "/" + host
}

// suspects returns the views of all entry hosts. Routers merge them.
func (c *control) suspects() []model.Suspect {
	var suspects []model.Suspect
	for _, item := range c.table.Items(gossip.KindSuspect) {
		var s model.Suspect
		if err := unmarshal(item.Value, &s); err == nil {
			suspects = append(suspects, s)
		}
	}
	return suspects
}
