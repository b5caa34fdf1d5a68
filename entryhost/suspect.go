package entryhost

import (
	"strconv"
	"time"

	"citronspread/gossip"
	"citronspread/model"
)

// suspectTTL is how long a suspect is retained, unless it is refused for longer.
const suspectTTL = 10 * time.Minute

// suspectFound reports a suspect: a request that was running when a backend server crashed and may have caused it.
type suspectFound struct {
	suspect model.Suspect
}

func (e suspectFound) apply(c *control, now time.Time) {
	c.metrics.suspects.Add(1)
	expiresAt := now.Add(suspectTTL)
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

// suspectKey returns the item key of one entry host's view of a fingerprint. The key includes the host's name,
// so that one host's view does not replace another's.
func suspectKey(fingerprint model.Fingerprint, host string) string {
	return strconv.FormatUint(uint64(fingerprint), 16) + "/" + host
}

// suspects returns the suspects in the views of all entry hosts. Routers merge them.
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
