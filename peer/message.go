package peer

import (
	"citronspread/gossip"
	"citronspread/membership"
	"citronspread/model"
)

// ExchangeRequest starts a comparison of soft state.
type ExchangeRequest struct {
	Zone   string            // of the caller
	Beats  []membership.Beat `cbor:",omitempty"` // counters alone, from hosts of the same zone
	Digest gossip.Digest
}

// ExchangeReply tells what the answering host holds otherwise.
type ExchangeReply struct {
	Beats     []membership.Beat   `cbor:",omitempty"` // those that are newer than the caller's
	Wanted    []membership.BeatID `cbor:",omitempty"` // those of which the caller has newer ones
	Digest    *gossip.Digest      `cbor:",omitempty"` // nil when it is the caller's
	Summaries []gossip.Summary    `cbor:",omitempty"` // of the buckets that differ
}

// PushRequest passes items and heartbeats on and asks for others.
type PushRequest struct {
	Zone  string            // of the caller
	Beats []membership.Beat `cbor:",omitempty"`
	Items []gossip.Item     `cbor:",omitempty"`
	Want  []gossip.ItemID   `cbor:",omitempty"`
}

// PushReply holds the items that were asked for.
type PushReply struct {
	Items []gossip.Item `cbor:",omitempty"`
}

// UnsentRequest asks the issuer of an order whether it may still send it.
type UnsentRequest struct {
	OrderID string
	Issuer  model.Incarnation
}

// UnsentReply answers an UnsentRequest.
type UnsentReply struct {
	Issuer      model.Incarnation // the incarnation that answers
	WillNotSend bool
}

// WakeRequest passes a wake to the lead of a model.
type WakeRequest struct {
	Wake    model.Wake
	Foreign bool // it comes from another zone and is not passed on to a third
	Final   bool // the receiver decides, whoever it believes to lead
}

// LoadRequest asks the owner of a backend server to load a model version or an adapter.
type LoadRequest struct {
	Key      model.ModelKey
	Backend  string
	Adapters []string
	Adapter  string // when set, only this adapter is loaded into the replica
}

// PermitRequest asks the zone's permit holder for the right to load from the weight store.
type PermitRequest struct {
	Wake    model.Wake
	Backend string
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Granted bool
}

// UsageRequest tells the owner of backend servers how often their replicas were used.
type UsageRequest struct {
	From   string // name of the router's host
	Usages []model.Usage
}

// Empty is the reply of calls that return nothing.
type Empty struct{}
