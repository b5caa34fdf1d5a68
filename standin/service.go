package standin

import (
	"context"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const idempotencyHeader = "Idempotency-Key"

// RequestRuns counts the runs of one request or booking.
type RequestRuns struct {
	Request string
	Runs    int
}

// ServiceCounts counts the calls that a service ran.
type ServiceCounts struct {
	Reads    int           // GET and HEAD calls
	Bookings []RequestRuns // other calls, by idempotency key or else by request ID
}

// ServiceFault configures the faults that a service injects until the next POST /fault.
type ServiceFault struct {
	DelayMS     int64 // added to Service.Delay
	LoseAnswers int   // the next N bookings run without a response
	Refuse      int   // the next N calls get status 503 and do not run
	CloseBefore int   // the next N calls do not run, and their connections are closed
}

// serviceResponse echoes a call, so that clients can check that a response belongs to their request.
type serviceResponse struct {
	Service string
	Method  string
	Path    string
	Request string
	Body    string
	Runs    int
}

// Service simulates a plain HTTP service. It counts GET and HEAD calls as reads and all other calls as bookings.
type Service struct {
	Address string
	Name    string
	Delay   time.Duration // delay of each response
	RunSink RunSink       // optional

	mu    sync.Mutex
	reads int
	runs  map[string]int // bookings by idempotency key or else by request ID
	fault ServiceFault
}

// Run serves the service until ctx is done.
func (s *Service) Run(ctx context.Context) error { return serve(ctx, s.Address, s.Handler()) }

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/counts", s.handleCounts)
	r.Post("/fault", s.handleFault)
	r.HandleFunc("/*", s.handleCall)
	return r
}

func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceCounts{Reads: s.reads, Bookings: sortedRuns(s.runs)}
}

func sortedRuns(runs map[string]int) []RequestRuns {
	sorted := make([]RequestRuns, 0, len(runs))
	for request, n := range runs {
		sorted = append(sorted, RequestRuns{Request: request, Runs: n})
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Request < sorted[j].Request })
	return sorted
}

func (s *Service) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	action := s.nextAction()
	if action == actionClose {
		abortConnection()
	}
	if action == actionRefuse {
		writeError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	request, runs, lost := s.countRun(r, string(body))
	if !sleep(r.Context(), s.delay()) {
		return
	}
	if lost {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, serviceResponse{
		Service: s.Name, Method: r.Method, Path: r.URL.Path, Request: request, Body: string(body), Runs: runs,
	})
}

func (s *Service) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Delay + time.Duration(s.fault.DelayMS)*time.Millisecond
}

// countRun counts a call. It returns the request's ID, how often it has run and whether its response is lost.
func (s *Service) countRun(r *http.Request, body string) (string, int, bool) {
	request := r.Header.Get(idempotencyHeader)
	if request == "" {
		request = r.Header.Get(requestIDHeader)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.reads++
		return request, 0, false
	}
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[request]++
	if s.RunSink != nil {
		s.RunSink.RecordRun(RequestRun{Backend: s.Name, Request: request, Content: body, At: time.Now()})
	}
	lost := s.fault.LoseAnswers > 0
	if lost {
		s.fault.LoseAnswers--
	}
	return request, s.runs[request], lost
}
