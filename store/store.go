// Package store is a client for the platform's key-value service, which offers compare-and-swap writes, leases and
// watches.
package store

import (
	"net/http"
	"sync/atomic"

	"citronspread/httpconn"
)

// zoneHeader is the header with the availability zone of the client.
const zoneHeader = "X-Zone"

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// Entry is a key with its value. Revision is the store revision of its last write, or 0 if the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Consistency is how recent the content is that List returns.
type Consistency int

const (
	// Linearizable content includes all writes that were acknowledged before the call.
	Linearizable Consistency = iota
	// Serializable content may be some seconds old. It costs the store less.
	Serializable
)

// Listing is the result of List.
type Listing struct {
	Revision int64 // of the whole store
	Entries  []Entry
}

// Lease is a lease that the service granted.
type Lease struct {
	ID string
}

// Counts holds the call counters of a client.
type Counts struct {
	Reads       atomic.Int64
	Writes      atomic.Int64
	Watches     atomic.Int64
	Conflicts   atomic.Int64
	Unavailable atomic.Int64
	Ambiguous   atomic.Int64 // writes that may have taken effect
	RateLimited atomic.Int64
}

// Client calls the platform's key-value service. It never retries a call.
type Client struct {
	Address string // IP:port
	Zone    string
	HTTP    *http.Client // nil means httpconn.DefaultClient
	Counts  Counts
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return httpconn.DefaultClient
	}
	return c.HTTP
}
