package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"citronspread/gossip"
	"citronspread/membership"
)

// echoHandler replies with what it receives. Other calls panic.
type echoHandler struct {
	Handler
}

func (echoHandler) Push(_ context.Context, request *PushRequest) (*PushReply, error) {
	return &PushReply{Items: request.Items}, nil
}

func (echoHandler) Exchange(_ context.Context, request *ExchangeRequest) (*ExchangeReply, error) {
	return &ExchangeReply{Beats: request.Beats, Digest: &request.Digest}, nil
}

// startServer starts a server with an echoHandler and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := &Server{Handler: echoHandler{}, Listener: listener, Traffic: &Traffic{}}
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

func TestClientTransfersMessages(t *testing.T) {
	address := startServer(t)
	client, err := NewClient(&Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	item := gossip.Item{
		ID:    gossip.ItemID{Kind: gossip.KindConfig, Key: "catalogue"},
		Rank:  gossip.Rank{Major: 3, Minor: 7, Tie: "n"},
		Value: []byte("value"),
	}
	reply, err := client.Push(t.Context(), address, &PushRequest{Zone: "a", Items: []gossip.Item{item}})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := reply.Items[0].Rank, item.Rank; got != want {
		t.Errorf("rank: got %v, want %v", got, want)
	}
	heartbeats := []membership.Heartbeat{{ID: 7, Counter: 9}}
	exchange, err := client.Exchange(t.Context(), address, &ExchangeRequest{Beats: heartbeats, Digest: gossip.Digest{1, 2}})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := *exchange.Digest, (gossip.Digest{1, 2}); got != want {
		t.Errorf("digest: got %v, want %v", got, want)
	}
	if got, want := exchange.Beats[0].Counter, uint64(9); got != want {
		t.Errorf("counter: got %d, want %d", got, want)
	}
}

// TestClientReportsRefusedConnection calls an address on which nothing listens. Membership uses
// Refused to detect a stopped process sooner than a silent one.
func TestClientReportsRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client, err := NewClient(&Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Push(t.Context(), address, &PushRequest{})
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Fatalf("got %v, want an *UnreachableError", err)
	}
	if got, want := unreachable.Refused, true; got != want {
		t.Errorf("refused: got %v, want %v", got, want)
	}
}
