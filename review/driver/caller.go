package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is one attempt of a caller.
type request struct {
	method  string
	host    string // of the route
	path    string // sent as it stands
	body    string
	timeout time.Duration
	header  map[string]string
	id      string // set by send if empty
	onEvent func(id int, data string)
}

// answer is what the caller got for an attempt.
type answer struct {
	id       string
	status   int // 0 without an answer
	header   http.Header
	body     string
	complete bool
	sentAt   time.Time
	took     time.Duration
	err      error
}

func (a answer) String() string {
	return fmt.Sprintf("id=%s status=%d complete=%t took=%s retryAfter=%q err=%v", a.id, a.status, a.complete, a.took.Round(time.Millisecond), a.header.Get("Retry-After"), a.err)
}

var lastRequest atomic.Int64

// newRequestID returns an ID that no other attempt has.
func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07be0000000+lastRequest.Add(1)) }

// send sends one attempt on a new connection to an address and reads the complete answer.
func send(log *record, address string, r request) answer {
	if r.id == "" {
		r.id = newRequestID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	defer transport.CloseIdleConnections()
	path, query, _ := strings.Cut(r.path, "?")
	outgoing := (&http.Request{
		Method: r.method, URL: &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query}, Host: r.host,
		Header: make(http.Header), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(strings.NewReader(r.body)), ContentLength: int64(len(r.body)),
	}).WithContext(ctx)
	if r.body == "" {
		outgoing.Body = http.NoBody
	}
	outgoing.Header.Set("Request-Id", r.id)
	outgoing.Header.Set("Request-Deadline", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	for name, value := range r.header {
		outgoing.Header.Set(name, value)
	}
	a := answer{id: r.id, sentAt: time.Now()}
	log.printf("sent id=%s to=%s %s %s model=%s parts=%s lastEvent=%s resumes=%s", r.id, address, r.method, r.path, r.header["Model"], r.header["Prompt-Prefix"], r.header["Last-Event-Id"], r.header["Resumes"])
	response, err := transport.RoundTrip(outgoing)
	if err == nil {
		defer response.Body.Close()
		a.status, a.header = response.StatusCode, response.Header
		a.body, err = readBody(response.Body, r.onEvent)
	}
	a.complete, a.err, a.took = err == nil, err, time.Since(a.sentAt)
	log.printf("answered %s", a)
	return a
}

// readBody reads a body completely and reports each event of a stream.
func readBody(body io.Reader, onEvent func(id int, data string)) (string, error) {
	var text strings.Builder
	reader := bufio.NewReader(body)
	id := 0
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if number, found := strings.CutPrefix(line, "id: "); found {
			id, _ = strconv.Atoi(strings.TrimSpace(number))
		}
		if data, found := strings.CutPrefix(line, "data: "); found && err == nil && onEvent != nil {
			onEvent(id, strings.TrimSpace(data))
		}
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}
