// Package gateway runs an entry host on the users' platform: it routes requests, owns backend servers and
// loads models and adapters on demand. It reaches the platform through the interfaces in this file.
//
// One goroutine, the control thread, holds the control state of a host. Other goroutines pass it events with post and
// query. The goroutines that serve requests read immutable snapshots of that state.
package gateway

import (
	"context"
	"time"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/ratelimit"
	"citronspread/residency"
	"citronspread/store"
)

// Store is the platform's key-value store. Its errors are those of package store. Revisions only rise, also if the store is
// restored from an older copy, see store.RevisionInEra; each call may then return a *store.RestoredError.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string, consistency store.Consistency) (store.Listing, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Change, error)
	Commit(ctx context.Context, t store.Transaction) (int64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	RenewLease(ctx context.Context, lease, era int64) error
	// Era returns the latest era that a response stated, as of store.Era. It has risen before the first response of an era
	// is returned.
	Era() int64
}

// Peers calls other entry hosts by their peer addresses.
type Peers interface {
	Place(ctx context.Context, address string, request *peer.PlaceRequest) (*peer.PlaceReply, error)
	Offer(ctx context.Context, address string, request *peer.OfferRequest) (*peer.OfferReply, error)
	LoadModel(ctx context.Context, address string, request *peer.LoadModelRequest) (*peer.LoadModelReply, error)
	ReportPlatformUsage(ctx context.Context, address string, request *peer.UsageRequest) (*peer.UsageReply, error)
	Reserve(ctx context.Context, address string, request *peer.ReserveRequest) (*peer.ReserveReply, error)
	Suspect(ctx context.Context, address string, request *peer.SuspectRequest) error
	SuspectParts(ctx context.Context, address string, request *peer.SuspectPartsRequest) error
	ListRefused(ctx context.Context, address string) (*peer.RefusedReply, error)
	Allowance(ctx context.Context, address string, request *peer.AllowanceRequest) (*peer.AllowanceReply, error)
	Limits(ctx context.Context, address string, request *peer.LimitsRequest) error
	Follow(ctx context.Context, address string, request *peer.FollowRequest) (*peer.FollowReply, error)
	RecordStreams(ctx context.Context, address string, request *peer.RecordStreamsRequest) error
	FindSoftware(ctx context.Context, address string, request *peer.FindSoftwareRequest) (*peer.FindSoftwareReply, error)
	DesiredState(ctx context.Context, address string, request *peer.DesiredStateRequest) (*peer.DesiredStateReply, error)
	ValuePart(ctx context.Context, address string, request *peer.ValuePartRequest) (*peer.ValuePartReply, error)
	Cap(ctx context.Context, address string, request *ratelimit.CapRequest) (*ratelimit.CapReply, error)
}

// BackendClient sends orders to backend servers and fetches their reports. Each call names the incarnation that it is
// meant for, so that another backend server at the same address rejects it.
type BackendClient interface {
	ReadReport(ctx context.Context, address string, incarnation model.BackendIncarnation) (model.BackendReport, error)
	SendOrder(ctx context.Context, address string, incarnation model.BackendIncarnation, o residency.Order) (residency.Answer, error)
}

// Decoder decodes the store entries that other programs write: the platform's configuration, which sets the desired
// state, and the listings of the backend servers.
type Decoder struct {
	ConfigurationKey    string
	ListingPrefix       string
	DecodeConfiguration func(value []byte) (model.DesiredState, error)
	DecodeListing       func(entry store.Entry) (model.BackendListing, error)
	ListingID           func(key string) string
}
