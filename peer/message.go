package peer

import (
	"time"

	"citronspread/gossip"
	"citronspread/membership"
	"citronspread/model"
)

// ExchangeRequest starts a comparison of soft state.
type ExchangeRequest struct {
	Zone   string                 // zone of the sender
	Beats  []membership.Heartbeat `cbor:",omitempty"` // counters without loads; only within a zone
	Digest gossip.Digest
}

// ExchangeReply contains the differences between the state of the receiver and that of the sender.
type ExchangeReply struct {
	Beats     []membership.Heartbeat   `cbor:",omitempty"` // heartbeats that are newer than the sender's
	Wanted    []membership.HeartbeatID `cbor:",omitempty"` // heartbeats of which the sender has newer ones
	Digest    *gossip.Digest           `cbor:",omitempty"` // nil if it equals the sender's
	Summaries []gossip.Summary         `cbor:",omitempty"` // of the buckets that differ
}

// PushRequest sends items and heartbeats and requests other items.
type PushRequest struct {
	Zone  string                 // zone of the sender
	Beats []membership.Heartbeat `cbor:",omitempty"`
	Items []gossip.Item          `cbor:",omitempty"`
	Want  []gossip.ItemID        `cbor:",omitempty"` // requested items
}

// PushReply contains the requested items.
type PushReply struct {
	Items []gossip.Item `cbor:",omitempty"`
}

// UnsentRequest queries whether the issuer of an order may still send it.
type UnsentRequest struct {
	OrderID string
	Issuer  model.Incarnation
}

// UnsentReply is the reply to an UnsentRequest.
type UnsentReply struct {
	Issuer      model.Incarnation // incarnation of the host that replies
	WillNotSend bool              // the order cannot reach the engine from now on
}

// DemandRequest sends a load demand to the leader of a model, or to a host of another zone.
type DemandRequest struct {
	Wake    model.LoadDemand
	Foreign bool // the demand comes from another zone and is not forwarded to a third one
	Final   bool // the receiver decides, even if another host is the leader in its view
}

// LoadRequest requests that the owner of a backend server load a model version or an adapter.
type LoadRequest struct {
	Key      model.ModelKey
	Backend  string
	Adapters []string // adapters to load with the model version
	Adapter  string   // if set, only this adapter is loaded into the replica
}

// PermitRequest requests a permit to load from the weight store. The permit holder of the zone limits such loads.
type PermitRequest struct {
	Wake    model.LoadDemand
	Backend string
}

// PermitReply is the reply to a PermitRequest.
type PermitReply struct {
	Granted bool
}

// UsageRequest reports to the owner of backend servers how many requests were sent to their replicas.
type UsageRequest struct {
	From   string // name of the router's host
	Usages []model.Usage
	Loads  []LoadRecord `cbor:",omitempty"` // what the host knows of these backend servers
}

// UsageReply is the reply to a UsageRequest on the users' platform. Hosts of earlier versions send an Empty.
type UsageReply struct {
	Loads []LoadRecord `cbor:",omitempty"` // of the backend servers that the replying host owns
}

// ReserveRequest requests a place for a request on a backend server from its owner.
type ReserveRequest struct {
	From    string
	Backend string
	Tokens  int           // of the prompt and of the longest possible answer
	Reading time.Duration `cbor:",omitempty"` // expected time of reading the prompt, 0 if it needs no turn
	Gap     time.Duration `cbor:",omitempty"` // longest pause that callers accept in streams
	MaxWait time.Duration `cbor:",omitempty"` // how long the prompt may wait for its turn
	IsOnly  bool          `cbor:",omitempty"` // no other backend server can serve the request
}

// ReserveReply is the reply to a ReserveRequest.
type ReserveReply struct {
	Known  bool // the replying host knows what is on the backend server
	Placed bool
	Wait   time.Duration `cbor:",omitempty"` // until the turn of the prompt
	Loads  []LoadRecord  `cbor:",omitempty"` // of the backend server
}

// Empty is the reply to calls that return no data.
type Empty struct{}
