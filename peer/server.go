// Package peer carries messages between entry hosts over drpc.
package peer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Handler answers the calls of other entry hosts.
type Handler interface {
	Exchange(ctx context.Context, request *ExchangeRequest) (*ExchangeReply, error)
	Push(ctx context.Context, request *PushRequest) (*PushReply, error)
	Unsent(ctx context.Context, request *UnsentRequest) (*UnsentReply, error)
	Wake(ctx context.Context, request *WakeRequest) (*Empty, error)
	Load(ctx context.Context, request *LoadRequest) (*Empty, error)
	Permit(ctx context.Context, request *PermitRequest) (*PermitReply, error)
	Usage(ctx context.Context, request *UsageRequest) (*Empty, error)
}

// Server accepts the connections of other entry hosts.
type Server struct {
	Handler  any // a Handler or a FleetHandler
	Listener net.Listener
	Traffic  *Traffic
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	encoding, err := newCodec()
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	calls := methods
	if _, isFleet := s.Handler.(FleetHandler); isFleet {
		calls = fleetMethods
	}
	if err := mux.Register(s.Handler, description{encoding: encoding, methods: calls}); err != nil {
		return errors.Wrap(err, "peer: register")
	}
	listener := &countingListener{Listener: s.Listener, traffic: s.Traffic}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// description lists the calls of a handler for drpc.
type description struct {
	encoding *codec
	methods  []methodEntry
}

type methodEntry struct {
	name     string
	receiver drpc.Receiver
	method   any
}

var methods = []methodEntry{
	unary("/Peer/Exchange", Handler.Exchange),
	unary("/Peer/Push", Handler.Push),
	unary("/Peer/Unsent", Handler.Unsent),
	unary("/Peer/Wake", Handler.Wake),
	unary("/Peer/Load", Handler.Load),
	unary("/Peer/Permit", Handler.Permit),
	unary("/Peer/Usage", Handler.Usage),
}

// unary describes one call with one message each way.
func unary[H, Request, Reply any](name string, call func(H, context.Context, *Request) (*Reply, error)) methodEntry {
	receiver := func(server any, ctx context.Context, request, _ any) (drpc.Message, error) {
		handler, isHandler := server.(H)
		message, isRequest := request.(*Request)
		if !isHandler || !isRequest {
			return nil, errors.Newf("peer: %s got %T for %T", name, request, server)
		}
		return call(handler, ctx, message)
	}
	return methodEntry{name: name, receiver: receiver, method: call}
}

// NumMethods returns the number of calls.
func (d description) NumMethods() int { return len(d.methods) }

// Method describes call n.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d.methods) {
		return "", nil, nil, nil, false
	}
	m := d.methods[n]
	return m.name, d.encoding, m.receiver, m.method, true
}
