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

// Timeouts and limits of the server for callers.
const (
	stallTimeout         = 30 * time.Second // max time without data from the engine in a stream
	claimWait            = 10 * time.Second // max wait for a call with the same key that is already in progress
	claimStoreTimeout    = 3 * time.Second  // of the store calls for one claim
	handoverTimeout      = 10 * time.Second
	handoverPollInterval = 50 * time.Millisecond
	maxIdleConnections   = 64 // to each backend server
)

// maxServiceResponseBytes limits the size of a plain service's response.
const maxServiceResponseBytes = 8 << 20

func (h *Host) newCallerServer() *caller.Server {
	client := &httponce.Client{DialTimeout: h.Traffic.DialTimeout, IdlePerHost: maxIdleConnections}
	return &caller.Server{
		Router:   h.router,
		Streamer: &engine.Streamer{Client: client, StallTimeout: stallTimeout},
		Services: service.NewClient(maxIdleConnections, maxServiceResponseBytes),
		Claims:   &caller.Claims{Store: h.Store, Leases: h.Store, MaxWait: claimWait, StoreTimeout: claimStoreTimeout},
		Log:      h.Log,
		Limits:   h.Traffic.Limits,

		Workspaces:     h.Workspaces,
		ReadStatements: h.ReadStatements,
	}
}

// addCallerServer serves callers until ctx ends, then completes the open requests before the group ends.
func (h *Host) addCallerServer(group *run.Group, ctx context.Context, listener net.Listener) {
	callers := h.callers
	server := &http.Server{
		Handler:           callers.Handler(),
		ReadHeaderTimeout: h.Traffic.HeaderTimeout,
		MaxHeaderBytes:    h.Traffic.MaxHeaderBytes,
	}
	interrupted := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "entryhost: serve callers")
		}
		<-interrupted // returning here would end the group before ownership is handed over
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

// stopGracefully makes the host report that it is not ready and starts the handover of its ownership.
// The host accepts requests for another Traffic.BalancerLag, then completes the open ones and waits for the handover.
func (h *Host) stopGracefully(callers *caller.Server, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), h.Traffic.ShutdownTimeout)
	defer cancel()
	h.Log.Info("stopping", zap.String("Name", h.Name), zap.Int64("Open", callers.OpenRequests()))
	h.isStopping.Store(true)
	h.executor.post(ctx, shutdownStarted{})
	if err := callers.Drain(ctx, h.Traffic.BalancerLag); err != nil {
		h.Log.Warn("requests cut by the stop", zap.Int64("Open", callers.OpenRequests()))
	}
	if err := server.Shutdown(ctx); err != nil {
		h.Log.Warn("callers' side not shut down", zap.Error(err))
	}
	h.awaitHandover(ctx)
}

// awaitHandover waits until this host has released all of its backend servers, for at most handoverTimeout.
func (h *Host) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		reply := make(chan bool, 1)
		released, err := call(ctx, h.executor, releaseCheckRequested{reply: reply}, reply)
		if err != nil || *released {
			return
		}
		sleep(ctx, handoverPollInterval)
	}
	h.Log.Warn("ownership not handed over", zap.String("Name", h.Name))
}

// shutdownStarted starts the handover of ownership before a graceful shutdown.
type shutdownStarted struct{}

func (shutdownStarted) apply(c *control, now time.Time) {
	c.self.Leaving = true
	c.members.Self.Leaving = true
	c.publishSelf(now)
	c.step(now, ledger.ReleaseAll{})
}

// releaseCheckRequested queries whether ownership has been handed over.
type releaseCheckRequested struct {
	reply chan bool
}

func (e releaseCheckRequested) apply(c *control, _ time.Time) { e.reply <- c.ledger.Released() }
