package entryhost

import (
	"time"

	"citronspread/ledger"
	"citronspread/model"
)

// ControlState is the dump of an entry host's control state for operators.
type ControlState struct {
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

// RecordState describes an active record.
type RecordState struct {
	Name          string
	SchemaVersion int
	Generation    int64
	Retired       bool
	WrittenAt     time.Time
	AppliedAt     time.Time
}

// InvalidRecord describes a newer version of a record that was not applied because it is not valid.
type InvalidRecord struct {
	Name       string
	Generation int64
	Problem    string
}

// PermitState counts the load permits that this host manages for its zone.
type PermitState struct {
	InUse    int
	Waiting  int
	Parallel int // maximum number in use
}

// stateRequested requests a dump of the control state.
type stateRequested struct {
	reply chan ControlState
}

func (e stateRequested) apply(c *control, now time.Time) { e.reply <- c.state(now) }

func (c *control) state(now time.Time) ControlState {
	state := ControlState{
		TakenAt:      now,
		Self:         c.self,
		Peers:        c.members.Live(now),
		Dead:         c.members.Stopped(),
		HostsReadAt:  c.hosts.readAt,
		HostRevision: c.hosts.revision,
		Owned:        c.ledger.Owned(),
		Replicas:     c.ledger.Replicas(),
		Backends:     c.statuses().sorted,
		Suspects:     c.suspects(),
		Permits:      PermitState{InUse: c.permits.InUse(), Waiting: c.permits.Waiting(), Parallel: c.permits.MaxParallel},
		Items:        c.table.Len(),
		Violations:   c.metrics.violations.Load(),
	}
	for _, active := range c.configuration.records {
		state.Records = append(state.Records, RecordState{
			Name:          active.Record.Name,
			SchemaVersion: active.Record.SchemaVersion,
			Generation:    active.Record.Generation,
			Retired:       active.Record.Retired,
			WrittenAt:     active.Record.WrittenAt,
			AppliedAt:     active.AppliedAt,
		})
	}
	for _, invalid := range c.configuration.invalid {
		state.Invalid = append(state.Invalid, InvalidRecord(invalid))
	}
	return state
}
