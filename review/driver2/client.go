package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// piece is an event of a stream as a client has received it.
type piece struct {
	id      int
	version string
	server  string
}

// streamResult is what a client got of one stream over all its tries.
type streamResult struct {
	name     string
	first    string // Request-Id of the try that brought the first event
	pieces   []piece
	statuses []int // of the tries, 0 for a channel without an answer
	complete bool
}

// versions returns the software versions whose events the stream holds, in order.
func (s *streamResult) versions() []string {
	var versions []string
	for _, p := range s.pieces {
		if !contains(versions, p.version) {
			versions = append(versions, p.version)
		}
	}
	return versions
}

// streamClient is a client that asks for one stream.
type streamClient struct {
	Name     string
	Hosts    []*entryHost // in the order of its tries
	Path     string
	Model    string // empty for a service without models
	Events   int
	GapMs    int
	Deadline time.Duration
	MaxTries int
	Log      *record
}

// retryPause is the pause after a try that failed, unless its answer states a longer one.
const retryPause = time.Second

var errBadStatus = errors.New("no success")

// Run asks for the stream and takes it up again until it is complete, the deadline passes or the tries are used up.
func (c *streamClient) Run(ctx context.Context) *streamResult {
	s := &streamResult{name: c.Name}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	until, _ := ctx.Deadline()
	for try := range c.MaxTries {
		host := c.Hosts[try%len(c.Hosts)]
		wait, err := c.try(ctx, s, host, time.Until(until))
		if err == nil {
			s.complete = true
			return s
		}
		if wait > time.Until(until)/3 || ctx.Err() != nil {
			return s
		}
		time.Sleep(max(wait, retryPause))
	}
	return s
}

// try makes one try. wait is what the answer states in Retry-After.
func (c *streamClient) try(ctx context.Context, s *streamResult, host *entryHost, left time.Duration) (wait time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := uuid.NewString()
	body := fmt.Sprintf("events=%d gap=%d of %s", c.Events, c.GapMs, c.Name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.CallerAddress()+c.Path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = serviceHost
	request.Header.Set("Request-Id", id)
	if c.Model != "" {
		request.Header.Set("Model", c.Model)
		request.Header.Set("Token-Count", fmt.Sprintf("350,%d", c.Events*4))
		request.Header.Set("Prompt-Prefix", "5c1e07a2:200,"+id[:8]+":150")
	}
	request.Header.Set("Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	if len(s.pieces) > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.pieces[len(s.pieces)-1].id))
		request.Header.Set("Resumes", s.first)
	}
	c.Log.Printf("%s sends %s to %s, last event %q", c.Name, id, host.Name, request.Header.Get("Last-Event-Id"))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.statuses = append(s.statuses, 0)
		c.Log.Printf("%s gets no answer: %v", c.Name, err)
		return 0, err
	}
	defer response.Body.Close()
	s.statuses = append(s.statuses, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		c.Log.Printf("%s gets %d, Retry-After %q", c.Name, response.StatusCode, response.Header.Get("Retry-After"))
		return time.Duration(seconds * float64(time.Second)), errBadStatus
	}
	lines := bufio.NewReader(response.Body)
	var p piece
	for {
		line, err := lines.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF):
			c.Log.Printf("%s: stream ends after event %d", c.Name, last(s.pieces))
			return 0, nil
		case err != nil:
			c.Log.Printf("%s: stream broken off after event %d: %v", c.Name, last(s.pieces), err)
			return 0, err
		}
		if text, found := strings.CutPrefix(line, "id: "); found {
			p.id, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, found := strings.CutPrefix(line, "data: "); found {
			p.version, p.server, _ = strings.Cut(strings.TrimSpace(text), " ")
		}
		if line == "\n" {
			if len(s.pieces) == 0 {
				s.first = id
			}
			if previous := len(s.pieces); previous == 0 || s.pieces[previous-1].server != p.server {
				c.Log.Printf("%s: events of server %s (software %s) from %d on", c.Name, p.server, p.version, p.id)
			}
			s.pieces = append(s.pieces, p)
		}
	}
}

func last(pieces []piece) int {
	if len(pieces) == 0 {
		return 0
	}
	return pieces[len(pieces)-1].id
}
