package ledger

import "citronspread/model"

// Action is something that the caller of Host.Step carries out. The actions of one step may run in any order,
// except where an action says otherwise.
type Action interface{ action() }

// ReadRecord reads a record of the store. Its result is a StoreAnswered with StoreRead, StoreNotFound or StoreFailed.
type ReadRecord struct {
	Token int64
	Key   string
}

// WriteRecord writes a record if its current revision is Revision, where 0 means that the record does not exist.
// Its result is a StoreAnswered. The code that carries it out must not retry it.
type WriteRecord struct {
	Token    int64
	Key      string
	Value    []byte
	Revision int64
}

// SendOrder sends an order to a backend server once. Its result is an OrderAnswered.
type SendOrder struct {
	Backend string
	Order   model.Order
}

// FenceEngine presents a fencing token to an engine. The next observation shows whether the engine checks fencing
// tokens.
type FenceEngine struct {
	Backend string
	Term    int64
}

// ObserveEngine reads the state of an engine. Its result is an Observed.
// It runs after the FenceEngine of the same step has completed or has failed.
type ObserveEngine struct {
	Token   int64
	Backend string
}

// QueryUnsent sends the issuer of an order a query whether the order may still reach the engine. Its result is an
// UnsentAnswered. When another incarnation responds at the address, or the issuer's entry host has left the host list,
// the next PeersChanged lists the issuer in Stopped.
type QueryUnsent struct {
	OrderID string
	Issuer  model.Incarnation
	Name    string // name of the issuer's entry host
	Address string // peer address of the issuer, empty if unknown
}

// AnswerUnsent is the reply to an UnsentQueried. WillNotSend means that the order can no longer reach the engine.
type AnswerUnsent struct {
	Token       int64
	OrderID     string
	WillNotSend bool
}

// RefusalReason is the reason of a LoadRefused.
type RefusalReason string

const (
	RefusedNotOwner RefusalReason = "NotOwner" // this host does not own the backend server, or starts no more loads there
	RefusedNoSlot   RefusalReason = "NoSlot"   // the decided number of replicas is in use
	RefusedNoMemory RefusalReason = "NoMemory" // not enough unreserved memory on the backend server
	RefusedFailed   RefusalReason = "Failed"   // the engine did not load the model, or the model's size is unknown
	RefusedTooLate  RefusalReason = "TooLate"  // no reservation was recorded in time
)

// LoadRefused rejects a LoadRequested. The leader of the model may try another backend server.
type LoadRefused struct {
	Key     model.ModelKey
	Backend string
	Reason  RefusalReason
}

// Violation reports that an invariant does not hold.
type Violation struct {
	Invariant string
	Detail    string
}

func (ReadRecord) action()    {}
func (WriteRecord) action()   {}
func (SendOrder) action()     {}
func (FenceEngine) action()   {}
func (ObserveEngine) action() {}
func (QueryUnsent) action()   {}
func (AnswerUnsent) action()  {}
func (LoadRefused) action()   {}
func (Violation) action()     {}
