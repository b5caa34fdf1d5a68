package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronspread/model"
)

const (
	// helpDelay is how long a call to the store may take until other hosts are asked to make it as well.
	helpDelay = 100 * time.Millisecond
	// maxHelpers bounds the hosts that are asked at the same time to make one call to the store.
	maxHelpers = 3
)

// errNoHelper reports that no other host is known that could make a call to the store.
var errNoHelper = errors.New("gateway: no other host is known")

// firstSuccess returns the first success of two calls. The second is made after a delay, or once the first has failed. If both
// fail, it returns both errors.
func firstSuccess[T any](ctx context.Context, delay time.Duration, first, second func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		result T
		err    error
	}
	outcomes := make(chan outcome, 2)
	start := func(call func(ctx context.Context) (T, error)) {
		result, err := call(ctx)
		outcomes <- outcome{result, err}
	}
	go start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed []error
	select {
	case o := <-outcomes:
		if o.err == nil {
			return o.result, nil
		}
		failed = append(failed, o.err)
	case <-timer.C:
	}
	go start(second)
	for len(failed) < 2 {
		o := <-outcomes
		if o.err == nil {
			return o.result, nil
		}
		failed = append(failed, o.err)
	}
	var none T
	return none, errors.Join(failed...)
}

// callHelpers makes a call to some hosts at the same time and returns the first success.
func callHelpers[T any](ctx context.Context, h *Host, call func(ctx context.Context, address string) (T, error)) (T, error) {
	var none T
	helpers, err := query(ctx, h, func(time.Time) []string { return h.helpers() })
	if err != nil {
		return none, err
	}
	if len(helpers) == 0 {
		return none, errNoHelper
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var failed []error
	succeeded := make(chan T, len(helpers))
	var calls sync.WaitGroup
	for _, address := range helpers {
		calls.Go(func() {
			result, err := call(ctx, address)
			if err == nil {
				succeeded <- result
				cancel() // the others are not needed
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, err)
		})
	}
	calls.Wait()
	select {
	case result := <-succeeded:
		return result, nil
	default:
		return none, errors.Join(failed...)
	}
}

// helpers returns the peer addresses of at most maxHelpers hosts, those first that read the store for their zones. The hosts
// of other zones come first, because what keeps this host from the store often affects its zone.
func (h *Host) helpers() []string {
	byZone := make(map[string][]model.Peer)
	for _, p := range h.table.Live() {
		if p.Name != h.Name {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	own := relayOrder(byZone[h.Zone])
	delete(byZone, h.Zone)
	var addresses []string
	for rank := range maxRelayCandidates {
		for _, peers := range byZone {
			if ranked := relayOrder(peers); rank < len(ranked) {
				addresses = append(addresses, ranked[rank].Address)
			}
		}
		if rank < len(own) {
			addresses = append(addresses, own[rank].Address)
		}
	}
	return addresses[:min(len(addresses), maxHelpers)]
}
