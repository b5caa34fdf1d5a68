package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of a caller.
const (
	requestTimeout  = 6 * time.Second  // stated in the request
	answerMargin    = 3 * time.Second  // on top of it, for a busy machine
	patience        = 25 * time.Second // until a caller gives up
	shortestThought = 50 * time.Millisecond
	longestThought  = 600 * time.Millisecond
	shortAnswer     = 40  // tokens
	longAnswer      = 700 // tokens
	longOneIn       = 6
)

// caller sends one request after another.
type caller struct {
	run    *Run
	number int
	random *rand.Rand
	sent   int
}

func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendOne(ctx)
		sleep(ctx, between(c.random, shortestThought, longestThought))
	}
}

// sendOne sends a request of a random kind. A request that was begun is ended also when the run ends.
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
		c.run.exchanges.add(c.complete(ctx, h, id, kindStream))
	case n < 65:
		c.run.exchanges.add(c.complete(ctx, h, id, kindAnswer))
	case n < 75:
		c.run.exchanges.add(c.read(ctx, h, id))
	case n < 82:
		c.run.exchanges.add(c.book(ctx, h, id, kindBooking))
	case n < 92:
		c.bookAgain(ctx, h, id)
	default:
		c.bookAtOnce(ctx, id)
	}
}

// answerTokens draws the length of an answer.
func (c *caller) answerTokens() int {
	if c.random.IntN(longOneIn) == 0 {
		return 1 + c.random.IntN(longAnswer)
	}
	return 1 + c.random.IntN(shortAnswer)
}

// pickHost picks an entry host that the balancer holds for ready, nil when there is none.
func (c *caller) pickHost() *entryHost {
	hosts := c.run.hosts
	for range 2 * len(hosts) {
		if h := hosts[c.random.IntN(len(hosts))]; h.ready.Load() {
			return h
		}
	}
	return nil
}

// bookAgain sends a booking with a key and repeats it at other entry hosts until it is answered.
func (c *caller) bookAgain(ctx context.Context, h *entryHost, id string) {
	const attempts = 4
	for range attempts {
		x := c.book(ctx, h, id, kindKeyedBooking)
		c.run.exchanges.add(x)
		if x.outcome == outcomeWhole {
			return
		}
		sleep(ctx, between(c.random, shortestThought, longestThought))
		if next := c.pickHost(); next != nil {
			h = next
		}
	}
}

// bookAtOnce sends a booking with a key to several entry hosts at once.
func (c *caller) bookAtOnce(ctx context.Context, id string) {
	const copies = 3
	var running sync.WaitGroup
	for range copies {
		h := c.pickHost()
		if h == nil {
			continue
		}
		running.Go(func() { c.run.exchanges.add(c.book(ctx, h, id, kindKeyedBooking)) })
	}
	running.Wait()
}
