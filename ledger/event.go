package ledger

import "citronspread/model"

// Event is an input of Host.Step.
type Event interface{ event() }

// Tick lets timeouts and intervals take effect. The caller of Host.Step sends it several times a second.
type Tick struct{}

// PeersChanged lists the live entry hosts of the own zone, and the incarnations that are known to have stopped
// because another incarnation responds at their address or their entry host left the host list.
type PeersChanged struct {
	Peers   []model.Peer
	Stopped []model.Incarnation
}

// BackendsChanged lists every backend server of the own zone and the entry host that should own it.
// A backend server that is missing, or Unlisted, has left the host list. The event is not sent while the host list is unknown.
type BackendsChanged struct {
	Backends []Assignment
}

// Assignment names the entry host that should own a backend server.
type Assignment struct {
	Backend  string
	Owner    string // name of an entry host of the zone
	Unlisted bool   // the backend server left the host list
}

// SourcesChanged carries the numbers of replicas that the newest known configuration decides.
type SourcesChanged struct {
	Models  []ModelSources
	Records []RecordGeneration // every known configuration record, including retired ones
}

// ModelSources holds what the configuration decides for one model version.
type ModelSources struct {
	Key      model.ModelKey
	Sources  []model.Source
	Bytes    int64 // accelerator memory of one replica
	Adapters []string
	Leader   bool // this host is the leader of the model in its zone and updates the model record
}

// RecordGeneration is the newest known generation of an operators' configuration record.
// If the record does not name a model version at that generation, it decides 0 replicas of it.
type RecordGeneration struct {
	Record     string
	Generation int64
}

// StoreOutcome is the outcome of a call to the platform's store.
type StoreOutcome string

const (
	StoreApplied   StoreOutcome = "Applied"   // the write took effect
	StoreConflict  StoreOutcome = "Conflict"  // the revision did not match; Value and Revision are the current ones, if known
	StoreAmbiguous StoreOutcome = "Ambiguous" // the write may or may not have taken effect
	StoreFailed    StoreOutcome = "Failed"    // the call certainly had no effect
	StoreNotFound  StoreOutcome = "NotFound"
	StoreRead      StoreOutcome = "Read"
)

// StoreAnswered is the result of a ReadRecord or a WriteRecord.
type StoreAnswered struct {
	Token    int64
	Key      string
	Outcome  StoreOutcome
	Value    []byte
	Revision int64
}

// RecordReceived carries a record received from a watch. It saves a read; the Host does not depend on it.
type RecordReceived struct {
	Key      string
	Value    []byte
	Revision int64
}

// OrderOutcome is the outcome of sending an order.
type OrderOutcome string

const (
	OrderDone    OrderOutcome = "Done"
	OrderRefused OrderOutcome = "Refused"
	OrderFailed  OrderOutcome = "Failed"
	OrderUnsent  OrderOutcome = "Unsent" // no byte of the order was written
	OrderLost    OrderOutcome = "Lost"   // the connection closed without a response; the order may still reach the engine
)

// OrderAnswered is the result of a SendOrder. Each SendOrder has exactly one; if no response comes, the outcome is
// OrderLost.
type OrderAnswered struct {
	OrderID string
	Outcome OrderOutcome
}

// Observed is the result of an ObserveEngine.
type Observed struct {
	Token       int64
	Backend     string
	Observation model.Observation
	Failed      bool
}

// UnsentAnswered is the result of a QueryUnsent. There is none if the issuer can't be reached.
type UnsentAnswered struct {
	OrderID     string
	Issuer      model.Incarnation
	WillNotSend bool
}

// UnsentQueried is another entry host's query whether an order of this host may still reach an engine.
// The reply is an AnswerUnsent with the same Token.
type UnsentQueried struct {
	OrderID string
	Token   int64
	From    model.Incarnation
}

// LoadRequested requests a replica on an owned backend server.
type LoadRequested struct {
	Key      model.ModelKey
	Backend  string
	Adapters []string
}

// UnloadRequested requests the removal of a replica from an owned backend server.
type UnloadRequested struct {
	Key     model.ModelKey
	Backend string
}

// UsageReported reports how many requests the routers have running on a replica of an owned backend server,
// for engines that don't list the number in their observation. Once reported, it is reported again every second, even if it is 0.
type UsageReported struct {
	Backend string
	Key     model.ModelKey
	Running int
}

// StandingChanged lists the model versions that should have a standing reservation on a backend server:
// a slot and memory recorded in advance, so that a load need not wait for the store.
type StandingChanged struct {
	Backend string
	Keys    []model.ModelKey
}

// ReleaseAll requests the handover of every owned backend server, because a graceful shutdown has begun.
type ReleaseAll struct{}

func (Tick) event()            {}
func (PeersChanged) event()    {}
func (BackendsChanged) event() {}
func (SourcesChanged) event()  {}
func (StoreAnswered) event()   {}
func (RecordReceived) event()  {}
func (OrderAnswered) event()   {}
func (Observed) event()        {}
func (UnsentAnswered) event()  {}
func (UnsentQueried) event()   {}
func (LoadRequested) event()   {}
func (UnloadRequested) event() {}
func (StandingChanged) event() {}
func (UsageReported) event()   {}
func (ReleaseAll) event()      {}
