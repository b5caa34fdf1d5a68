package entryhost

import (
	"time"

	"citronspread/ledger"
	"citronspread/model"
)

// State is the dump of an entry host's control state.
type State struct {
	TakenAt      time.Time
	Self         model.Peer
	Peers        []model.Peer
	Dead         []model.Incarnation
	HostsReadAt  time.Time
	HostRevision int64
	Records      []RecordState
	Invalid      []InvalidRecord
	Owned        []ledger.OwnedBackend
	Replicas     []ledger.LoadedReplica
	Backends     []model.BackendStatus
	Suspects     []model.Suspect
	Permits      PermitState
	Items        int
	Violations   int64
}

// RecordState is a record in force.
type RecordState struct {
	Name          string
	SchemaVersion int
	Generation    int64
	Retired       bool
	WrittenAt     time.Time
	AppliedAt     time.Time
}

// InvalidRecord is a newer version of a record that is not in force.
type InvalidRecord struct {
	Name       string
	Generation int64
	Problem    string
}

// PermitState shows the permits that this host holds for its zone.
type PermitState struct {
	InUse    int
	Waiting  int
	Parallel int
}

// stateAsked asks the control thread for a dump.
type stateAsked struct {
	reply chan State
}

func (e stateAsked) apply(c *control, now time.Time) { e.reply <- c.state(now) }

func (c *control) state(now time.Time) State {
	state := State{
		TakenAt:      now,
		Self:         c.self,
		Peers:        c.members.Live(now),
		Dead:         c.members.Dead(),
		HostsReadAt:  c.hosts.readAt,
		HostRevision: c.hosts.revision,
		Owned:        c.ledger.Owned(),
		Replicas:     c.ledger.Replicas(),
		Backends:     c.statuses().sorted,
		Suspects:     c.suspects(),
		Permits:      PermitState{InUse: c.permits.InUse(), Waiting: c.permits.Waiting(), Parallel: c.permits.Parallel},
		Items:        c.table.Len(),
		Violations:   c.metrics.violations.Load(),
	}
	for _, held := range c.configuration.records {
		state.Records = append(state.Records, RecordState{
			Name:          held.Record.Name,
			SchemaVersion: held.Record.SchemaVersion,
			Generation:    held.Record.Generation,
			Retired:       held.Record.Retired,
			WrittenAt:     held.Record.WrittenAt,
			AppliedAt:     held.AppliedAt,
		})
	}
	for _, invalid := range c.configuration.invalid {
		state.Invalid = append(state.Invalid, InvalidRecord(invalid))
	}
	return state
}
