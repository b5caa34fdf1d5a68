package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// caller sends requests to entry hosts.
type caller struct {
	client *http.Client
	prefix string
	next   atomic.Int64
}

func newCaller(prefix string) *caller {
	return &caller{
		prefix: prefix,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}},
	}
}

// newID returns a new request ID.
func (c *caller) newID() string { return fmt.Sprintf("%s%08x", c.prefix, c.next.Add(1)) }

// call is one request of a caller and what came back.
type call struct {
	id     string
	host   *host
	sentAt time.Time
	doneAt time.Time
	status int // 0 if no response came
	header http.Header
	body   []byte
	err    error
}

// send sends one request and reads the response.
func (c *caller) send(h *host, method, target string, body []byte, deadline time.Duration, header map[string]string) call {
	result := call{id: c.newID(), host: h, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front()+target, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = hostname
	request.Header.Set("Request-Id", result.id)
	request.Header.Set("Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err == nil {
		result.status, result.header = response.StatusCode, response.Header
		result.body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	result.err, result.doneAt = err, time.Now()
	return result
}
