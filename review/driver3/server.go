package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// hostname is the host of all routes.
const hostname = "ficu95.example"

// server is a stand-in for a backend server of a plain service.
type server struct {
	id      string
	service string
	zone    string
	version string
	slots   int
	queue   int
	work    time.Duration
	born    int64

	isSilent bool                  // it does not tell its load
	listed   func() map[string]any // returns further fields of its entry, nil for none
	// answerStream answers the requests of an engine. It returns false if the connection can't be used again.
	answerStream func(conn net.Conn, request *http.Request, body []byte, id string) bool

	// limit returns the requests per second that the server states, nil if it states none.
	limit func() float64
	// after is called when a response was written and returns bytes that are written when the next request has been read.
	after func(id string, status int, response []byte) []byte

	world    *world
	listener net.Listener
	places   chan struct{}

	mu       sync.Mutex
	waiting  int
	arrivals []arrival
	runs     map[string]int
	conns    map[net.Conn]bool
	closed   bool
}

// arrival is a request that reached a server.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

// addServer starts a backend server and lists it in the store.
func (w *world) addServer(s *server) error {
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.world, s.born, s.runs, s.conns = w, time.Now().UnixMilli(), make(map[string]int), make(map[net.Conn]bool)
	s.places = make(chan struct{}, s.slots)
	if s.version == "" {
		s.version = "v1"
	}
	w.servers = append(w.servers, s)
	go s.accept()
	s.list("ready")
	return nil
}

// list writes the entry of the server.
func (s *server) list(state string) {
	entry := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"coldLeftMs": 0, "sequence": 0, "born": s.born,
	}
	if s.listed != nil {
		maps.Copy(entry, s.listed())
	}
	s.world.store.put("servers/"+s.id, entry)
}

// close ends the server as a crash does: its connections are reset, and nothing is said in the store.
func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		_ = conn.Close()
	}
}

func (s *server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// serve serves the requests of a connection, one at a time.
func (s *server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var late []byte // belongs to no request
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(late) > 0 {
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		id := request.Header.Get("Request-Id")
		if s.answerStream != nil && request.Header.Get("Expect-Instance") == s.id {
			if !s.answerStream(conn, request, body, id) {
				return
			}
			continue
		}
		status, response := s.answer(request, id)
		if _, err := conn.Write(response); err != nil {
			return
		}
		if s.after != nil {
			late = s.after(id, status, response)
		}
	}
}

// answer runs a request and returns the response.
func (s *server) answer(request *http.Request, id string) (status int, response []byte) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		return http.StatusMisdirectedRequest, s.head(http.StatusMisdirectedRequest, id, "Not-Executed: 1\r\nInstance-Id: "+s.id+"\r\n", "")
	}
	if strings.HasPrefix(request.URL.Path, "/health") {
		return http.StatusOK, s.head(http.StatusOK, id, "Instance-Id: "+s.id+"\r\n", "")
	}
	if !s.enter() {
		s.arrive(id, false)
		return http.StatusServiceUnavailable, s.head(http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", "")
	}
	s.arrive(id, true)
	time.Sleep(s.work)
	response = s.head(http.StatusOK, id, "Server-Seal: "+s.id+"."+id+"\r\n", "ran "+id+" at "+s.id)
	<-s.places
	return http.StatusOK, response
}

// enter waits for a place. It returns false if the queue is full.
func (s *server) enter() bool {
	select {
	case s.places <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.places <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

func (s *server) arrive(id string, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now(), ran: ran})
	if ran {
		s.runs[id]++
	}
}

// head returns a complete response.
func (s *server) head(status int, id, fields, body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s%s%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, s.limitField(), s.loadField(), fields, len(body), body))
}

// limitField returns the header line that states the limit, unless the server states none.
func (s *server) limitField() string {
	if s.limit == nil {
		return ""
	}
	return fmt.Sprintf("Server-Limit: %g\r\n", s.limit())
}

// loadField returns the header line that tells the load, unless the server does not tell it.
func (s *server) loadField() string {
	if s.isSilent {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", len(s.places), s.waiting, s.slots)
}

// arrived returns the arrivals so far.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
