package placement

import (
	"slices"
	"strings"
)

// ZoneDemand is the latest report on a zone's loads from the weight store, sent by the host that grants the zone's
// permits.
type ZoneDemand struct {
	Zone    string
	InUse   int
	Waiting int
}

// Share returns how many parallel loads zone self may run. Every zone has an equal base. The remainder and the unused
// base of zones that have reported go to the zones with waiting loads. The base of a zone without a report stays
// reserved.
func Share(total int, zones []string, reports []ZoneDemand, self string) int {
	if len(zones) == 0 {
		return max(1, total)
	}
	base := total / len(zones)
	spare := total - base*len(zones)
	var waiting []string
	for _, zone := range slices.Sorted(slices.Values(zones)) {
		i := slices.IndexFunc(reports, func(d ZoneDemand) bool { return d.Zone == zone })
		if i < 0 {
			continue
		}
		spare += max(0, base-reports[i].InUse-reports[i].Waiting)
		if reports[i].InUse+reports[i].Waiting > base {
			waiting = append(waiting, zone)
		}
	}
	return max(1, base+spareShare(spare, waiting, self))
}

// spareShare divides the spare permits evenly among the waiting zones and returns the share of self. The first zones
// get one more if there is a remainder.
func spareShare(spare int, waiting []string, self string) int {
	i := slices.IndexFunc(waiting, func(zone string) bool { return strings.EqualFold(zone, self) })
	if i < 0 {
		return 0
	}
	share := spare / len(waiting)
	if i < spare%len(waiting) {
		share++
	}
	return share
}
