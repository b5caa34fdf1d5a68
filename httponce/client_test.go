package httponce

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestDo guards against a request that is reported as unsent although the server may have received it, and against
// requests that net/http replays after a connection was closed.
func TestDo(t *testing.T) {
	var hits atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	silent := listenSilent(t)
	tests := []struct {
		name       string
		address    string
		method     string
		path       string
		unsent     bool
		noResponse bool
		hits       int64
	}{
		{name: "connection refused", address: "127.0.0.1:1", method: http.MethodPost, unsent: true},
		{name: "closed after accept", address: silent, method: http.MethodPost, noResponse: true},
		{name: "aborted", address: address, method: http.MethodPost, path: "/abort", noResponse: true, hits: 1},
		{name: "GET is not replayed", address: address, method: http.MethodGet, path: "/abort", noResponse: true, hits: 1},
		{name: "answered", address: address, method: http.MethodPost, hits: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &Client{IdlePerHost: 2}
			warm(t, client, address)
			hits.Store(0)
			err := send(t, client, tt.method, "http://"+tt.address+tt.path)
			var unsent *UnsentError
			var noResponse *NoResponseError
			if errors.As(err, &unsent) != tt.unsent || errors.As(err, &noResponse) != tt.noResponse {
				t.Errorf("got %v, want unsent %v, no response %v", err, tt.unsent, tt.noResponse)
			}
			if got := hits.Load(); got != tt.hits {
				t.Errorf("got %d requests at the server, want %d", got, tt.hits)
			}
		})
	}
}

// TestStaleConnection lets the server close the idle connection between two requests.
// The second request must not be reported as unsent if the server received it.
func TestStaleConnection(t *testing.T) {
	var hits atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { hits.Add(1) }))
	defer server.Close()
	client := &Client{IdlePerHost: 2}
	url := "http://" + server.Listener.Addr().String()
	for i := range 50 {
		warm(t, client, server.Listener.Addr().String())
		server.CloseClientConnections()
		before := hits.Load()
		err := send(t, client, http.MethodPost, url)
		var unsent *UnsentError
		if errors.As(err, &unsent) && hits.Load() != before {
			t.Fatalf("round %d: got UnsentError for a request that ran", i)
		}
	}
}

// TestBeginOfResponse guards against a response whose begin is not reported because its head is incomplete, and against bytes
// that are no response and are taken for the begin of one.
func TestBeginOfResponse(t *testing.T) {
	tests := []struct {
		written   string
		truncated bool // within the first line
	}{
		{written: ""},
		{written: "H", truncated: true},
		{written: "HTTP/1.", truncated: true},
		{written: "HTTP/1.1 20", truncated: true},
		{written: "HTTP/1.1 200 OK\r\nServer"},
		{written: "no response"},
		{written: "no response\r\n\r\n"},
	}
	for _, tt := range tests {
		written := tt.written
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, written); err != nil {
				t.Error(err)
			}
		}))
		err := send(t, &Client{}, http.MethodPost, server.URL)
		server.Close()
		var noResponse *NoResponseError
		if !errors.As(err, &noResponse) || (noResponse.BeganAfter > 0) != (written != "") {
			t.Errorf("got %#v after %q, want a response that has begun only if a byte came", err, written)
		}
		if noResponse != nil && noResponse.Truncated != tt.truncated {
			t.Errorf("got truncated %v after %q, want %v", noResponse.Truncated, written, tt.truncated)
		}
	}
}

// warm leaves an idle connection in the client.
func warm(t *testing.T, client *Client, address string) {
	t.Helper()
	for send(t, client, http.MethodPost, "http://"+address) != nil {
	}
}

func send(t *testing.T, client *Client, method, url string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "k")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return err
}

// listenSilent accepts connections and closes them without a response after the first byte.
func listenSilent(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			c.Close()
		}
	}()
	return listener.Addr().String()
}

// TestAdmittedConnectionsAreCounted guards against connections that are opened without having been admitted, or whose close is
// not reported exactly once.
func TestAdmittedConnectionsAreCounted(t *testing.T) {
	var open atomic.Int64
	var refuse atomic.Bool
	errRefused := errors.New("no descriptor")
	client := &Client{
		FreshConnection: true, SocketBuffer: 64 << 10,
		Admit: func() error {
			if refuse.Load() {
				return errRefused
			}
			open.Add(1)
			return nil
		},
		Closed: func() { open.Add(-1) },
	}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if got, want := open.Load(), int64(1); got != want {
			t.Errorf("got %d connections counted during a request, want %d", got, want)
		}
		if r.URL.Path == "/lost" {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	do := func(url string) error {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
		}
		for end := time.Now().Add(5 * time.Second); open.Load() != 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond) // the transport closes connections in the background
		}
		if got := open.Load(); got != 0 {
			t.Errorf("got %d connections counted after a request, want 0", got)
		}
		return err
	}
	if err := do(server.URL); err != nil {
		t.Errorf("got %v, want a response", err)
	}
	if err := do(server.URL + "/lost"); err == nil {
		t.Error("got a response of a lost connection, want an error")
	}
	var unsent *UnsentError
	if err := do("http://127.0.0.1:1"); !errors.As(err, &unsent) {
		t.Errorf("got %v for a closed port, want an *UnsentError", err)
	}
	refuse.Store(true)
	if err := do(server.URL); !errors.As(err, &unsent) || !errors.Is(err, errRefused) {
		t.Errorf("got %v, want an *UnsentError with the refusal", err)
	}
}
