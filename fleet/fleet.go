// Package fleet runs stand-ins and entry hosts inside one process, for the demo and for experiments.
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
	readyPause  = 50 * time.Millisecond
	callTimeout = 2 * time.Second
)

// Backend is a backend server with its engine.
type Backend struct {
	Host   model.Host
	Engine *standin.Engine
}

// Endpoint is a host of a plain service.
type Endpoint struct {
	Host    model.Host
	Service *standin.Service
}

// Fleet is a set of stand-ins and entry hosts. All fields are set before Run.
type Fleet struct {
	Logger       *zap.Logger
	RunEntryHost func(ctx context.Context, s settings.Settings, logger *zap.Logger) error
	EntryHosts   []settings.Settings
	Backends     []Backend
	Endpoints    []Endpoint
	Store        *standin.Store
	HostList     *standin.HostList
	Weights      *standin.WeightStore
	Census       *standin.Census
}

// Run runs all parts until ctx ends or one of them fails. Entry hosts stop before the stand-ins.
func (f *Fleet) Run(ctx context.Context) error {
	f.listHosts()
	platform, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPlatform()
	ended := make(chan error, 1)
	go func() { ended <- f.runPlatform(platform) }()
	hosts, stopHosts := context.WithCancelCause(ctx)
	defer stopHosts(nil)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := <-ended; err != nil {
			stopHosts(err)
		}
	}()
	err := f.runEntryHosts(hosts)
	stopPlatform()
	<-stopped
	if err != nil || ctx.Err() != nil {
		return err
	}
	return context.Cause(hosts)
}

// runPlatform runs the stand-ins as a group that stops together.
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

// runEntryHosts runs the entry hosts as a group that stops together.
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

// listHosts puts every host into the host list. The first list is published at once.
func (f *Fleet) listHosts() {
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

// PutRecord writes an operators' record on top of what the store holds.
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

// WaitStore waits until the store answers.
func (f *Fleet) WaitStore(ctx context.Context) error {
	return waitFor(ctx, f.Store.Address, "/counts")
}

// WaitReady waits until all entry hosts are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, s := range f.EntryHosts {
		if err := waitFor(ctx, s.OperatorAddress, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// waitFor waits until a path answers 200.
func waitFor(ctx context.Context, address, path string) error {
	for !answers(ctx, address, path) {
		if err := pause(ctx, readyPause); err != nil {
			return errors.Wrapf(err, "fleet: http://%s%s does not answer", address, path)
		}
	}
	return nil
}

func answers(ctx context.Context, address, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
