package peer

import (
	"context"
	"time"

	"citronspread/fairshare"
	"citronspread/model"
	"citronspread/ratelimit"
	"citronspread/store"
)

// PlatformHandler handles the calls between entry hosts on the users' platform. Their names on the wire begin with
// /Fleet/.
type PlatformHandler interface {
	Place(ctx context.Context, request *PlaceRequest) (*PlaceReply, error)
	Offer(ctx context.Context, request *OfferRequest) (*OfferReply, error)
	LoadModel(ctx context.Context, request *LoadModelRequest) (*LoadModelReply, error)
	ReportPlatformUsage(ctx context.Context, request *UsageRequest) (*UsageReply, error)
	Reserve(ctx context.Context, request *ReserveRequest) (*ReserveReply, error)
	Suspect(ctx context.Context, request *SuspectRequest) (*Empty, error)
	SuspectParts(ctx context.Context, request *SuspectPartsRequest) (*Empty, error)
	ListRefused(ctx context.Context, request *Empty) (*RefusedReply, error)
	Allowance(ctx context.Context, request *AllowanceRequest) (*AllowanceReply, error)
	Limits(ctx context.Context, request *LimitsRequest) (*Empty, error)
	Follow(ctx context.Context, request *FollowRequest) (*FollowReply, error)
	RecordStreams(ctx context.Context, request *RecordStreamsRequest) (*Empty, error)
	FindSoftware(ctx context.Context, request *FindSoftwareRequest) (*FindSoftwareReply, error)
	DesiredState(ctx context.Context, request *DesiredStateRequest) (*DesiredStateReply, error)
	ValuePart(ctx context.Context, request *ValuePartRequest) (*ValuePartReply, error)
	Cap(ctx context.Context, request *ratelimit.CapRequest) (*ratelimit.CapReply, error)
}

var platformMethods = []methodEntry{
	unary("/Fleet/Place", PlatformHandler.Place),
	unary("/Fleet/Offer", PlatformHandler.Offer),
	unary("/Fleet/Hold", PlatformHandler.LoadModel),
	unary("/Fleet/Use", PlatformHandler.ReportPlatformUsage),
	unary("/Fleet/Reserve", PlatformHandler.Reserve),
	unary("/Fleet/Suspect", PlatformHandler.Suspect),
	unary("/Fleet/Parts", PlatformHandler.SuspectParts),
	unary("/Fleet/Refused", PlatformHandler.ListRefused),
	unary("/Fleet/Allowance", PlatformHandler.Allowance),
	unary("/Fleet/Limits", PlatformHandler.Limits),
	unary("/Fleet/Follow", PlatformHandler.Follow),
	unary("/Fleet/RecordStreams", PlatformHandler.RecordStreams),
	unary("/Fleet/FindSoftware", PlatformHandler.FindSoftware),
	unary("/Fleet/DesiredState", PlatformHandler.DesiredState),
	unary("/Fleet/ValuePart", PlatformHandler.ValuePart),
	unary("/Fleet/Cap", PlatformHandler.Cap),
}

// PlaceRequest requests that the leader of a model have it loaded on a backend server.
type PlaceRequest struct {
	Service string
	Model   string
	Zone    string   // zone of the host whose requests wait
	Exclude []string // backend servers that have loaded the model but lack capacity
	Spread  bool     // no request waits; the model is loaded only where no other model is evicted for it
}

// PlaceReply names the backend server that has loaded or will load the model.
type PlaceReply struct {
	Backend string // empty if the model cannot be placed now
	Ready   bool
	Wait    time.Duration // expected time until the model is ready
	Reason  string        // why the model is not placed or not ready
}

// OfferRequest requests the offers for a model from an owner of backend servers.
type OfferRequest struct {
	Service string
	Model   string
}

// OfferReply contains one offer for each backend server of the owner.
type OfferReply struct {
	Offers []Offer
}

// Offer is the expected time until a model could be used on a backend server.
type Offer struct {
	Backend string
	Wait    time.Duration
	Rate    float64 // recent requests per second at the backend server
}

// LoadModelRequest is a load request: it requests that the owner of a backend server load a model or one of its
// adapters. It is repeated while requests wait.
type LoadModelRequest struct {
	Backend string
	Model   string
	Adapter string
}

// LoadModelReply is the reply to a LoadModelRequest.
type LoadModelReply struct {
	Ready  bool
	Absent bool          // the model of the requested adapter is not loaded
	Wait   time.Duration // expected time until the model or adapter is ready
	Reason string        // why it cannot be loaded, empty otherwise
}

// SuspectRequest reports a request that was running when a backend server failed.
type SuspectRequest struct {
	Suspect model.Suspect
	SentAt  time.Time // on the clock of the sender, to which the times of the suspect refer
}

// SuspectPartsRequest reports parts of prompts whose requests were running when backend servers failed.
type SuspectPartsRequest struct {
	Parts  []model.SuspectPart
	SentAt time.Time // as in SuspectRequest
}

