package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	requestTimeout    = 6 * time.Second  // sent in the request
	responseMargin    = 3 * time.Second  // added to requestTimeout when responses are checked, for a busy machine
	callerTimeout     = 25 * time.Second // after which a caller abandons its request
	minThinkTime      = 50 * time.Millisecond
	maxThinkTime      = 600 * time.Millisecond
	maxShortTokens    = 40
	maxLongTokens     = 700
	longResponseOneIn = 6 // on average, one in this many completions is long
)

// caller sends requests one at a time, with a random think time between them.
type caller struct {
	run    *Run
	number int
	random *rand.Rand
	sent   int
}

func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendOne(ctx)
		sleep(ctx, randomDuration(c.random, minThinkTime, maxThinkTime))
	}
}

// sendOne sends a request of a random kind. A request that has been sent is completed even when ctx ends.
func (c *caller) sendOne(ctx context.Context) {
	h := c.pickHost()
	if h == nil {
		return
	}
	c.sent++
	ctx = context.WithoutCancel(ctx)
	id := fmt.Sprintf("caller-%d-request-%d", c.number, c.sent)
	switch n := c.random.IntN(100); {
	case n < 45:
		c.run.exchangeLog.add(c.complete(ctx, h, id, kindStream))
	case n < 65:
		c.run.exchangeLog.add(c.complete(ctx, h, id, kindBuffered))
	case n < 75:
		c.run.exchangeLog.add(c.read(ctx, h, id))
	case n < 82:
		c.run.exchangeLog.add(c.book(ctx, h, id, kindBooking))
	case n < 92:
		c.bookWithRetries(ctx, h, id)
	default:
		c.bookConcurrently(ctx, id)
	}
}

// responseTokens returns a random length for a response, in tokens.
func (c *caller) responseTokens() int {
	if c.random.IntN(longResponseOneIn) == 0 {
		return 1 + c.random.IntN(maxLongTokens)
	}
	return 1 + c.random.IntN(maxShortTokens)
}

// pickHost returns a random entry host that the load balancer considers ready, or nil if it found none.
func (c *caller) pickHost() *entryHost {
	hosts := c.run.hosts
	for range 2 * len(hosts) {
		if h := hosts[c.random.IntN(len(hosts))]; h.ready.Load() {
			return h
		}
	}
	return nil
}

// bookWithRetries sends a booking with a key and retries it, on other entry hosts too, until it gets a response.
func (c *caller) bookWithRetries(ctx context.Context, h *entryHost, id string) {
	const attempts = 4
	for range attempts {
		x := c.book(ctx, h, id, kindKeyedBooking)
		c.run.exchangeLog.add(x)
		if x.outcome == outcomeComplete {
			return
		}
		sleep(ctx, randomDuration(c.random, minThinkTime, maxThinkTime))
		if next := c.pickHost(); next != nil {
			h = next
		}
	}
}

// bookConcurrently sends the same booking with a key to several entry hosts concurrently.
func (c *caller) bookConcurrently(ctx context.Context, id string) {
	const copies = 3
	var running sync.WaitGroup
	for range copies {
		h := c.pickHost()
		if h == nil {
			continue
		}
		running.Go(func() { c.run.exchangeLog.add(c.book(ctx, h, id, kindKeyedBooking)) })
	}
	running.Wait()
}
