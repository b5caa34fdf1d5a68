// Package gateway runs an entry host on the users' platform: it routes requests, owns backend servers and
// loads models and adapters on demand. It reaches the platform through the ports of this file.
package gateway

import (
	"context"
	"time"

	"citronspread/model"
	"citronspread/residency"
	"citronspread/store"
)

// Store is the platform's store. Errors are those of package store.
type Store interface {
	List(ctx context.Context, prefix string) (store.Listing, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Change, error)
	Commit(ctx context.Context, t store.Transaction) (int64, error)
	Grant(ctx context.Context, lasting time.Duration) (lease int64, err error)
	Keep(ctx context.Context, lease int64) error
}

// Orders is the side of backend servers that takes orders.
type Orders interface {
	Report(ctx context.Context, address string, life model.Life) (model.Holdings, error)
	Order(ctx context.Context, address string, life model.Life, o residency.Order) (residency.Answer, error)
}

// Decoder decodes what others keep in the store.
type Decoder struct {
	ConfigurationKey    string
	ListingPrefix       string
	DecodeConfiguration func(value []byte) (model.DesiredState, error)
	DecodeListing       func(entry store.Entry) (model.Listing, error)
	ListingID           func(key string) string
}
