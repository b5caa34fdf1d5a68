package slopes

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"citronspread/fleet"
	"citronspread/settings"
)

// Event names a loss that the system recovers from.
type Event string

// Events.
const (
	HostLost      Event = "an entry host lost"
	ZoneLost      Event = "a zone's entry hosts lost and back"
	StoreBack     Event = "the store back after an outage"
	AllRestarted  Event = "all entry hosts restarted at once"
	recoveryPoll        = 100 * time.Millisecond
	recoveryLimit       = 60 * time.Second
)

// Recovery is what it took until the system was steady again.
type Recovery struct {
	Event       Event
	Hosts       int
	Backends    int
	Until       time.Duration // every backend server is owned by a live host that knows all records
	StoreReads  int64
	StoreWrites int64
}

// RecoveryTable returns the recoveries as Markdown.
func RecoveryTable(recoveries []Recovery) string {
	var b strings.Builder
	b.WriteString("| event | entry hosts | backend servers | until steady s | store reads | store writes |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range recoveries {
		fmt.Fprintf(&b, "| %s | %d | %d | %.1f | %d | %d |\n",
			r.Event, r.Hosts, r.Backends, r.Until.Seconds(), r.StoreReads, r.StoreWrites)
	}
	return b.String()
}

// isSteady reports whether the given hosts own all named backend servers and know all records.
func isSteady(ctx context.Context, hosts []settings.Settings, backends []string, records int) bool {
	var owned []string
	for _, h := range hosts {
		state, err := fleet.ReadState(ctx, h.OperatorAddress)
		if err != nil || len(state.Records) != records {
			return false
		}
		for _, o := range state.Owned {
			owned = append(owned, o.Record.Backend)
		}
	}
	slices.Sort(owned)
	return slices.Equal(owned, slices.Sorted(slices.Values(backends)))
}

// awaitSteady returns how long it took until the hosts were steady.
func awaitSteady(ctx context.Context, hosts []settings.Settings, backends []string, records int) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	for !isSteady(ctx, hosts, backends, records) {
		select {
		case <-ctx.Done():
			return time.Since(began), errors.Newf("slopes: not steady after %s", recoveryLimit)
		case <-time.After(recoveryPoll):
		}
	}
	return time.Since(began), nil
}
