package routing

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronspread/model"
)

// TestStreamsOfCrashedBackendGoOn guards against interrupted streams that are lost because each one is tried alone on a
// backend server: with a batch of 24 that ran for some seconds, three other backend servers are not enough for them.
func TestStreamsOfCrashedBackendGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			streams   = 24
			patience  = 1700 * time.Millisecond // of their callers
			rest      = 20                      // events that are missing
			eventTime = 50 * time.Millisecond
		)
		now := time.Now()
		at := func(name string) model.Replica {
			r := replica(name, 64)
			r.UpdatedAt = now.Add(time.Hour)
			return r
		}
		r := newRouter(DefaultPolicy(), at("a"))
		r.Now = time.Now
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Run(ctx) }()
		request := func(i int) Request {
			return Request{Target: Target{Key: testKey}, Fingerprint: model.Fingerprint(i + 1), Priority: 50, MaxTokens: 40, Deadline: time.Now().Add(time.Minute)}
		}
		var grants []*Grant
		for i := range streams {
			g, err := r.Acquire(ctx, request(i))
			if err != nil {
				t.Fatal(err)
			}
			g.Begin(time.Now())
			grants = append(grants, g)
		}
		for range 20 {
			time.Sleep(2 * eventTime)
			for _, g := range grants {
				g.Token(time.Now())
			}
		}
		publish(r, at("b"), at("c"), at("d"))
		r.Changed()
		for _, g := range grants {
			g.Done(time.Now(), OutcomeConnectionLost)
		}
		var wait sync.WaitGroup
		var resumed atomic.Int64
		for i := range streams {
			wait.Go(func() {
				again := request(i)
				again.Resumed, again.StartBy = true, time.Now().Add(patience)
				g, err := r.Acquire(ctx, again)
				if err != nil {
					return
				}
				resumed.Add(1)
				g.Begin(time.Now())
				for range rest {
					time.Sleep(eventTime)
					g.Token(time.Now())
				}
				g.Done(time.Now(), OutcomeComplete)
			})
		}
		wait.Wait()
		if got := resumed.Load(); got != streams {
			t.Errorf("got %d of %d interrupted streams that went on, want all", got, streams)
		}
	})
}
