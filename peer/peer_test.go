package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"testing"

	"citronspread/fairshare"
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

// TestCountersAreOptional guards against messages that hosts of the previous build can't read, and against ones that grow in
// deployments without workspaces or with very many.
func TestCountersAreOptional(t *testing.T) {
	encoding, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	type previousRequest struct {
		After         int64
		AcceptsLimits bool
	}
	request := FollowRequest{After: 7, AcceptsLimits: true}
	plain, err := encoding.Marshal(&request)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(plain, []byte("Served")) {
		t.Error("got counters in a message without any, want none")
	}
	request.Served = &fairshare.Report{From: "host", Run: math.MaxUint64, Number: 3}
	for i := range fairshare.MaxAmounts {
		request.Served.Amounts = append(request.Served.Amounts, fairshare.Amount{Workspace: fmt.Sprintf("workspace-%06d", i), Service: 1e6 / 3})
	}
	encoded, err := encoding.Marshal(&request)
	if err != nil {
		t.Fatal(err)
	}
	if got, limit := len(encoded)-len(plain), 2<<10; got > limit {
		t.Errorf("got %d bytes of counters, want at most %d", got, limit)
	}
	var decoded FollowRequest
	if err := encoding.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if got, want := decoded.Served, request.Served; got.Run != want.Run || len(got.Amounts) != len(want.Amounts) || got.Amounts[5] != want.Amounts[5] {
		t.Errorf("got %+v, want %+v", got, want)
	}
	var previous previousRequest
	if err := encoding.Unmarshal(encoded, &previous); err != nil || previous.After != 7 || !previous.AcceptsLimits {
		t.Errorf("got %+v and %v by the previous build, want the fields that it knows", previous, err)
	}
}
