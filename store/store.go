// Package store is the client of the platform's key-value service.
package store

import (
	"net/http"
	"sync/atomic"
)

// zoneHeader tells the service which availability zone a call comes from.
const zoneHeader = "X-Zone"

// maxAnswerBytes bounds an answer of the service.
const maxAnswerBytes = 64 << 20

// Entry is a key with its value. Revision is the one that wrote it, 0 when the key is absent.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Listing is the answer to List.
type Listing struct {
	Revision int64 // of the whole store
	Entries  []Entry
}

// Lease is a lease that the service granted.
type Lease struct {
	ID string
}

// Counts counts the calls of a client.
type Counts struct {
	Reads       atomic.Int64
	Writes      atomic.Int64
	Watches     atomic.Int64
	Conflicts   atomic.Int64
	Unavailable atomic.Int64
	Ambiguous   atomic.Int64 // writes that may have taken effect
	RateLimited atomic.Int64
}

// Client calls the platform's key-value service. It never repeats a call by itself.
type Client struct {
	Address string // IP:port
	Zone    string
	HTTP    *http.Client // http.DefaultClient when nil
	Counts  Counts
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}
