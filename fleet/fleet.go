// Package fleet runs entry hosts together with stand-ins for the services that they depend on (see package standin) in
// one process, for the demo, tests and measurements.
package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/record"
	"citronspread/settings"
	"citronspread/standin"
	"citronspread/store"
)

const (
	pollInterval = 50 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// Backend is a backend server: its host list entry and its stand-in engine.
type Backend struct {
	Host   model.Host
	Engine *standin.Engine
}

// Endpoint is one host of a plain service: its host list entry and the stand-in service.
type Endpoint struct {
	Host    model.Host
	Service *standin.Service
}

// Fleet is a set of entry hosts and stand-ins. All fields must be set before Run is called.
type Fleet struct {
	Logger         *zap.Logger
	RunEntryHost   func(ctx context.Context, s settings.Settings, logger *zap.Logger) error // usually entryhost.Run
	EntryHosts     []settings.Settings
	Backends       []Backend
	Endpoints      []Endpoint
	Store          *standin.Store
	HostList       *standin.HostList
	Weights        *standin.WeightStore
	ReplicaCounter *standin.ReplicaCounter
}

// Run runs the entry hosts and stand-ins until ctx is done or one of them fails. The entry hosts stop before the
// stand-ins, so that they can still hand over the ownership of backend servers.
func (f *Fleet) Run(ctx context.Context) error {
	f.publishHosts()
	platformCtx, cancelPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelPlatform()
	platformDone := make(chan error, 1)
	go func() { platformDone <- f.runPlatform(platformCtx) }()
	hostsCtx, cancelHosts := context.WithCancelCause(ctx)
	defer cancelHosts(nil)
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		if err := <-platformDone; err != nil {
			cancelHosts(err)
		}
	}()
	err := f.runEntryHosts(hostsCtx)
	cancelPlatform()
	<-watcherDone
	if err != nil || ctx.Err() != nil {
		return err
	}
	return context.Cause(hostsCtx)
}

// runPlatform runs the stand-ins. When one of them returns, it stops the others.
func (f *Fleet) runPlatform(ctx context.Context) error {
	var g run.Group
	addActor(ctx, &g, f.Store.Run)
	addActor(ctx, &g, f.HostList.Run)
	for _, b := range f.Backends {
		addActor(ctx, &g, b.Engine.Run)
	}
	for _, e := range f.Endpoints {
		addActor(ctx, &g, e.Service.Run)
	}
	return g.Run()
}

// runEntryHosts runs the entry hosts. When one of them returns, it stops the others.
func (f *Fleet) runEntryHosts(ctx context.Context) error {
	var g run.Group
	for _, s := range f.EntryHosts {
		logger := f.Logger.With(zap.String("Host", s.Name))
		addActor(ctx, &g, func(ctx context.Context) error { return f.RunEntryHost(ctx, s, logger) })
	}
	return g.Run()
}

func addActor(ctx context.Context, g *run.Group, execute func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}

// publishHosts adds all hosts to the host list. It suspends the lag, so that the initial list is published immediately.
func (f *Fleet) publishHosts() {
	lag := f.HostList.Lag
	f.HostList.Lag = 0
	defer func() { f.HostList.Lag = lag }()
	for _, s := range f.EntryHosts {
		f.HostList.Set(model.Host{
			Name: s.Name, Kind: model.KindEntry, Zone: s.Zone, Region: s.Region,
			Address: s.PeerAddress, State: model.HostLive,
		})
	}
	for _, b := range f.Backends {
		f.HostList.Set(b.Host)
	}
	for _, e := range f.Endpoints {
		f.HostList.Set(e.Host)
	}
}

// PutRecord writes an operators' record to the store. It replaces the stored record of the same name, if there is one.
func (f *Fleet) PutRecord(ctx context.Context, body []byte) error {
	declared, err := record.Parse(body)
	if err != nil {
		return err
	}
	repository := &record.Repository{Store: &store.Client{Address: f.Store.Address}}
	current, err := repository.Get(ctx, declared.Record)
	if err != nil {
		return err
	}
	_, err = repository.Put(ctx, time.Now(), current, declared.Record, body)
	return err
}

// WaitForStore waits until the store responds.
func (f *Fleet) WaitForStore(ctx context.Context) error {
	return waitForOK(ctx, f.Store.Address, "/counts")
}

// WaitForEntryHosts waits until all entry hosts are ready.
func (f *Fleet) WaitForEntryHosts(ctx context.Context) error {
	for _, s := range f.EntryHosts {
		if err := waitForOK(ctx, s.OperatorAddress, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// waitForOK polls a path until it responds with status 200.
func waitForOK(ctx context.Context, address, path string) error {
	for !respondsOK(ctx, address, path) {
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Wrapf(err, "fleet: http://%s%s does not respond", address, path)
		}
	}
	return nil
}

func respondsOK(ctx context.Context, address, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
