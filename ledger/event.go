package ledger

import "citronspread/model"

// Event is something that a Host learns.
type Event interface{ event() }

// Tick lets time pass; the glue sends one several times a second.
type Tick struct{}

// PeersChanged gives the live entry hosts of the own zone, and incarnations known to be dead:
// their address answers as another incarnation, or their host left the host list.
type PeersChanged struct {
	Peers []model.Peer
	Dead  []model.Incarnation
}

// BackendsChanged gives every backend server of the own zone and the entry host that should own it.
// One that is missing, or Gone, has left the host list. It is not sent while the host list is unknown.
type BackendsChanged struct {
	Backends []Assignment
}

// Assignment names the entry host that should own a backend server.
type Assignment struct {
	Backend string
	Owner   string // name of an entry host of the zone
	Gone    bool   // the backend server left the host list
}

// SourcesChanged gives what the newest known configuration decides.
type SourcesChanged struct {
	Models  []ModelSources
	Records []RecordGeneration // every known record, also retired ones
}

// ModelSources is what the configuration decides for one model version.
type ModelSources struct {
	Key      model.ModelKey
	Sources  []model.Source
	Bytes    int64 // accelerator memory that one replica takes
	Adapters []string
	Lead     bool // this host leads the model in its zone, and keeps the model record up to date
}

// RecordGeneration is the newest known generation of an operators' record.
// A record that does not name a model version at that generation decides no replica of it.
type RecordGeneration struct {
	Record     string
	Generation int64
}

// StoreOutcome tells how a call to the platform's store ended.
type StoreOutcome string

// Store outcomes.
const (
	StoreApplied   StoreOutcome = "Applied"   // the write took effect
	StoreConflict  StoreOutcome = "Conflict"  // the revision did not match, Value and Revision are the current ones if known
	StoreAmbiguous StoreOutcome = "Ambiguous" // nobody knows whether the write took effect
	StoreFailed    StoreOutcome = "Failed"    // surely not done
	StoreNotFound  StoreOutcome = "NotFound"
	StoreRead      StoreOutcome = "Read"
)

// StoreAnswered answers a ReadRecord or a WriteRecord.
type StoreAnswered struct {
	Token    int64
	Key      string
	Outcome  StoreOutcome
	Value    []byte
	Revision int64
}

// RecordSeen is a record seen by a watch, a hint that saves a read.
type RecordSeen struct {
	Key      string
	Value    []byte
	Revision int64
}

// OrderOutcome tells how the sending of an order ended.
type OrderOutcome string

// Order outcomes.
const (
	OrderDone    OrderOutcome = "Done"
	OrderRefused OrderOutcome = "Refused"
	OrderFailed  OrderOutcome = "Failed"
	OrderUnsent  OrderOutcome = "Unsent" // no byte of it was written
	OrderLost    OrderOutcome = "Lost"   // the connection is closed, and no answer came
)

// OrderAnswered ends the sending of an order. Each SendOrder is answered once, with OrderLost at worst.
type OrderAnswered struct {
	OrderID string
	Outcome OrderOutcome
}

// Observed answers an ObserveEngine.
type Observed struct {
	Token       int64
	Backend     string
	Observation model.Observation
	Failed      bool
}

// UnsentAnswered answers an AskUnsent. Nobody answers it when the issuer can't be reached.
type UnsentAnswered struct {
	OrderID     string
	Issuer      model.Incarnation
	WillNotSend bool
}

// UnsentAsked is another host's question whether an order may still reach an engine.
type UnsentAsked struct {
	OrderID string
	Token   int64
	From    model.Incarnation
}

// LoadWanted asks for a replica on an owned backend server.
type LoadWanted struct {
	Key      model.ModelKey
	Backend  string
	Adapters []string
}

// UnloadWanted asks for the removal of a replica on an owned backend server.
type UnloadWanted struct {
	Key     model.ModelKey
	Backend string
}

// ReplicaUsed gives how many requests the routers have running on a replica of an owned backend server.
// It is for engines that don't list it in their observation. Once told, it is told again every second, also when it is 0.
type ReplicaUsed struct {
	Backend string
	Key     model.ModelKey
	Running int
}

// StandingWanted gives the model versions that a backend server should hold standing reservations for.
type StandingWanted struct {
	Backend string
	Keys    []model.ModelKey
}

// ReleaseAll asks for a hand-over of every owned backend server, because a planned stop has begun.
type ReleaseAll struct{}

func (Tick) event()            {}
func (PeersChanged) event()    {}
func (BackendsChanged) event() {}
func (SourcesChanged) event()  {}
func (StoreAnswered) event()   {}
func (RecordSeen) event()      {}
func (OrderAnswered) event()   {}
func (Observed) event()        {}
func (UnsentAnswered) event()  {}
func (UnsentAsked) event()     {}
func (LoadWanted) event()      {}
func (UnloadWanted) event()    {}
func (StandingWanted) event()  {}
func (ReplicaUsed) event()     {}
func (ReleaseAll) event()      {}
