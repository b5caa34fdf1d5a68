package entryhost

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"citronspread/caller"
	"citronspread/engine"
	"citronspread/httponce"
	"citronspread/ledger"
	"citronspread/service"
)

// Times of the callers' side.
const (
	stallTimeout    = 30 * time.Second // longest silence of an engine in a stream
	claimWait       = 10 * time.Second
	claimDeadline   = 3 * time.Second
	handOverTime    = 10 * time.Second
	handOverPoll    = 50 * time.Millisecond
	idleConnections = 64 // to each backend server
)

// serviceAnswerBytes bounds the answer of a plain service.
const serviceAnswerBytes = 8 << 20

func (h *Host) newCallerServer() *caller.Server {
	client := &httponce.Client{DialTimeout: h.Traffic.DialTimeout, IdlePerHost: idleConnections}
	return &caller.Server{
		Router:   h.router,
		Streamer: &engine.Streamer{Client: client, StallTimeout: stallTimeout},
		Services: service.NewClient(idleConnections, serviceAnswerBytes),
		Claims:   &caller.Claims{Store: h.Store, Leases: h.Store, WaitFor: claimWait, Deadline: claimDeadline},
		Log:      h.Log,
		Limits:   h.Traffic.Limits,
	}
}

// addCallerServer serves callers until ctx ends, then finishes every request before the group ends.
func (h *Host) addCallerServer(group *run.Group, ctx context.Context, listener net.Listener) {
	callers := h.callers
	server := &http.Server{
		Handler:           callers.Handler(),
		ReadHeaderTimeout: h.Traffic.HeaderTime,
		MaxHeaderBytes:    h.Traffic.HeaderBytes,
	}
	interrupted := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "entryhost: callers' side")
		}
		<-interrupted // a shut down server does not end the group, the hand-over comes after it
		return nil
	}, func(error) {
		close(interrupted)
		_ = server.Close()
	})
	stop, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-stop.Done()
		h.stopGracefully(callers, server)
		return nil
	}, func(error) { cancel() })
}

// stopGracefully turns unready, accepts requests for the balancer's lag, hands ownership over and finishes every stream.
func (h *Host) stopGracefully(callers *caller.Server, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), h.Traffic.Shutdown)
	defer cancel()
	h.Log.Info("stopping", zap.String("Name", h.Name), zap.Int64("Open", callers.Open()))
	h.isUnready.Store(true)
	h.edge.post(ctx, stopBegun{})
	if err := callers.Drain(ctx, h.Traffic.BalancerLag); err != nil {
		h.Log.Warn("requests cut by the stop", zap.Int64("Open", callers.Open()))
	}
	if err := server.Shutdown(ctx); err != nil {
		h.Log.Warn("callers' side not shut down", zap.Error(err))
	}
	h.awaitHandOver(ctx)
}

// awaitHandOver waits until the other entry hosts can own what this one owned.
func (h *Host) awaitHandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	for ctx.Err() == nil {
		reply := make(chan bool, 1)
		released, err := ask(ctx, h.edge, releasedAsked{reply: reply}, reply)
		if err != nil || *released {
			return
		}
		pause(ctx, handOverPoll)
	}
	h.Log.Warn("ownership not handed over", zap.String("Name", h.Name))
}

// stopBegun tells the control thread of a planned stop.
type stopBegun struct{}

func (stopBegun) apply(c *control, now time.Time) {
	c.self.Leaving = true
	c.members.Self.Leaving = true
	c.publishSelf(now)
	c.step(now, ledger.ReleaseAll{})
}

// releasedAsked asks the control thread whether ownership has been handed over.
type releasedAsked struct {
	reply chan bool
}

func (e releasedAsked) apply(c *control, _ time.Time) { e.reply <- c.ledger.Released() }