// RefusedReply lists the suspects that an entry host refuses, the parts of prompts that it blocks and what it knows of the
// statements of backend servers.
type RefusedReply struct {
	Suspects []model.Suspect
	Parts    []model.SuspectPart
	Limits   []model.BackendStatement
	SentAt   time.Time // as in SuspectRequest
}

// AllowanceRequest requests an allowance of requests to a backend server from the leader of its limit.
type AllowanceRequest struct {
	From   string
	Count  int  // 0 to report the limit only
	Queued bool // requests wait; else they are sent to other backend servers if the allowance is refused
	Deputy bool // the sender leads the limit unless the receiver has learned that the sender's lease has ended
	Limit  model.BackendStatement
	SentAt time.Time // on the clock of the sender, to which the times of the statement refer
}

// AllowanceReply contains the allowance and what the leader knows of the limit.
type AllowanceReply struct {
	NotLeader bool // of a request to a deputy: the sender leads the limit, and the other fields are not set
	Allowance ratelimit.Reply
	Limit     model.BackendStatement
	SentAt    time.Time // as in AllowanceRequest
}

// LimitsRequest reports what backend servers have stated: limits, withdrawn limits and that they are leaving.
type LimitsRequest struct {
	Limits []model.BackendStatement
	SentAt time.Time // as in AllowanceRequest
}

// FollowRequest requests the changes of the store from the relay of the zone, so that not every host reads the store.
type FollowRequest struct {
	After         int64         // revision after which changes are returned
	Wait          time.Duration // maximum time to wait for a change
	SuspectsAfter int64         // sequence number after which suspects are returned, 0 for all that the relay retains
	PartsAfter    int64         // the same for suspect parts
	LimitsAfter   int64         // the same for statements of backend servers
	AcceptsPacked bool          // the follower reads FollowReply.Packed
	AcceptsLimits bool          // the follower reads FollowReply.Limits
	// Served is what the follower has served to workspaces, nil if the deployment has none.
	Served       *fairshare.Report `cbor:",omitempty"`
	Loads        []LoadRecord      `cbor:",omitempty"` // what the follower has learned of backend servers since its last call with AcceptsLoads
	LoadsAfter   int64             `cbor:",omitempty"` // as SuspectsAfter, for loads of backend servers
	AcceptsLoads bool              `cbor:",omitempty"` // the follower reads FollowReply.Loads
	AcceptsParts bool              `cbor:",omitempty"` // the follower reads FollowReply.Large
}

// FollowReply contains the changes of the store.
type FollowReply struct {
	Fresh  bool // the store responded to the relay recently
	Lost   bool // the relay no longer has all changes since the revision
	Change store.Change
	Packed []PackedEntry // large entries of the change, which are not in Change
	Large  []LargeEntry  `cbor:",omitempty"` // the same in place of Packed, for a follower that fetches them with ValuePart

	Suspects        []model.Suspect
	SuspectSequence int64 // of the relay's last suspect
	Parts           []model.SuspectPart
	PartSequence    int64 // of the relay's last suspect part
	Limits          []model.BackendStatement
	LimitSequence   int64        // of the relay's last statement of a backend server
	Loads           []LoadRecord `cbor:",omitempty"`
	LoadSequence    int64        `cbor:",omitempty"` // of the relay's last change of a load
	SentAt          time.Time    // on the clock of the relay, to which the times of suspects, parts and statements refer
	// Served is the reply to FollowRequest.Served, nil without it.
	Served *fairshare.Totals `cbor:",omitempty"`

	HasAge bool          // Age is set
	Age    time.Duration // of the relay's content: the store had no later changes this long before the reply
}

// PackedEntry is an entry of the store whose value is compressed with DEFLATE (RFC 1951).
type PackedEntry struct {
	Key      string
	Revision int64
	Value    []byte
}

// LargeEntry names an entry of the store whose value is fetched with ValuePart.
type LargeEntry struct {
	Key      string
	Revision int64
}

// ValuePartRequest requests a part of the latest value of a key of the store, which the requester assembles.
type ValuePartRequest struct {
	Key    string
	Base   int64  // revision of the value that the requester has, from which it knows the difference; 0 if it has none
	Sum    uint64 // of the encoded value of which the requester has the first parts, 0 if it has none
	Offset int    // length of these parts in bytes
}

// ValuePartReply contains a part of a value that is compressed with Zstandard (RFC 8878).
type ValuePartReply struct {
	Found    bool
	Revision int64  // of the value
	Base     int64  // revision of the value that is the dictionary of the compression, 0 for none
	Size     int    // of the encoded value, in bytes
	Sum      uint64 // xxHash64 of the encoded value
	Offset   int    // of the part; 0 if the encoded value is another one than the requester has parts of
	Part     []byte
}

// RecordStreamsRequest requests that an entry host write records of streams to the store, which does not respond to the
// sender.
type RecordStreamsRequest struct {
	From    string
	Streams []StreamRecord
}

// StreamRecord is the software version that began a stream.
type StreamRecord struct {
	Key     string // in the store
	Version string
}

// FindSoftwareRequest requests the software version at which a stream may go on.
type FindSoftwareRequest struct {
	Service string
	Key     string // of the stream's record
}

