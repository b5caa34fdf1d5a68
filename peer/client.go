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

// Limits of calls to other entry hosts.
const (
	callTimeout     = 2 * time.Second
	dialTimeout     = 500 * time.Millisecond
	idleExpiration  = 2 * time.Minute
	poolCapacity    = 512 // idle connections in total
	poolKeyCapacity = 4   // idle connections to one entry host
)

// UnreachableError reports that a call to a peer failed or got no reply.
type UnreachableError struct {
	Address string
	Refused bool // the connection was refused: the machine is up, but nothing listens on the port
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer: %s did not reply: %v", e.Address, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// Client calls other entry hosts. It pools its connections.
type Client struct {
	Traffic *Traffic

	encoding *codec
	pool     *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client without open connections.
func NewClient(traffic *Traffic) (*Client, error) {
	encoding, err := newCodec()
	if err != nil {
		return nil, err
	}
	options := drpcpool.Options{Expiration: idleExpiration, Capacity: poolCapacity, KeyCapacity: poolKeyCapacity}
	return &Client{Traffic: traffic, encoding: encoding, pool: drpcpool.New[string, drpcpool.Conn](options)}, nil
}

func (c *Client) Close() error { return c.pool.Close() }

// Exchange compares soft state with a peer.
func (c *Client) Exchange(ctx context.Context, address string, request *ExchangeRequest) (*ExchangeReply, error) {
	return invoke[ExchangeReply](ctx, c, address, "/Peer/Exchange", request)
}

// Push sends items and heartbeats to a peer and returns the requested items.
func (c *Client) Push(ctx context.Context, address string, request *PushRequest) (*PushReply, error) {
	return invoke[PushReply](ctx, c, address, "/Peer/Push", request)
}

// QueryUnsent queries whether a peer may still send an order.
func (c *Client) QueryUnsent(ctx context.Context, address string, request *UnsentRequest) (*UnsentReply, error) {
	return invoke[UnsentReply](ctx, c, address, "/Peer/Unsent", request)
}

// SendDemand sends a load demand to the leader of a model, or to a host of another zone.
func (c *Client) SendDemand(ctx context.Context, address string, request *DemandRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Peer/Wake", request)
	return err
}

// RequestLoad requests that the owner of a backend server load a model version or an adapter.
func (c *Client) RequestLoad(ctx context.Context, address string, request *LoadRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Peer/Load", request)
	return err
}

// Permit requests a permit to load from the weight store.
func (c *Client) Permit(ctx context.Context, address string, request *PermitRequest) (*PermitReply, error) {
	return invoke[PermitReply](ctx, c, address, "/Peer/Permit", request)
}

// ReportUsage reports the usage of replicas to their owner.
func (c *Client) ReportUsage(ctx context.Context, address string, request *UsageRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Peer/Usage", request)
	return err
}

// invoke makes one call and waits for its reply, for at most callTimeout. Every error is an *UnreachableError.
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
