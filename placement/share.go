package placement

import (
	"slices"
	"strings"
)

// ZoneDemand is what the permit holder of a zone last said of its loads from the weight store.
type ZoneDemand struct {
	Zone    string
	InUse   int
	Waiting int
}

// Share returns how many parallel loads a zone may run. Every zone has an equal base; the rest, and what other
// zones that reported do not use of their base, goes to the zones that wait. A zone without a report keeps its base.
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
	return max(1, base+shareOf(spare, waiting, self))
}

// shareOf divides spare permits evenly among the waiting zones, the first ones getting the odd ones.
func shareOf(spare int, waiting []string, self string) int {
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