// FindSoftwareReply contains the software version at which a stream may go on.
type FindSoftwareReply struct {
	Known   bool   // the view of the replying host is not outdated
	Version string // empty for any
	Source  string // of the version, for the log

	// RecordLost reports that the stream has no record, but may have had one before the store was restored.
	RecordLost bool
}

// DesiredStateRequest requests the desired state in force at another host, for a host that cannot have it from the store: the
// store has been restored from an older copy, or its latest desired state is invalid.
type DesiredStateRequest struct {
	After        int64 // version of the desired state that the sender has, 0 for none
	AcceptsParts bool  `cbor:",omitempty"` // the sender reads DesiredStateReply.Large
}

// DesiredStateReply contains the entry of the desired state in force if its version is later than the requested one.
type DesiredStateReply struct {
	Packed  []PackedEntry // one entry or none
	Large   []LargeEntry  `cbor:",omitempty"` // the same in place of Packed, for a sender that fetches it with ValuePart
	Version int64         `cbor:",omitempty"` // of the desired state in Large
}

// Place requests that the leader of a model have it loaded.
func (c *Client) Place(ctx context.Context, address string, request *PlaceRequest) (*PlaceReply, error) {
	return invoke[PlaceReply](ctx, c, address, "/Fleet/Place", request)
}

// Offer requests the offers of an owner.
func (c *Client) Offer(ctx context.Context, address string, request *OfferRequest) (*OfferReply, error) {
	return invoke[OfferReply](ctx, c, address, "/Fleet/Offer", request)
}

// LoadModel sends a load request to an owner.
func (c *Client) LoadModel(ctx context.Context, address string, request *LoadModelRequest) (*LoadModelReply, error) {
	return invoke[LoadModelReply](ctx, c, address, "/Fleet/Hold", request)
}

// ReportPlatformUsage reports the usage of replicas to their owner, which replies with the load of its backend servers.
func (c *Client) ReportPlatformUsage(ctx context.Context, address string, request *UsageRequest) (*UsageReply, error) {
	return invoke[UsageReply](ctx, c, address, "/Fleet/Use", request)
}

// Reserve requests a place on a backend server from its owner.
func (c *Client) Reserve(ctx context.Context, address string, request *ReserveRequest) (*ReserveReply, error) {
	return invoke[ReserveReply](ctx, c, address, "/Fleet/Reserve", request)
}

// Suspect sends a suspect to another entry host.
func (c *Client) Suspect(ctx context.Context, address string, request *SuspectRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Fleet/Suspect", request)
	return err
}

// SuspectParts sends suspect parts of prompts to another entry host.
func (c *Client) SuspectParts(ctx context.Context, address string, request *SuspectPartsRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Fleet/Parts", request)
	return err
}

// ListRefused requests the suspects that another entry host refuses and the parts that it blocks.
func (c *Client) ListRefused(ctx context.Context, address string) (*RefusedReply, error) {
	return invoke[RefusedReply](ctx, c, address, "/Fleet/Refused", &Empty{})
}

// Allowance requests an allowance from the leader of a limit.
func (c *Client) Allowance(ctx context.Context, address string, request *AllowanceRequest) (*AllowanceReply, error) {
	return invoke[AllowanceReply](ctx, c, address, "/Fleet/Allowance", request)
}

// Limits sends statements of backend servers to another entry host.
func (c *Client) Limits(ctx context.Context, address string, request *LimitsRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Fleet/Limits", request)
	return err
}

// Follow requests the changes of the store from the relay of the zone.
func (c *Client) Follow(ctx context.Context, address string, request *FollowRequest) (*FollowReply, error) {
	return invoke[FollowReply](ctx, c, address, "/Fleet/Follow", request)
}

// RecordStreams requests that another entry host write records of streams to the store.
func (c *Client) RecordStreams(ctx context.Context, address string, request *RecordStreamsRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Fleet/RecordStreams", request)
	return err
}

// FindSoftware requests the software version at which a stream may go on.
func (c *Client) FindSoftware(ctx context.Context, address string, request *FindSoftwareRequest) (*FindSoftwareReply, error) {
	return invoke[FindSoftwareReply](ctx, c, address, "/Fleet/FindSoftware", request)
}

// DesiredState requests a later desired state from another entry host.
func (c *Client) DesiredState(ctx context.Context, address string, request *DesiredStateRequest) (*DesiredStateReply, error) {
	return invoke[DesiredStateReply](ctx, c, address, "/Fleet/DesiredState", request)
}

// ValuePart requests a part of a value from another entry host.
func (c *Client) ValuePart(ctx context.Context, address string, request *ValuePartRequest) (*ValuePartReply, error) {
	return invoke[ValuePartReply](ctx, c, address, "/Fleet/ValuePart", request)
}

// Cap sends a request about the usage cap of a workspace to another entry host.
func (c *Client) Cap(ctx context.Context, address string, request *ratelimit.CapRequest) (*ratelimit.CapReply, error) {
	return invoke[ratelimit.CapReply](ctx, c, address, "/Fleet/Cap", request)
}
