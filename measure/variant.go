package measure

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"citronspread/entryhost"
	"citronspread/fleet"
	"citronspread/routing"
	"citronspread/settings"
	"citronspread/yamlfile"
)

// defaultVariant returns the variant with the default settings and policies.
func defaultVariant(l fleet.Layout) Variant {
	defaults := settings.Defaults(l.Deployment)
	policy := routing.DefaultPolicy()
	return Variant{
		Name:                 "default",
		MinKeepAlive:         defaults.KeepAlive.Shortest,
		MaxKeepAlive:         defaults.KeepAlive.Longest,
		FreeLoads:            defaults.KeepAlive.FreeLoads,
		StandingReservations: l.StandingReservations,
		Picker:               pickLatency,
		LongCapShare:         policy.LongCapShare,
		LongFloorShare:       policy.LongFloorShare,
		MaxMoves:             policy.MaxMoves,
	}
}

// readVariant reads a variant. Fields that are not given have the values of defaultVariant.
func readVariant(m *yamlfile.Mapping, l fleet.Layout) Variant {
	v := defaultVariant(l)
	v.Name = m.Name("Name")
	v.MinKeepAlive = m.DurationOr("ShortestKeepAlive", v.MinKeepAlive, anyDuration)
	v.MaxKeepAlive = m.DurationOr("LongestKeepAlive", v.MaxKeepAlive, anyDuration)
	v.FreeLoads = int(m.IntOr("FreeLoads", int64(v.FreeLoads), yamlfile.IntRange{High: 16}))
	v.StandingReservations = int(m.IntOr("StandingReservations", int64(v.StandingReservations), yamlfile.IntRange{High: 16}))
	v.Picker = m.OneOfOr("Picker", v.Picker, pickLatency, pickLeastOutstanding, pickRandom, pickCredit)
	v.LongCapShare = m.FloatOr("LongCapShare", v.LongCapShare, shareRange)
	v.LongFloorShare = m.FloatOr("LongFloorShare", v.LongFloorShare, shareRange)
	v.MaxMoves = int(m.IntOr("MaxMoves", int64(v.MaxMoves), countRange))
	v.EqualPriorities = m.OneOfOr("EqualPriorities", "No", "Yes", "No") == "Yes"
	m.ReportUnknownKeys()
	if v.MinKeepAlive > v.MaxKeepAlive {
		m.AddProblem("ShortestKeepAlive", "at most LongestKeepAlive")
	}
	return v
}

// apply writes the variant's settings to those of an entry host.
func (v Variant) apply(s *settings.Settings) {
	s.KeepAlive.Shortest = v.MinKeepAlive
	s.KeepAlive.Longest = v.MaxKeepAlive
	s.KeepAlive.FreeLoads = v.FreeLoads
	s.StandingReservations = v.StandingReservations
}

// runEntryHost runs an entry host with the variant's policies.
func (v Variant) runEntryHost(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
	host := entryhost.FromSettings(s, logger)
	host.Traffic.Picker = v.picker()
	host.Traffic.Policy.LongCapShare = v.LongCapShare
	host.Traffic.Policy.LongFloorShare = v.LongFloorShare
	host.Traffic.Policy.MaxMoves = v.MaxMoves
	return host.Run(ctx)
}

func (v Variant) picker() routing.Picker {
	switch v.Picker {
	case pickLeastOutstanding:
		return routing.LeastPicker{}
	case pickRandom:
		return routing.RandomPicker{}
	case pickCredit:
		return routing.CreditPicker{}
	}
	return routing.LatencyPicker{}
}

// classes returns the plan's classes with the priorities of the variant.
func (v Variant) classes(p Plan) []Class {
	const onePriority = 50
	all := slices.Clone(p.Classes)
	for i := range all {
		if v.EqualPriorities {
			all[i].Priority = onePriority
		}
	}
	return all
}
