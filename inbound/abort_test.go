package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/memory"
	"citronspread/model"
)

// TestAbortedResponseIsIncomplete guards against a response that is broken off and looks complete to its caller, with and
// without a Listener, and against memory that stays held for it.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	account := &memory.Account{MaxBytes: 64 << 20}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := Begin(r, "id")
		if err != nil {
			t.Error(err)
			return
		}
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		q.Abort(w)
	})
	plain, accounted := listenTCP(t), listenTCP(t)
	listener := &Listener{
		Listener: accounted, Account: account, Log: zap.NewNop(), Now: time.Now,
		Limits: func() model.ConnectionLimits { return model.ConnectionLimits{} },
	}
	server, accountedServer := &http.Server{Handler: handler}, &http.Server{Handler: handler}
	listener.Prepare(accountedServer)
	go func() { _ = server.Serve(plain) }()
	go func() { _ = accountedServer.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		accountedServer.Close()
	})
	for _, address := range []string{plain.Addr().String(), accounted.Addr().String()} {
		for _, version := range []string{"1.0", "1.1"} {
			for _, path := range []string{"/length", "/unknown"} {
				got, err := readResponse(t, address, fmt.Sprintf("GET %s HTTP/%s\r\nHost: h\r\n\r\n", path, version))
				if err == nil {
					t.Errorf("HTTP/%s %s: got %q, which looks complete", version, path, got)
				}
			}
		}
	}
	for end := time.Now().Add(testTimeout); account.Usage().Total != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // connections are closed in the background
	}
	if got := account.Usage().Total; got != 0 {
		t.Errorf("got %d bytes held after all connections were closed, want 0", got)
	}
}

func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// readResponse sends a request and reads the response until its end.
func readResponse(t *testing.T, address, request string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
