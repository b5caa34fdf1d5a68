package gateway

import (
	"context"
	"encoding/json"
	"errors"

	"go.uber.org/zap"

	"citronspread/store"
)

// baseProposal is an attempt to write the first base version of a service.
type baseProposal struct {
	done chan struct{} // closed when base and err are set
	base BaseSoftware
	err  error
}

// ensureBase returns the base version of a service that had none when this host last read it. It writes the given version if
// there is none yet. No stream begins before, so that a service without a base has no streams.
func (d *Dispatcher) ensureBase(ctx context.Context, service, version string) (BaseSoftware, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	p := d.proposal(service, version)
	select {
	case <-p.done:
		return p.base, p.err
	case <-ctx.Done():
		return BaseSoftware{}, ctx.Err()
	}
}

// proposal returns the proposal for a service that is in progress or has succeeded, or begins one.
func (d *Dispatcher) proposal(service, version string) *baseProposal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.proposals[service]; p != nil {
		return p
	}
	p := &baseProposal{done: make(chan struct{})}
	d.proposals[service] = p
	d.host.spawn(func(ctx context.Context) {
		p.base, p.err = d.proposeBase(ctx, service, version)
		d.host.Log.Info("base software version proposed", zap.String("Service", service), zap.String("Proposed", version),
			zap.String("Version", p.base.Version), zap.Int64("Term", p.base.Term), zap.Error(p.err))
		if p.err != nil {
			d.mu.Lock()
			delete(d.proposals, service)
			d.mu.Unlock()
		}
		close(p.done)
	})
	return p
}

// proposeBase writes the first base version of a service, or returns the one that the store has.
func (d *Dispatcher) proposeBase(ctx context.Context, service, version string) (BaseSoftware, error) {
	key, base := baseSoftwarePrefix+service, BaseSoftware{Version: version, Term: 1}
	d.host.Metrics.CountStoreCall("transaction", "software")
	_, err := d.host.Store.Commit(ctx, store.Transaction{
		Expected: []store.Entry{{Key: key}},
		Writes:   []store.Write{{Key: key, Value: encode(base)}},
	})
	var conflict *store.ConflictError
	if err == nil || !errors.As(err, &conflict) || conflict.Current.Revision == 0 {
		return base, err
	}
	if err := json.Unmarshal(conflict.Current.Value, &base); err != nil {
		return BaseSoftware{}, err
	}
	return base, nil
}
