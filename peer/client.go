package peer

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Bounds of calls to other entry hosts.
const (
	callTimeout    = 2 * time.Second
	dialTimeout    = 500 * time.Millisecond
	idleExpiration = 2 * time.Minute
	poolCapacity   = 512
	poolKeyCap     = 4
)

// UnreachableError tells that a peer did not answer.
type UnreachableError struct {
	Address string
	Refused bool // the peer's host answered that nothing listens there
	Cause   error
}

// Error returns the text of the error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer: %s did not answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Client calls other entry hosts.
type Client struct {
	Traffic *Traffic

	encoding *codec
	pool     *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient(traffic *Traffic) (*Client, error) {
	encoding, err := newCodec()
	if err != nil {
		return nil, err
	}
	options := drpcpool.Options{Expiration: idleExpiration, Capacity: poolCapacity, KeyCapacity: poolKeyCap}
	return &Client{Traffic: traffic, encoding: encoding, pool: drpcpool.New[string, drpcpool.Conn](options)}, nil
}

// Close closes the connections.
func (c *Client) Close() error { return c.pool.Close() }

// Exchange compares soft state with a peer.
func (c *Client) Exchange(ctx context.Context, address string, request *ExchangeRequest) (*ExchangeReply, error) {
	return invoke[ExchangeReply](ctx, c, address, "/Peer/Exchange", request)
}

// Push passes items on to a peer.
func (c *Client) Push(ctx context.Context, address string, request *PushRequest) (*PushReply, error) {
	return invoke[PushReply](ctx, c, address, "/Peer/Push", request)
}

// Unsent asks a peer whether it may still send an order.
func (c *Client) Unsent(ctx context.Context, address string, request *UnsentRequest) (*UnsentReply, error) {
	return invoke[UnsentReply](ctx, c, address, "/Peer/Unsent", request)
}

// Wake passes a wake on to the lead of a model.
func (c *Client) Wake(ctx context.Context, address string, request *WakeRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Peer/Wake", request)
	return err
}

// Load asks the owner of a backend server to load or unload a model version.
func (c *Client) Load(ctx context.Context, address string, request *LoadRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Peer/Load", request)
	return err
}

// Permit asks for the right to load from the weight store.
func (c *Client) Permit(ctx context.Context, address string, request *PermitRequest) (*PermitReply, error) {
	return invoke[PermitReply](ctx, c, address, "/Peer/Permit", request)
}

// Usage reports the use of replicas to their owner.
func (c *Client) Usage(ctx context.Context, address string, request *UsageRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Peer/Usage", request)
	return err
}

func invoke[Reply any](ctx context.Context, c *Client, address, call string, request any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := c.pool.Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }()
	c.Traffic.Calls.Add(1)
	reply := new(Reply)
	if err := conn.Invoke(ctx, call, c.encoding, request, reply); err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		return nil, &UnreachableError{Address: address, Refused: refused, Cause: err}
	}
	return reply, nil
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(&countingConn{Conn: conn, traffic: c.Traffic}), nil
}
