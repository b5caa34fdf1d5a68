package peer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"citronspread/gossip"
)

// truncatingProxy forwards one connection to a server. Back to the client it sends prefix and the first limit bytes of the server,
// and then closes or resets the connection.
func truncatingProxy(t *testing.T, server, prefix string, limit int64, isReset bool) (address string, forwarded chan int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	forwarded = make(chan int64, 1)
	go func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		upstream, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		defer upstream.Close()
		go func() {
			_, _ = io.Copy(upstream, client)
			_ = upstream.Close()
		}()
		_, _ = io.WriteString(client, prefix)
		n, _ := io.Copy(client, io.LimitReader(upstream, limit))
		if isReset {
			_ = client.(*net.TCPConn).SetLinger(0)
		}
		forwarded <- n
	}()
	return listener.Addr().String(), forwarded
}

// TestTruncatedReplies guards against a reply of another host that is truncated or follows other bytes, and that is taken for a
// complete one.
func TestTruncatedReplies(t *testing.T) {
	server := startServer(t)
	item := gossip.Item{ID: gossip.ItemID{Kind: gossip.KindConfig, Key: "catalogue"}, Value: []byte(strings.Repeat("value", 20))}
	push := func(prefix string, limit int64, isReset bool) (reply *PushReply, forwarded int64, err error) {
		client, err := NewClient(&Traffic{})
		if err != nil {
			t.Fatal(err)
		}
		address, sent := truncatingProxy(t, server, prefix, limit, isReset)
		reply, err = client.Push(t.Context(), address, &PushRequest{Zone: "a", Items: []gossip.Item{item}})
		_ = client.Close() // ends the connection that is not truncated
		return reply, <-sent, err
	}
	isWhole := func(reply *PushReply) bool {
		return len(reply.Items) == 1 && bytes.Equal(reply.Items[0].Value, item.Value)
	}
	reply, whole, err := push("", 1<<20, false)
	if err != nil || !isWhole(reply) {
		t.Fatalf("got %+v, %v, want the item", reply, err)
	}
	failed := 0
	for limit := range whole {
		for _, isReset := range []bool{false, true} {
			reply, _, err := push("", limit, isReset)
			var unreachable *UnreachableError
			switch {
			case errors.As(err, &unreachable):
				failed++
			case err != nil || !isWhole(reply):
				t.Errorf("got %+v, %v after %d of %d bytes, want an *UnreachableError or the whole reply", reply, err, limit, whole)
			}
		}
	}
	if failed < int(whole) {
		t.Errorf("got %d failed calls, want at least %d", failed, whole)
	}
	for _, prefix := range []string{"HTTP/1.1 200 OK\r\n\r\n", "\x00", strings.Repeat("\xff", 64)} {
		if reply, _, err := push(prefix, 1<<20, false); err == nil && !isWhole(reply) {
			t.Errorf("got %+v after %q, want an error or the whole reply", reply, prefix)
		}
	}
}
