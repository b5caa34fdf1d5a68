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

// Event is a failure from which the system recovers. Its value is its name in the table.
type Event string

const (
	HostLost             Event = "an entry host lost"
	ZoneRestarted        Event = "a zone's entry hosts lost and back"
	StoreBack            Event = "the store back after an outage"
	AllRestarted         Event = "all entry hosts restarted at once"
	recoveryPollInterval       = 100 * time.Millisecond
	recoveryTimeout            = 60 * time.Second
)

// Recovery is the cost of the recovery from an event.
type Recovery struct {
	Event       Event
	Hosts       int
	Backends    int
	Duration    time.Duration // time until the live hosts own all backend servers and have all records
	StoreReads  int64         // from before the event until the end of Duration
	StoreWrites int64         // from before the event until the end of Duration
}

// RecoveryTable returns the recoveries as a Markdown table.
func RecoveryTable(recoveries []Recovery) string {
	var b strings.Builder
	b.WriteString("| event | entry hosts | backend servers | until steady s | store reads | store writes |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range recoveries {
		fmt.Fprintf(&b, "| %s | %d | %d | %.1f | %d | %d |\n",
			r.Event, r.Hosts, r.Backends, r.Duration.Seconds(), r.StoreReads, r.StoreWrites)
	}
	return b.String()
}

// isSteady reports whether the hosts together own all the backend servers and each of them has all records.
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

// waitUntilSteady waits until the hosts are steady and returns how long it took.
func waitUntilSteady(ctx context.Context, hosts []settings.Settings, backends []string, records int) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for !isSteady(ctx, hosts, backends, records) {
		select {
		case <-ctx.Done():
			return time.Since(start), errors.Newf("slopes: hosts without all backend servers or all %d records after %s", records, recoveryTimeout)
		case <-time.After(recoveryPollInterval):
		}
	}
	return time.Since(start), nil
}
