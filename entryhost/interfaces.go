package entryhost

import (
	"context"
	"time"

	"citronspread/engine"
	"citronspread/hostlist"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/store"
)

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (int64, error)
	Delete(ctx context.Context, key string, revision int64) (int64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.Lease, error)
	CompareAndSwapLeased(ctx context.Context, key string, value []byte, revision int64, lease string) (int64, error)
	Watch(ctx context.Context, prefix string, after int64, timeout time.Duration) (store.Change, error)
}

// HostList is the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context, after int64, timeout time.Duration) (hostlist.HostList, error)
}

// Engine is the control side of one backend server's engine.
type Engine interface {
	Observe(ctx context.Context) (model.Observation, error)
	ReadLoadReport(ctx context.Context) (model.LoadReport, error)
	Fence(ctx context.Context, term int64) error
	SendOrder(ctx context.Context, order model.Order) (engine.OrderResponse, error)
}

// PeerClient is the client for calls to other entry hosts.
type PeerClient interface {
	Exchange(ctx context.Context, address string, request *peer.ExchangeRequest) (*peer.ExchangeReply, error)
	Push(ctx context.Context, address string, request *peer.PushRequest) (*peer.PushReply, error)
	QueryUnsent(ctx context.Context, address string, request *peer.UnsentRequest) (*peer.UnsentReply, error)
	SendDemand(ctx context.Context, address string, request *peer.DemandRequest) error
	RequestLoad(ctx context.Context, address string, request *peer.LoadRequest) error
	Permit(ctx context.Context, address string, request *peer.PermitRequest) (*peer.PermitReply, error)
	ReportUsage(ctx context.Context, address string, request *peer.UsageRequest) error
}

// UsageSource counts the requests that this host's router sent to each replica.
type UsageSource interface {
	TakeUsage() []model.Usage
}

// SnapshotSink receives the snapshots for the goroutines that serve requests.
type SnapshotSink interface {
	PublishSnapshot(snapshot *model.Snapshot)
}
