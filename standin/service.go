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

// ServiceCounts counts what a service ran.
type ServiceCounts struct {
	Reads    int
	Bookings []RequestRuns // by idempotency key, else by request ID
}

// ServiceFault is what the service does wrong until the next POST /fault.
type ServiceFault struct {
	DelayMS     int64
	LoseAnswers int // the next bookings run without an answer
	Refuse      int // the next calls get 503 without running
	CloseBefore int // the connections of the next calls are closed without running
}

// serviceAnswer echoes a call, so that an answer can be checked against its request.
type serviceAnswer struct {
	Service string
	Method  string
	Path    string
	Request string
	Body    string
	Runs    int
}

// Service imitates a plain service that counts bookings.
type Service struct {
	Address string
	Name    string
	Delay   time.Duration // of each answer
	Runs    RunSink       // none when nil

	mu    sync.Mutex
	reads int
	runs  map[string]int
	fault ServiceFault
}

// Run serves the service until ctx ends.
func (s *Service) Run(ctx context.Context) error { return serve(ctx, s.Address, s.Handler()) }

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/counts", s.handleCounts)
	r.Post("/fault", s.handleFault)
	r.HandleFunc("/*", s.handleCall)
	return r
}

// Counts returns what was run so far.
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
		writeFailure(w, http.StatusBadRequest, err.Error())
		return
	}
	step := s.nextStep()
	if step == stepClose {
		cutConnection()
	}
	if step == stepRefuse {
		writeFailure(w, http.StatusServiceUnavailable, "refused")
		return
	}
	request, runs, lost := s.book(r, string(body))
	if !sleep(r.Context(), s.delay()) {
		return
	}
	if lost {
		cutConnection()
	}
	writeJSON(w, http.StatusOK, serviceAnswer{
		Service: s.Name, Method: r.Method, Path: r.URL.Path, Request: request, Body: string(body), Runs: runs,
	})
}

func (s *Service) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Delay + time.Duration(s.fault.DelayMS)*time.Millisecond
}

// book counts a run and reports the request's ID, its runs and whether the answer gets lost.
func (s *Service) book(r *http.Request, body string) (string, int, bool) {
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
	if s.Runs != nil {
		s.Runs.TakeRun(Run{Backend: s.Name, Request: request, Content: body, At: time.Now()})
	}
	lost := s.fault.LoseAnswers > 0
	if lost {
		s.fault.LoseAnswers--
	}
	return request, s.runs[request], lost
}
