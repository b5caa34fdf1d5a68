package ledger

import "citronspread/model"

// Action is something that a Host wants done. Actions of one Step may be carried out in any order.
type Action interface{ action() }

// ReadRecord reads a record of the store; answered by StoreAnswered with Read, NotFound or Failed.
type ReadRecord struct {
	Token int64
	Key   string
}

// WriteRecord writes a record if its revision matches (0: absent); answered by StoreAnswered.
// It must not be repeated by the adapter.
type WriteRecord struct {
	Token    int64
	Key      string
	Value    []byte
	Revision int64
}

// SendOrder sends an order once; answered by OrderAnswered.
type SendOrder struct {
	Backend string
	Order   model.Order
}

// FenceEngine presents a fencing number to an engine. The next observation shows whether it checks them.
type FenceEngine struct {
	Backend string
	Term    int64
}

// ObserveEngine reads the state of an engine; answered by Observed.
// It is carried out after the FenceEngine of the same Step has been answered or has failed.
type ObserveEngine struct {
	Token   int64
	Backend string
}

// AskUnsent asks the issuer of an order whether it may still reach the engine; answered by UnsentAnswered.
// When another incarnation answers at the address, or the host has left the host list,
// the issuer is told as dead in the next PeersChanged.
type AskUnsent struct {
	OrderID string
	Issuer  model.Incarnation
	Name    string // name of the issuer's host
	Address string // peer address of the issuer, empty when unknown
}

// AnswerUnsent answers an UnsentAsked. WillNotSend means that the order can't reach the engine from now on.
type AnswerUnsent struct {
	Token       int64
	OrderID     string
	WillNotSend bool
}

// RefusalReason tells why a wanted load is given up.
type RefusalReason string

// Refusal reasons.
const (
	RefusedNotOwner RefusalReason = "NotOwner"
	RefusedNoSlot   RefusalReason = "NoSlot"
	RefusedNoMemory RefusalReason = "NoMemory"
	RefusedFailed   RefusalReason = "Failed"
	RefusedTooLate  RefusalReason = "TooLate"
)

// LoadRefused gives up a LoadWanted; the lead of the model may try another backend server.
type LoadRefused struct {
	Key     model.ModelKey
	Backend string
	Reason  RefusalReason
}

// Violation reports an invariant that does not hold.
type Violation struct {
	Invariant string
	Detail    string
}

func (ReadRecord) action()    {}
func (WriteRecord) action()   {}
func (SendOrder) action()     {}
func (FenceEngine) action()   {}
func (ObserveEngine) action() {}
func (AskUnsent) action()     {}
func (AnswerUnsent) action()  {}
func (LoadRefused) action()   {}
func (Violation) action()     {}
