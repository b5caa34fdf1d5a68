// Package peer implements the calls between entry hosts: their messages, a client and a server. Messages are encoded as
// CBOR and sent over drpc.
package peer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Handler handles the calls between entry hosts. Their names on the wire begin with /Peer/.
type Handler interface {
	Exchange(ctx context.Context, request *ExchangeRequest) (*ExchangeReply, error)
	Push(ctx context.Context, request *PushRequest) (*PushReply, error)
	QueryUnsent(ctx context.Context, request *UnsentRequest) (*UnsentReply, error)
	SendDemand(ctx context.Context, request *DemandRequest) (*Empty, error)
	RequestLoad(ctx context.Context, request *LoadRequest) (*Empty, error)
	Permit(ctx context.Context, request *PermitRequest) (*PermitReply, error)
	ReportUsage(ctx context.Context, request *UsageRequest) (*Empty, error)
}

// Server accepts the connections of other entry hosts.
type Server struct {
	Handler  any // a Handler or a PlatformHandler
	Listener net.Listener
	Traffic  *Traffic
}

// Run serves connections until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	encoding, err := newCodec()
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	calls := methods
	if _, isPlatform := s.Handler.(PlatformHandler); isPlatform {
		calls = platformMethods
	}
	if err := mux.Register(s.Handler, description{encoding: encoding, methods: calls}); err != nil {
		return errors.Wrap(err, "peer: register calls")
	}
	listener := &countingListener{Listener: s.Listener, traffic: s.Traffic}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// description lists the calls of a handler. It implements drpc.Description.
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
	unary("/Peer/Unsent", Handler.QueryUnsent),
	unary("/Peer/Wake", Handler.SendDemand),
	unary("/Peer/Load", Handler.RequestLoad),
	unary("/Peer/Permit", Handler.Permit),
	unary("/Peer/Usage", Handler.ReportUsage),
}

// unary returns the entry of a call with one request and one reply message.
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

func (d description) NumMethods() int { return len(d.methods) }

// Method returns the name, encoding, receiver and handler method of call n.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d.methods) {
		return "", nil, nil, nil, false
	}
	m := d.methods[n]
	return m.name, d.encoding, m.receiver, m.method, true
}
